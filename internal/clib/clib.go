// Package clib links the program with the system's C library.
package clib

// #include <stdlib.h>
import "C"
