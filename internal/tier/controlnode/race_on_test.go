//go:build race

package controlnode

// raceDetector reports whether the race detector is on. It makes a process about ten times slower, which the time limits
// of the tests do not allow for.
const raceDetector = true
