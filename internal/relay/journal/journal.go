package journal

import (
	"errors"
	"fmt"

	"larchrouter/internal/relay/compaction"
	"larchrouter/internal/vfs"
)

// ErrFull is returned when a record that accepts a message finds no space on the disk or within the budget.
var ErrFull = errors.New("journal: no room on the disk, or within its budget")

// ErrUnwritten reports that earlier records are still waiting to be written.
var ErrUnwritten = errors.New("journal: earlier records are not written yet")

// ErrSync reports that a sync failed. What reached the disk is unknown and a retry would prove nothing: Linux may drop dirty
// pages after an error and report the next sync as successful. The journal accepts no further records.
var ErrSync = errors.New("journal: the disk could not make records durable; nothing more is taken on here")

const (
	spareName       = "journal.spare" // reserve for records of accepted messages on a full disk
	blockSize       = 4096
	maxSkippedItems = 1 << 12 // dead items skipped in one Append
)

// Options configures a journal.
type Options struct {
	// Budget is the limit for the total size of all files, in bytes.
	Budget int64
	// Power makes Append return only when its records survive a loss of power, not just the end of the process.
	Power bool
	// Retention limits the completed ids; its MaxBytes are at most a sixteenth of the budget.
	Retention Retention
	// Files is the directory; nil for that of the operating system.
	Files vfs.System
}

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	state
	// Broken, if set, is returned by every further Append. It is set when a sync failed, and by tests.
	Broken error

	dir        vfs.System
	power      bool
	limits     compaction.Limits
	segments   []segment // in the order of their numbers; the last one is active
	total      int64     // size of all segments, in bytes
	file       vfs.File
	synced     uint64   // sequence of the last record known to survive a loss of power
	spare      vfs.File // nil while it is released
	activeTorn bool     // a failed write left bytes in the active segment that could not be truncated
	writes     int
	report     Report
	// Buffers for reuse:
	buf, rewriteBuf     []byte
	sizes, rewriteSizes []int64
	rewritten           []Record
}

// segment is the number of a segment file and its size in bytes.
type segment struct {
	number uint64
	size   int64
}

// Open replays the journal of a directory and starts a new segment there. Damage is no error: Report describes it. A journal
// of a newer format fails with ErrNewer and is left unchanged.
func Open(dir string, options Options) (*Journal, error) {
	if options.Files == nil {
		options.Files = vfs.Dir(dir)
	}
	options.Retention.MaxBytes = min(options.Retention.MaxBytes, options.Budget/16)
	j := &Journal{
		state:  newState(options.Retention),
		dir:    options.Files,
		power:  options.Power,
		limits: limitsFor(options.Budget),
	}
	if err := j.open(); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return j, nil
}

// open replays the log, repairs its files and starts the active segment, in this order: nothing is written before the
// complete log was read.
func (j *Journal) open() error {
	log, err := replay(j.dir, &j.state)
	if err != nil {
		return err
	}
	j.report = log.report
	if err := log.repair(j.dir); err != nil {
		return err
	}
	j.segments = log.segments
	for _, s := range j.segments {
		j.total += s.size
	}
	if j.power { // the earlier process may not have synced them
		for _, s := range j.segments {
			if err := j.dir.SyncFile(segmentName(s.number)); err != nil {
				return err
			}
		}
	}
	if log.legacy != nil {
		j.report.LegacyUnread = j.replayLegacy(log.legacy)
	}
	j.synced = j.seq
	if err := j.startSegment(log.lastSegment + 1); err != nil {
		return err
	}
	if log.legacy != nil {
		if err := j.migrateLegacy(); err != nil {
			return err
		}
	}
	for j.removeOldestSegment() {
	}
	j.allocateSpare()
	return nil
}

// SetBudget changes the limit for the total size of all files, in bytes.
func (j *Journal) SetBudget(bytes int64) { j.limits = limitsFor(bytes) }

// limitsFor returns the limits for a budget, less the rounding of each file up to full blocks.
func limitsFor(budget int64) compaction.Limits {
	l := compaction.ForBudget(budget)
	return compaction.ForBudget(budget - (budget/l.Segment+4)*blockSize)
}

// Budget returns the present limit for the total size of all files, in bytes.
func (j *Journal) Budget() int64 { return j.limits.Budget }

// Report returns what Open found in the directory.
func (j *Journal) Report() Report { return j.report }

// Close closes the files and removes the spare file. Appended records remain.
func (j *Journal) Close() error {
	if j.spare != nil {
		j.spare.Close()
		j.dir.Remove(spareName)
		j.spare = nil
	}
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

// Writes returns the number of batches that were written; writes of the compaction are not counted.
func (j *Journal) Writes() int { return j.writes }

// Size returns the total size of the segments, in bytes.
func (j *Journal) Size() int64 { return j.total }

// Segments returns the number of segments.
func (j *Journal) Segments() int { return len(j.segments) }

// Full reports whether the disk has no space beyond the reserve for accepted messages.
func (j *Journal) Full() bool { return j.spare == nil }
