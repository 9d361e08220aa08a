//go:build !linux || !cgo

package earlysignal

// Release does nothing: without the constructor in C no signal is handled early.
func Release() {}
