// Package libc links the program with the system's C library.
package libc

// #include <stdlib.h>
import "C"
