//go:build race

package orders

// raceDetector makes simulations some ten times as slow. They have one goroutine each, so that a few are enough.
const raceDetector = true
