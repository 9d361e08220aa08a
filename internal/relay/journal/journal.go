// Package journal is the durable record of what a relay owes: what it has taken on, the attempts made, and how messages
// ended. It knows records, not decisions.
//
// It is a log in segments, with what its records amount to in memory. Compaction is a part of each Append: it carries
// what is live in the oldest segment to the end of the log, in pieces that package compaction decides on, and lets the
// segment go. The log is read at Open only.
package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"larchrouter/internal/relay/compaction"
	"larchrouter/internal/vfs"
)

// ErrFull says that the journal has no room for one more message.
var ErrFull = errors.New("journal: no room on the disk, or within its budget")

// ErrUnwritten says that earlier records still wait to be written.
var ErrUnwritten = errors.New("journal: earlier records are not written yet")

// ErrSync says that the disk failed to make records durable. What it holds of them is not known, and a second try
// would pretend: Linux may drop what it could not write and call it written. The journal takes nothing more.
var ErrSync = errors.New("journal: the disk could not make records durable; nothing more is taken on here")

const (
	spareName       = "journal.spare" // room on the disk for when it is full
	blockSize       = 4096
	maxSkippedItems = 1 << 12 // places passed over in one Append that are no longer live
)

// Options of a journal.
type Options struct {
	// Budget is what all its files may take together, in bytes.
	Budget int64
	// Power has Append return only when its records outlast a loss of power, not just the end of the process.
	Power bool
	// Retention bounds what is remembered of ended ids; its Bytes are a sixteenth of the budget at most.
	Retention Retention
	// Files is the folder; nil for that of the operating system.
	Files vfs.System
}

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	state
	// Broken fails every further Append; it is set when a sync failed, and by tests.
	Broken error

	dir        vfs.System
	power      bool
	limits     compaction.Limits
	segments   []segment // as written; the last is written to
	total      int64     // bytes of them
	file       vfs.File
	synced     uint64   // the last record known to outlast a loss of power
	spare      vfs.File // nil while it is used up
	activeTorn bool     // the active segment has bytes behind its end that could not be cut off
	writes     int
	report     Report
	// Kept for the next time:
	buf, rewriteBuf     []byte
	sizes, rewriteSizes []int64
	rewritten           []Record
}

type segment struct {
	number uint64
	size   int64
}

// Open reads what an earlier process left in a folder, and begins a new segment there. What is damaged is told by
// Report; a journal of a newer format is ErrNewer, and nothing is changed then.
func Open(dir string, o Options) (*Journal, error) {
	if o.Files == nil {
		o.Files = vfs.Dir(dir)
	}
	o.Retention.MaxBytes = min(o.Retention.MaxBytes, o.Budget/16)
	j := &Journal{state: newState(o.Retention), dir: o.Files, power: o.Power, limits: limitsFor(o.Budget)}
	if err := j.open(); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return j, nil
}

func (j *Journal) open() error {
	l, err := replay(j.dir, &j.state)
	if err != nil {
		return err
	}
	j.report = l.report
	if err := l.repair(j.dir); err != nil {
		return err
	}
	j.segments = l.segments
	for _, s := range j.segments {
		j.total += s.size
	}
	if j.power { // they may be of a process that did not get to it
		for _, s := range j.segments {
			if err := j.dir.SyncFile(segmentName(s.number)); err != nil {
				return err
			}
		}
	}
	if l.legacy != nil {
		j.report.LegacyUnread = j.replayLegacy(l.legacy)
	}
	j.synced = j.seq
	if err := j.startSegment(l.lastSegment + 1); err != nil {
		return err
	}
	if l.legacy != nil {
		if err := j.migrateLegacy(); err != nil {
			return err
		}
	}
	for j.removeOldestSegment() {
	}
	j.allocateSpare()
	return nil
}

