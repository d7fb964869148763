// Package libc makes a program that imports it link against the system's C library.
package libc

// #include <stdlib.h>
import "C"
