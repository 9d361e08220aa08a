//go:build race

package orders

// raceDetector reports whether the race detector is enabled. The number of simulations is smaller then: the race detector
// makes them some ten times slower, and as each uses a single goroutine a few are enough.
const raceDetector = true
