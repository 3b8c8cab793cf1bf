// Package pimentospread decides to which failure domain requests go when demand and room are
// uneven: own domain first, as much of the rest as evens things out in the domains of the
// region, then in other regions. It has no I/O, clock or random numbers: points in time are
// durations since the start of the entry, and draws are passed in.
package pimentospread
