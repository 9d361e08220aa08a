package journal

import (
	"errors"
	"fmt"
	"io/fs"

	"larchrouter/internal/relay/compaction"
	"larchrouter/internal/vfs"
)

// Append writes records in one batch, applies them to the state, and compacts at the rate of what it wrote. When it fails
// nothing was recorded. A batch that accepts messages fails with ErrFull well before others do, so that records of
// accepted messages still find space.
func (j *Journal) Append(records ...Record) error {
	if j.Broken != nil {
		return j.Broken
	}
	if len(records) == 0 {
		return nil
	}
	buf, sizes, growth, accepts := j.encode(records)
	written := int64(len(buf))
	seq := j.seq
	if err := j.makeRoom(written, growth, accepts); err != nil {
		return err
	}
	if j.seq != seq { // compaction wrote records before these
		buf, sizes, _, _ = j.encode(records)
	}
	j.writes++
	if err := j.writeDurably(buf, len(records), accepts); err != nil {
		return err
	}
	number := j.active().number
	for i := range records {
		j.apply(j.seq+1, &records[i], number, sizes[i])
	}
	j.buf = reusable(j.buf)
	if j.spare == nil { // on a full disk all space is for records
		j.removeOldestSegment()
		return nil
	}
	for budget := j.limits.RewriteBytes(j.usage(), written); budget > 0 && len(j.segments) > 1; {
		if j.compact(&budget) != nil {
			break // the next Append retries
		}
	}
	return nil
}

// reusable returns a buffer for reuse, or nil if a burst made it large.
func reusable(buf []byte) []byte {
	if cap(buf) > 1<<20 {
		return nil
	}
	return buf
}

// encode returns the frames of records for the next sequences, the size of each, the bytes by which the live ones grow at
// most, and whether any record accepts a message.
func (j *Journal) encode(records []Record) (buf []byte, sizes []int64, growth int64, accepts bool) {
	buf, sizes = j.buf[:0], j.sizes[:0]
	for i := range records {
		before, seq := len(buf), j.seq+1+uint64(i)
		switch records[i].Op {
		case OpTaken:
			accepts, records[i].Entry.acceptedSeq = true, seq
		case OpEnd: // it stays in the log after the entry was removed
			if e := j.Entries[records[i].ID]; e != nil {
				records[i].Sum = e.Checksum()
			}
		}
		buf = appendFrame(buf, seq, j.unsynced(seq), &records[i])
		sizes = append(sizes, int64(len(buf)-before))
		growth += records[i].liveGrowth(sizes[i])
	}
	j.buf, j.sizes = buf, sizes
	return buf, sizes, growth, accepts
}

// unsynced returns how many records before a sequence may not survive a loss of power.
func (j *Journal) unsynced(seq uint64) uint32 {
	if !j.power {
		return 0
	}
	return uint32(seq - 1 - j.synced)
}

// makeRoom compacts until n bytes of records fit, of which at most growth bytes are live.
func (j *Journal) makeRoom(n, growth int64, accepts bool) error {
	if accepts {
		admits := func() bool { return j.limits.Admits(j.usage(), n, growth) && j.allocateSpare() }
		for remaining := max(compaction.MaxRewrite, 4*n); !admits(); { // bounded by the time of a few writes
			if remaining <= 0 || j.live+growth > j.limits.MaxLive() || j.compact(&remaining) != nil {
				return ErrFull
			}
		}
		return nil
	}
	// Not bounded in time: records of accepted messages have to be written, and the rewrite ratio makes this rare.
	for remaining := 4 * (j.total + j.limits.Budget); !j.limits.Fits(j.usage(), n); {
		if remaining <= 0 || j.compact(&remaining) != nil {
			return ErrFull
		}
	}
	return nil
}

// writeDurably appends bytes to the log at the configured level of durability. If the disk is full, the spare file is
// released for them unless accepts is set.
func (j *Journal) writeDurably(buf []byte, records int, accepts bool) error {
	err := j.writeOnce(buf)
	if vfs.IsNoSpace(err) && !accepts && (j.releaseSpare() || j.removeOldestSegment()) {
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
		j.file.Truncate(s.size) // best effort: nothing depends on it
		return j.Broken
	}
	j.synced = j.seq + uint64(records)
	return nil
}

// writeOnce appends bytes to the active segment, or to a new one where that is complete or torn. It does not sync.
func (j *Journal) writeOnce(buf []byte) error {
	if s := j.active(); s.size >= j.limits.Segment || j.activeTorn {
		if err := j.startSegment(s.number + 1); err != nil {
			return err
		}
	}
	s := j.active()
	if _, err := j.file.WriteAt(buf, s.size); err != nil {
		// A partial write must not be replayed. Where it cannot be truncated, the header of the next segment shows
		// where this one ends.
		j.activeTorn = j.file.Truncate(s.size) != nil
		return fmt.Errorf("journal: %w", err)
	}
	s.size += int64(len(buf))
	j.total += int64(len(buf))
	return nil
}

// active returns the segment that is written to.
func (j *Journal) active() *segment { return &j.segments[len(j.segments)-1] }

// startSegment syncs the active segment at level power and replaces it by a new one.
func (j *Journal) startSegment(number uint64) error {
	if j.power && j.file != nil {
		if err := j.sync(); err != nil {
			return err
		}
	}
	name := segmentName(number)
	file, err := j.dir.Create(name)
	if errors.Is(err, fs.ErrExist) { // left by a failed attempt that could not remove it
		if err = j.dir.Remove(name); err == nil {
			file, err = j.dir.Create(name)
		}
	}
	if err == nil {
		header := encodeSegmentHeader(number, j.seq+1)
		if _, err = file.WriteAt(header, 0); err == nil && j.power {
			err = j.dir.SyncDir()
		}
		if err == nil {
			if j.file != nil {
				j.file.Close()
			}
			j.file, j.segments = file, append(j.segments, segment{number, segmentHeaderSize})
			j.total += segmentHeaderSize
			j.activeTorn = false
			return nil
		}
		file.Close()
		j.dir.Remove(name)
	}
	return fmt.Errorf("journal: new segment: %w", err)
}

// sync makes all records survive a loss of power. A failure is final: it sets Broken.
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