// migrateLegacy writes what was read from a file of format 1, and removes that.
func (j *Journal) migrateLegacy() error {
	for {
		if _, ok := j.oldestLive(j.items.Len()); !ok || j.items.At(0).segment > 0 {
			break
		}
		if err := j.rewriteOldest(compaction.MaxRewrite); err != nil {
			return err
		}
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	if err := j.dir.Remove(legacyName); err != nil {
		return err
	}
	return j.dir.SyncDir()
}

func (j *Journal) active() *segment { return &j.segments[len(j.segments)-1] }

// usage is how much there is, for package compaction.
func (j *Journal) usage() compaction.Log {
	return compaction.Log{Total: j.total, Live: j.live, Segments: len(j.segments)}
}

// SetBudget changes what all files may take together, in bytes.
func (j *Journal) SetBudget(bytes int64) { j.limits = limitsFor(bytes) }

// limitsFor are the limits for a budget, less what files take beyond their size: whole blocks.
func limitsFor(budget int64) compaction.Limits {
	l := compaction.ForBudget(budget)
	return compaction.ForBudget(budget - (budget/l.Segment+4)*blockSize)
}

// Budget is what the files may take now, in bytes.
func (j *Journal) Budget() int64 { return j.limits.Budget }

// Append writes records and applies them. When it fails nothing was recorded. Records that take messages on fail with
// ErrFull well before others do, which then still find room.
func (j *Journal) Append(recs ...Record) error {
	if j.Broken != nil {
		return j.Broken
	}
	if len(recs) == 0 {
		return nil
	}
	buf, sizes, grows, takes := j.encode(recs)
	n := int64(len(buf))
	seq := j.seq
	if err := j.makeRoom(n, grows, takes); err != nil {
		return err
	}
	if j.seq != seq { // others have come before them
		buf, sizes, _, _ = j.encode(recs)
	}
	j.writes++
	if err := j.writeDurably(buf, len(recs), takes); err != nil {
		return err
	}
	number := j.active().number
	for i := range recs {
		j.apply(j.seq+1, &recs[i], number, sizes[i])
	}
	j.buf = reusable(j.buf)
	if j.spare == nil { // what room there is now is for records
		j.removeOldestSegment()
		return nil
	}
	for carry := j.limits.RewriteBytes(j.usage(), n); carry > 0 && len(j.segments) > 1; {
		if j.compact(&carry) != nil {
			break // the next Append tries again
		}
	}
	return nil
}

// reusable is a buffer that is reusable for the next time; a burst's memory is not.
func reusable(buf []byte) []byte {
	if cap(buf) > 1<<20 {
		return nil
	}
	return buf
}

// encode makes the bytes of records that come next, and tells the size of each, by how much they let what is live grow,
// and whether any takes a message on.
func (j *Journal) encode(recs []Record) (buf []byte, sizes []int64, grows int64, takes bool) {
	buf, sizes = j.buf[:0], j.sizes[:0]
	for i := range recs {
		before, seq := len(buf), j.seq+1+uint64(i)
		switch recs[i].Op {
		case OpTaken:
			takes, recs[i].Entry.acceptedSeq = true, seq
		case OpEnd: // it outlasts what is before it
			if e := j.Entries[recs[i].ID]; e != nil {
				recs[i].Sum = e.Checksum()
			}
		}
		buf = appendFrame(buf, seq, j.unsynced(seq), &recs[i])
		sizes = append(sizes, int64(len(buf)-before))
		grows += recs[i].liveGrowth(sizes[i])
	}
	j.buf, j.sizes = buf, sizes
	return buf, sizes, grows, takes
}

// unsynced is how many records before one with this sequence may not outlast a loss of power.
func (j *Journal) unsynced(seq uint64) uint32 {
	if !j.power {
		return 0
	}
	return uint32(seq - 1 - j.synced)
}

// makeRoom makes makeRoom for n bytes of records.
func (j *Journal) makeRoom(n, grows int64, takes bool) error {
	if takes {
		admits := func() bool { return j.limits.Admits(j.usage(), n, grows) && j.allocateSpare() }
		for left := max(compaction.MaxRewrite, 4*n); !admits(); { // as much as n takes to write, and more
			if left <= 0 || j.live+grows > j.limits.MaxLive() || j.compact(&left) != nil {
				return ErrFull
			}
		}
		return nil
	}
	// This is not bounded in time: what is held has to be recorded, and pacing has it happen hardly ever.
	for left := 4 * (j.total + j.limits.Budget); !j.limits.Fits(j.usage(), n); {
		if left <= 0 || j.compact(&left) != nil {
			return ErrFull
		}
	}
	return nil
}

// writeDurably puts bytes at the end of the log, durable as the journal is. Takes says that they need not go if the disk is
// full.
func (j *Journal) writeDurably(buf []byte, records int, takes bool) error {
	err := j.writeOnce(buf)
	if vfs.IsNoSpace(err) && !takes && (j.releaseSpare() || j.removeOldestSegment()) {
		err = j.writeOnce(buf)
	}
	if err != nil {
		return err
	}
	if !j.power {
		return nil
	}
	if err := j.file.Sync(); err != nil {
		j.Broken = fmt.Errorf("%w: %w", ErrSync, err)
		s := j.active()
		s.size -= int64(len(buf))
		j.total -= int64(len(buf))
		j.file.Truncate(s.size) // whether it helps is not known, and nothing hangs on it
		return j.Broken
	}
	j.synced = j.seq + uint64(records)
	return nil
}

func (j *Journal) writeOnce(buf []byte) error {
	if s := j.active(); s.size >= j.limits.Segment || j.activeTorn {
		if err := j.startSegment(s.number + 1); err != nil {
			return err
		}
	}
	s := j.active()
	if _, err := j.file.WriteAt(buf, s.size); err != nil {
		// What was written of it must not be taken for records. Where it cannot be cut off, the next segment says
		// where this one ends.
		j.activeTorn = j.file.Truncate(s.size) != nil
		return fmt.Errorf("journal: %w", err)
	}
	s.size += int64(len(buf))
	j.total += int64(len(buf))
	return nil
}

// startSegment begins a new segment.
func (j *Journal) startSegment(number uint64) error {
	if j.power && j.file != nil {
		if err := j.sync(); err != nil {
			return err
		}
	}
	name := segmentName(number)
	f, err := j.dir.Create(name)
	if errors.Is(err, fs.ErrExist) { // left by a try that failed and could not remove it
		if err = j.dir.Remove(name); err == nil {
			f, err = j.dir.Create(name)
		}
	}
	if err == nil {
		head := encodeSegmentHeader(number, j.seq+1)
		if _, err = f.WriteAt(head, 0); err == nil && j.power {
			err = j.dir.SyncDir()
		}
		if err == nil {
			if j.file != nil {
				j.file.Close()
			}
			j.file, j.segments, j.total = f, append(j.segments, segment{number, segmentHeaderSize}), j.total+segmentHeaderSize
			j.activeTorn = false
			return nil
		}
		f.Close()
		j.dir.Remove(name)
	}
	return fmt.Errorf("journal: new segment: %w", err)
}

// sync has all of the log outlast a loss of power.
func (j *Journal) sync() error {
	if j.synced == j.seq {
		return nil
	}
	if err := j.file.Sync(); err != nil {
		j.Broken = fmt.Errorf("%w: %w", ErrSync, err)
		return j.Broken
	}
	j.synced = j.seq
	return nil
}

// compact lets go of the oldest segment, or else carries a piece of it to the end of the log, and takes what that cost
// off the bytes that may be carried.
func (j *Journal) compact(left *int64) error {
	if size := j.segments[0].size; j.removeOldestSegment() {
		*left -= 4<<10 + size/32 // what could be carried in that time
		return nil
	}
	piece := min(*left, j.limits.Segment)
	*left -= piece
	return j.rewriteOldest(piece)
}

// rewriteOldest carries items from the oldest segments to the end of the log, up to a number of bytes or a little over it.
func (j *Journal) rewriteOldest(most int64) error {
	buf, sizes, moved := j.rewriteBuf[:0], j.rewriteSizes[:0], j.rewritten[:0]
	defer func() {
		clear(moved) // it must not hold on to bodies
		j.rewriteBuf, j.rewriteSizes, j.rewritten = reusable(buf), sizes, moved
	}()
	seq, active, passed := j.seq, j.active().number, 0
	for ; passed < min(j.items.Len(), maxSkippedItems) && int64(len(buf)) < most; passed++ {
		i := j.items.At(passed)
		if i.segment >= active {
			break
		}
		if !j.isLive(i) {
			continue
		}
		r, before := j.rewriteRecord(i), len(buf)
		seq++
		buf = appendFrame(buf, seq, j.unsynced(seq), &r)
		sizes, moved = append(sizes, int64(len(buf)-before)), append(moved, r)
	}
	if len(moved) > 0 {
		if err := j.writeOnce(buf); err != nil { // the spare room is not for this
			return err
		}
	}
	number := j.active().number
	for i := range moved {
		j.apply(j.seq+1, &moved[i], number, sizes[i])
	}
	for range passed {
		j.items.Pop()
	}
	return nil
}

// removeOldestSegment lets go of the oldest segment if nothing in it is live, and tells whether it did. It is one at a time, as a file
// system takes a while for each.
func (j *Journal) removeOldestSegment() bool {
	first := j.segments[0]
	if len(j.segments) == 1 {
		return false
	}
	if i, ok := j.oldestLive(maxSkippedItems); !ok && j.items.Len() > 0 || ok && i.segment <= first.number {
		return false
	}
	if j.power && j.sync() != nil { // what was carried from it has to be as durable as it was
		return false
	}
	if err := j.dir.Remove(segmentName(first.number)); err != nil {
		return false // the next Append tries again
	}
	j.segments = slices.Delete(j.segments, 0, 1)
	if j.total -= first.size; j.power {
		j.dir.SyncDir() // were one to come back without those after it, they would seem lost
	}
	return true
}

// releaseSpare gives the spare room on the disk back, and tells whether there was some.
func (j *Journal) releaseSpare() bool {
	if j.spare == nil {
		return false
	}
	j.spare.Close()
	j.spare = nil
	return j.dir.Remove(spareName) == nil
}

// allocateSpare takes spare room on the disk again, and tells whether there is some.
func (j *Journal) allocateSpare() bool {
	if j.spare != nil {
		return true
	}
	if j.dir.Available() < j.limits.Spare { // asked for each new message on a full disk: it is cheap
		return false
	}
	if j.dir.Remove(spareName) != nil { // what an earlier try may have left
		return false
	}
	f, err := j.dir.Create(spareName)
	if err != nil {
		return false
	}
	if err = f.Allocate(j.limits.Spare); err != nil {
		f.Close()
		j.dir.Remove(spareName)
		return false
	}
	j.spare = f
	return true
}

// Report tells what was found at Open.
func (j *Journal) Report() Report { return j.report }

// Close closes the files. What was appended stays.
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

// Writes is how many times records were written, as many as there were at a time; what was carried does not count.
func (j *Journal) Writes() int { return j.writes }

// Size is what the segments take, in bytes.
func (j *Journal) Size() int64 { return j.total }

// Segments is how many there are.
func (j *Journal) Segments() int { return len(j.segments) }

// Full tells whether the disk has no room beyond what is kept for messages that were taken on.
func (j *Journal) Full() bool { return j.spare == nil }
