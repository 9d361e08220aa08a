//go:build race

package turnstore_test

// Go 1.26's race detector now and then fails itself ("CHECK failed: tsan_rtl") where many bubbles of virtual time run
// at once, so that with it scenarios are few and run in sequence.
const raceDetector = true
