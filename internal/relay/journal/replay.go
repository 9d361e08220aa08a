package journal

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"larchrouter/internal/vfs"
)

// loadedLog is what replay found in a directory, with the repairs that its files need.
type loadedLog struct {
	report       Report
	segments     []segment
	lastSegment  uint64 // highest number of a segment
	legacy       []byte
	obsolete     []string          // segments without records, or those of an interrupted migration
	tornSegment  string            // segment with a torn tail
	tornAt       int64             // its new size
	damagedBytes map[string][]byte // by the name of the file to save them in
}

const damagedPrefix = "journal-damaged-"

// replayer applies the segments of a log in turn.
type replayer struct {
	*loadedLog
	*state
	nextSeq        uint64  // expected sequence; 0 if any is valid
	unreadableTail *Damage // at the end of the previous segment, nil if there is none
}

// replay brings a state up to date with the log of a directory. It changes nothing there.
func replay(dir vfs.System, s *state) (*loadedLog, error) {
	log := &loadedLog{damagedBytes: map[string][]byte{}}
	numbers, err := log.scan(dir)
	if err != nil {
		return nil, err
	}
	if log.legacy != nil { // an interrupted migration is started again
		for _, number := range numbers {
			log.obsolete = append(log.obsolete, segmentName(number))
		}
		return log, nil
	}
	s.replaying, s.forgottenAt = true, map[string]uint64{}
	r := &replayer{loadedLog: log, state: s}
	if err := r.replaySegments(dir, numbers); err != nil {
		return nil, err
	}
	s.finishReplay()
	for id := range s.suspects { // an attempt whose record is missing may be in flight, or have run
		if e := s.Entries[id]; !e.Ran && e.Status == "" {
			e.Out, e.OutAt, e.OutTo = true, 0, UnknownZone
		}
	}
	log.report.Suspects = slices.Sorted(maps.Keys(s.suspects))
	log.report.Lost = slices.Sorted(maps.Keys(s.orphans))
	return log, nil
}

// scan returns the numbers of the segments in a directory in order. It reads a file of format 1 and notes foreign files.
func (l *loadedLog) scan(dir vfs.System) (numbers []uint64, err error) {
	names, err := dir.Names()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		number, ok := parseSegmentName(name)
		switch {
		case ok:
			numbers = append(numbers, number)
		case name == legacyName:
			if l.legacy, err = dir.Read(name); err != nil {
				return nil, err
			}
			if l.legacy == nil {
				l.legacy = []byte{}
			}
		case name != legacyTempName && name != spareName && !strings.HasPrefix(name, damagedPrefix):
			l.report.Foreign = append(l.report.Foreign, name)
		}
	}
	slices.Sort(numbers)
	if len(numbers) > 0 {
		l.lastSegment = numbers[len(numbers)-1]
	}
	return numbers, nil
}

// replaySegments applies all segments in order, with at most two of them in memory.
func (r *replayer) replaySegments(dir vfs.System, numbers []uint64) (err error) {
	var next []byte // contents of the next segment, whose header limits this one
	for i, number := range numbers {
		data := next
		if i == 0 {
			if data, err = dir.Read(segmentName(number)); err != nil {
				return err
			}
		}
		limit := uint64(math.MaxUint64)
		if next = nil; i+1 < len(numbers) {
			if next, err = dir.Read(segmentName(numbers[i+1])); err != nil {
				return err
			}
			if first, err := decodeSegmentHeader(next); err == nil {
				limit = first
			}
		}
		s := &segmentReplay{replayer: r, number: number, data: data, limit: limit, last: i == len(numbers)-1, tornAt: -1}
		if err := s.replay(); err != nil {
			return fmt.Errorf("%s: %w", segmentName(number), err)
		}
	}
	return nil
}

