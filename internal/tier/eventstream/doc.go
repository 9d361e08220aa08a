// Package eventstream reads event streams (text/event-stream) that pass through a front: it counts their events and keeps their
// output (Parser), and it joins the streams of several hosts into one where a route permits that (Splicer).
//
// The package is pure: no I/O, no clock, no goroutines. Nothing in it is safe for concurrent use.
package eventstream
