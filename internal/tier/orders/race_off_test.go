//go:build !race

package orders

// raceDetector reports whether the race detector is enabled.
const raceDetector = false
