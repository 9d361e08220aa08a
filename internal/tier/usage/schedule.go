package usage

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Schedule has the times at which windows are recorded. Window ends are in true time.
type Schedule struct {
	// WindowLength is the length of a window; above 0.
	WindowLength time.Duration
	// LateAfter is the time from the end of a window by which it has to be recorded and reported to the platform.
	LateAfter time.Duration
	// Settle is the time from the end of a window after which the reports of fronts are expected to have come.
	Settle time.Duration
	// WarmUp is the time from the start of a collector after which all fronts are expected to have reported to it again.
	WarmUp time.Duration
	// MinAge is the time from the start of a collector before which it records nothing, however late that makes a window: a front
	// that runs has reported to it by then, unless its calls fail.
	MinAge time.Duration
	// Margin is the part of LateAfter that is left for recording a window and for the call to the platform: a collector that is
	// younger than WarmUp does not wait longer.
	Margin time.Duration
}

// DefaultSchedule returns the times in service for a window length and a time by which windows have to be recorded.
func DefaultSchedule(windowLength, lateAfter time.Duration) Schedule {
	return Schedule{WindowLength: windowLength, LateAfter: lateAfter, Settle: min(2500*time.Millisecond, lateAfter/2),
		WarmUp: 3500 * time.Millisecond, MinAge: 2 * time.Second, Margin: min(2500*time.Millisecond, lateAfter/4)}
}

// Check returns an error if windows cannot be recorded in time.
func (s Schedule) Check() error {
	switch {
	case s.WindowLength <= 0:
		return errors.Newf("window length %v: give one above 0", s.WindowLength)
	case s.Settle < 0 || s.WarmUp < 0 || s.MinAge < 0 || s.Margin < 0:
		return errors.New("a time of the schedule is negative: give 0 or above")
	case s.Settle+s.Margin > s.LateAfter:
		return errors.Newf("windows settle for %v with a margin of %v, and are late after %v: lower the former", s.Settle, s.Margin, s.LateAfter)
	}
	return nil
}

// Progress is what the holder of the duty knows when it asks what to record.
type Progress struct {
	First           int64     // windows before it are not recorded
	Recorded        []int64   // windows that are recorded, in any order
	CollectingSince time.Time // since when the collector adds reports, in true time
}

// Due returns the oldest window that is to be recorded now. Windows that ended longer than twice LateAfter ago are given up.
func (s Schedule) Due(now time.Time, progress Progress) (window int64, ok bool) {
	first, last := max(progress.First, s.OldestRetained(now)), WindowAt(now.Add(-s.Settle), s.WindowLength)-1
	for window := first; window <= last; window++ {
		if !slices.Contains(progress.Recorded, window) && !now.Before(s.dueAt(window, progress.CollectingSince)) {
			return window, true
		}
	}
	return 0, false
}

// OldestRetained returns the oldest window that is not given up.
func (s Schedule) OldestRetained(now time.Time) int64 {
	from := now.Add(-2 * s.LateAfter)
	oldest := WindowAt(from, s.WindowLength)
	if WindowEnd(oldest-1, s.WindowLength).Equal(from) { // it ended just then
		oldest--
	}
	return oldest
}

// dueAt returns when a window is to be recorded by a collector that began at a time. A window that had to be recorded before the
// collector began is late already; the collector warms up first.
func (s Schedule) dueAt(window int64, began time.Time) time.Time {
	end := WindowEnd(window, s.WindowLength)
	due, warm, latest := end.Add(s.Settle), began.Add(s.WarmUp), end.Add(s.LateAfter-s.Margin)
	if young := began.Add(min(s.MinAge, s.WarmUp)); latest.After(began) && latest.Before(warm) {
		warm = latest
		if warm.Before(young) {
			warm = young
		}
	}
	if warm.After(due) {
		return warm
	}
	return due
}
