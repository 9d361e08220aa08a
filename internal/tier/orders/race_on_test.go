//go:build race

package orders

// raceDetector reduces the number of simulations: the race detector makes them some ten times slower, and as each uses a
// single goroutine a few are enough.
const raceDetector = true
