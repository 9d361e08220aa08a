package usage

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Schedule determines when windows are recorded. Window ends are in true time.
type Schedule struct {
	// WindowLength is the length of a window; above 0.
	WindowLength time.Duration
	// LateAfter is the time after the end of a window by which it must be recorded and reported to the platform.
	LateAfter time.Duration
	// Settle is the time after the end of a window by which the reports of fronts are expected to have arrived.
	Settle time.Duration
	// WarmUp is the time after the start of a collector by which all fronts are expected to have reported to it again.
	WarmUp time.Duration
	// MinAge is the minimum age at which a collector records a window, even if that makes the window late: by then every running
	// front has reported to it, unless its calls fail.
	MinAge time.Duration
	// Margin is the part of LateAfter that is reserved for recording a window and for the call to the platform. To keep it, a
	// collector that is older than MinAge records a window without waiting for the end of WarmUp.
	Margin time.Duration
}

// DefaultSchedule returns the schedule used in production for a window length and the time by which windows must be recorded.
func DefaultSchedule(windowLength, lateAfter time.Duration) Schedule {
	return Schedule{WindowLength: windowLength, LateAfter: lateAfter, Settle: min(2500*time.Millisecond, lateAfter/2),
		WarmUp: 3500 * time.Millisecond, MinAge: 2 * time.Second, Margin: min(2500*time.Millisecond, lateAfter/4)}
}

// Check returns an error if windows cannot be recorded in time.
func (s Schedule) Check() error {
	switch {
	case s.WindowLength <= 0:
		return errors.Newf("usage schedule: WindowLength must be above 0, got %v", s.WindowLength)
	case s.Settle < 0 || s.WarmUp < 0 || s.MinAge < 0 || s.Margin < 0:
		return errors.New("usage schedule: Settle, WarmUp, MinAge and Margin must not be negative")
	case s.Settle+s.Margin > s.LateAfter:
		return errors.Newf("usage schedule: Settle (%v) plus Margin (%v) must not exceed LateAfter (%v)", s.Settle, s.Margin, s.LateAfter)
	}
	return nil
}

// Progress is the lease holder's state of recording, from which Schedule.Due selects the next window.
type Progress struct {
	First           int64     // windows before it are not considered
	Recorded        []int64   // windows already recorded, in any order
	CollectingSince time.Time // since when the collector adds reports, in true time
}

// Due returns the oldest window that is to be recorded now. Windows that ended more than twice LateAfter ago are abandoned.
func (s Schedule) Due(now time.Time, progress Progress) (window int64, ok bool) {
	first, last := max(progress.First, s.OldestRetained(now)), WindowAt(now.Add(-s.Settle), s.WindowLength)-1
	for window := first; window <= last; window++ {
		if !slices.Contains(progress.Recorded, window) && !now.Before(s.dueAt(window, progress.CollectingSince)) {
			return window, true
		}
	}
	return 0, false
}

// OldestRetained returns the oldest window that is not abandoned.
func (s Schedule) OldestRetained(now time.Time) int64 {
	from := now.Add(-2 * s.LateAfter)
	oldest := WindowAt(from, s.WindowLength)
	if WindowEnd(oldest-1, s.WindowLength).Equal(from) { // a window that ended exactly then is not abandoned yet
		oldest--
	}
	return oldest
}

// dueAt returns when a window is to be recorded by a collector that started at a time. For a window that should have been recorded
// before the collector started, the collector warms up fully first, since the window is late anyway.
func (s Schedule) dueAt(window int64, began time.Time) time.Time {
	end := WindowEnd(window, s.WindowLength)
	due, readyAt, latest := end.Add(s.Settle), began.Add(s.WarmUp), end.Add(s.LateAfter-s.Margin)
	if minAgeAt := began.Add(min(s.MinAge, s.WarmUp)); latest.After(began) && latest.Before(readyAt) {
		readyAt = latest
		if readyAt.Before(minAgeAt) {
			readyAt = minAgeAt
		}
	}
	if readyAt.After(due) {
		return readyAt
	}
	return due
}
