//go:build !race

package controlnode

// raceDetector reports whether the race detector is on, see race_on_test.go.
const raceDetector = false
