//go:build !race

package tiertest

// raceDetector reports whether this program was built with the race detector; the programs of a tier then are too.
const raceDetector = false
