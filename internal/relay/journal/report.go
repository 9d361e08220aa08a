package journal

import (
	"fmt"
)

// Report describes what was found in a directory.
type Report struct {
	Segments []SegmentReport
	Damage   []Damage
	// Suspects are pending messages of which later records may be missing: an attempt, or even their completion.
	// Unless they are known to have run, their entries have an attempt in flight in UnknownZone.
	Suspects []string
	// Lost are ids whose accepting record is missing while later ones exist: these messages cannot be completed.
	Lost []string
	// TornBytes is the size of the torn tail that was dropped: the process died while writing it.
	TornBytes int
	// LegacyUnread is the number of bytes of a file of format 1 that could not be read.
	LegacyUnread int
	// Foreign are files in the directory that do not belong to the journal.
	Foreign []string
}

// SegmentReport describes one segment.
type SegmentReport struct {
	Name        string
	Bytes       int
	Records     int
	First, Last uint64 // sequences of its records; 0 if it has none
}

// UnknownZone is the zone of an attempt that is only assumed to be in flight.
const UnknownZone = -2

// Damage describes a position in the log at which records are missing.
type Damage struct {
	File        string // file in which the gap was found
	From, To    int    // unreadable bytes, copied to Saved; empty if complete records are missing
	First, Last uint64 // sequences of the missing records
	Saved       string
}

// String returns the file, the missing sequences, and the range of unreadable bytes if there is one.
func (d Damage) String() string {
	s := fmt.Sprintf("%s: records %d to %d are missing", d.File, d.First, d.Last)
	if d.To > d.From {
		s += fmt.Sprintf(", bytes %d to %d cannot be read", d.From, d.To)
	}
	return s
}
