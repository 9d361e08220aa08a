//go:build !race

package archive_test

const raceDetector = false