// segmentReplay applies the records of one segment.
type segmentReplay struct {
	*replayer
	number uint64
	data   []byte
	limit  uint64 // records from this sequence on were written again in the next segment, after a failed write
	last   bool   // only the last segment may have a torn tail
	found  SegmentReport
	tornAt int // offset of the first frame of a torn tail; below 0 if there is none
}

// replay applies the records of the segment. An unreadable tail is torn in the last segment, and damage in any other.
func (s *segmentReplay) replay() error {
	s.found = SegmentReport{Name: segmentName(s.number), Bytes: len(s.data)}
	start := segmentHeaderSize
	first, err := decodeSegmentHeader(s.data)
	switch {
	case errors.Is(err, ErrNewer):
		return err
	case err != nil:
		start = 0
	case s.nextSeq == 0:
		s.nextSeq = first
	case first > s.nextSeq:
		s.addDamage(s.found.Name, first, nil, s.data)
	}
	end, unreadable := readFrames(s.data, start, s.applyFrame)
	if s.tornAt >= 0 {
		end = s.tornAt
	}
	s.finish(end, unreadable)
	return nil
}

// applyFrame applies the record of one frame, unless it is a duplicate or part of a torn tail.
func (s *segmentReplay) applyFrame(offset int, f frame, damage *byteRange) {
	if s.tornAt >= 0 || f.seq >= s.limit || f.seq < s.nextSeq {
		return
	}
	if f.seq > s.nextSeq && s.nextSeq > 0 {
		// A gap of records that were not synced when this one was written is a torn tail after a loss of power.
		if durable := f.seq - uint64(f.unsynced); s.last && f.unsynced > 0 && durable <= s.nextSeq {
			if s.tornAt = offset; damage != nil {
				s.tornAt = damage.from
			}
			return
		}
		s.addDamage(s.found.Name, f.seq, damage, s.data)
	}
	s.apply(f.seq, &f.record, s.number, int64(f.size))
	if s.nextSeq = f.seq + 1; s.found.Records == 0 {
		s.found.First = f.seq
	}
	s.found.Records, s.found.Last = s.found.Records+1, f.seq
}

// finish adds the segment to the log, and decides about the bytes behind the end of its last frame.
func (s *segmentReplay) finish(end int, unreadable *byteRange) {
	size := int64(len(s.data))
	switch {
	case s.found.Records == 0 && s.last && end <= segmentHeaderSize: // its creation was interrupted
		s.obsolete = append(s.obsolete, s.found.Name)
		s.report.TornBytes += max(0, len(s.data)-segmentHeaderSize)
		return
	case s.last && end < len(s.data):
		s.tornSegment, s.loadedLog.tornAt, size = s.found.Name, int64(end), int64(end)
		s.report.TornBytes = len(s.data) - end
	case unreadable != nil: // the next segment shows whether records are missing
		s.unreadableTail = &Damage{File: s.found.Name, From: unreadable.from, To: unreadable.to}
		s.saveDamaged(s.unreadableTail, s.data)
	}
	s.report.Segments = append(s.report.Segments, s.found)
	s.segments = append(s.segments, segment{s.number, size})
}

// addDamage records that the sequences from the expected one to until-1 are missing.
func (r *replayer) addDamage(name string, until uint64, at *byteRange, data []byte) {
	d := Damage{File: name}
	if r.unreadableTail != nil {
		d = *r.unreadableTail
	}
	if at != nil {
		d.File, d.From, d.To = name, at.from, at.to
		r.saveDamaged(&d, data)
	}
	d.First, d.Last = r.nextSeq, until-1
	r.report.Damage = append(r.report.Damage, d)
	r.nextSeq, r.unreadableTail = until, nil
	r.markSuspects()
}

// saveDamaged schedules the unreadable bytes to be copied to a file of their own.
func (r *replayer) saveDamaged(d *Damage, data []byte) {
	d.Saved = fmt.Sprintf("%s%s-%d", damagedPrefix, strings.TrimPrefix(d.File, segmentPrefix), d.From)
	r.damagedBytes[d.Saved] = data[d.From:d.To]
}
