// Package oriolehostile tests gateway processes against clients that misbehave: that
// stop halfway, send or read slowly, or make a gateway hold as much as they can. Its
// tests measure the memory of a process on loopback addresses, and run by themselves
// with the build tag hostile, apart from those of other packages.
package oriolehostile
