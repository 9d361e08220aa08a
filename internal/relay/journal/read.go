package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math"
	"slices"
	"strings"

	"larchrouter/internal/vfs"
)

// Report tells what was found in a folder.
type Report struct {
	Segments []SegmentReport
	Damage   []Damage
	// Suspects are messages that are held of which later records may be among those missing: an attempt, or even
	// their end. Where nothing says that they have run, their entries say that an attempt is out Nowhere.
	Suspects []string
	// Lost are ids with records of a message whose own record is missing: it is owed an end that cannot be given.
	Lost []string
	// TornBytes is how many bytes were dropped at the end of the log, which was being written when the process died.
	TornBytes int
	// LegacyUnread is how many bytes of a file of format 1 could not be read.
	LegacyUnread int
	// Foreign are files in the folder that are not the journal's.
	Foreign []string
}

// SegmentReport is one segment.
type SegmentReport struct {
	Name        string
	Bytes       int
	Records     int
	First, Last uint64 // sequences of its records; 0 if it has none
}

// UnknownZone is the zone of an attempt that is only supposed.
const UnknownZone = -2

// Damage is a place in the log at which records are missing.
type Damage struct {
	File        string // in which it was noticed
	From, To    int    // bytes that could not be read, which are kept in Saved; none if whole records are missing
	First, Last uint64 // sequences of the records that are missing
	Saved       string
}

// String names the file, the sequences that are missing, and the bytes that cannot be read if there are any.
func (d Damage) String() string {
	s := fmt.Sprintf("%s: records %d to %d are missing", d.File, d.First, d.Last)
	if d.To > d.From {
		s += fmt.Sprintf(", bytes %d to %d cannot be read", d.From, d.To)
	}
	return s
}

// loadedLog is what a folder holds, and what has to be mended there.
type loadedLog struct {
	report       Report
	segments     []segment
	lastSegment  uint64 // the highest number of a segment
	legacy       []byte
	obsolete     []string // segments that were being made, or an upgrade that was cut short
	tornSegment  string   // segment with a torn tail
	tornAt       int64
	damagedBytes map[string][]byte // damaged bytes, by the name that they are kept under
}

const damagedPrefix = "journal-damaged-"

// replayer is a log being read.
type replayer struct {
	*loadedLog
	*state
	nextSeq        uint64 // sequence that is expected; 0 if any may come
	unreadableTail *Damage
}

// replay brings a state up to date with what a folder holds, and changes nothing there.
func replay(dir vfs.System, s *state) (*loadedLog, error) {
	l := &loadedLog{damagedBytes: map[string][]byte{}}
	names, err := dir.Names()
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, name := range names {
		n, ok := parseSegmentName(name)
		switch {
		case ok:
			numbers = append(numbers, n)
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
	if l.legacy != nil { // an upgrade that was cut short is begun again
		for _, n := range numbers {
			l.obsolete = append(l.obsolete, segmentName(n))
		}
		return l, nil
	}
	r := &replayer{loadedLog: l, state: s}
	s.replaying, s.forgottenAt = true, map[string]uint64{}
	var ahead []byte // the segment after this one, which tells where this one ends
	for i, n := range numbers {
		data := ahead
		if i == 0 {
			if data, err = dir.Read(segmentName(n)); err != nil {
				return nil, err
			}
		}
		limit := uint64(math.MaxUint64)
		if ahead = nil; i+1 < len(numbers) {
			if ahead, err = dir.Read(segmentName(numbers[i+1])); err != nil {
				return nil, err
			}
			if first, err := decodeSegmentHeader(ahead); err == nil {
				limit = first
			}
		}
		if err := r.replaySegment(n, data, limit, i == len(numbers)-1); err != nil {
			return nil, fmt.Errorf("%s: %w", segmentName(n), err)
		}
	}
	s.finishReplay()
	for id := range s.suspects { // an attempt whose record is missing may be out, or may have run
		if e := s.Entries[id]; !e.Ran && e.Status == "" {
			e.Out, e.OutAt, e.OutTo = true, 0, UnknownZone
		}
	}
	l.report.Suspects = slices.Sorted(maps.Keys(s.suspects))
	l.report.Lost = slices.Sorted(maps.Keys(s.orphans))
	return l, nil
}

// replaySegment takes in one replaySegment. Records from limit on were written again in the next one, after a write that failed.
func (r *replayer) replaySegment(number uint64, data []byte, limit uint64, last bool) error {
	name := segmentName(number)
	rep := SegmentReport{Name: name, Bytes: len(data)}
	start := segmentHeaderSize
	first, err := decodeSegmentHeader(data)
	switch {
	case errors.Is(err, ErrNewer):
		return err
	case err != nil:
		start = 0
	case r.nextSeq == 0:
		r.nextSeq = first
	case first > r.nextSeq:
		r.addDamage(name, first, nil, data)
	}
	cut := -1
	end, tail := readFrames(data, start, func(at int, f frame, damage *byteRange) {
		if cut >= 0 || f.seq >= limit || f.seq < r.nextSeq {
			return
		}
		if f.seq > r.nextSeq && r.nextSeq > 0 {
			// Where nothing from the gap on was durable when this was written, power was lost under a write.
			if durable := f.seq - uint64(f.unsynced); last && f.unsynced > 0 && durable <= r.nextSeq {
				if cut = at; damage != nil {
					cut = damage.from
				}
				return
			}
			r.addDamage(name, f.seq, damage, data)
		}
		r.apply(f.seq, &f.record, number, int64(f.size))
		if r.nextSeq = f.seq + 1; rep.Records == 0 {
			rep.First = f.seq
		}
		rep.Records, rep.Last = rep.Records+1, f.seq
	})
	if cut < 0 {
		cut = end
	}
	size := int64(len(data))
	switch {
	case rep.Records == 0 && last && cut <= segmentHeaderSize: // it was being made
		r.obsolete = append(r.obsolete, name)
		r.report.TornBytes += max(0, len(data)-segmentHeaderSize)
		return nil
	case last && cut < len(data):
		r.tornSegment, r.tornAt, size = name, int64(cut), int64(cut)
		r.report.TornBytes = len(data) - cut
	case tail != nil: // whether records are missing shows at the next segment
		r.unreadableTail = &Damage{File: name, From: tail.from, To: tail.to}
		r.saveDamaged(r.unreadableTail, data)
	}
	r.report.Segments = append(r.report.Segments, rep)
	r.segments = append(r.segments, segment{number, size})
	return nil
}

// addDamage notes that records up to one are addDamage.
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

// saveDamaged keeps the bytes that could not be read for those who look into it.
func (r *replayer) saveDamaged(d *Damage, data []byte) {
	d.Saved = fmt.Sprintf("%s%s-%d", damagedPrefix, strings.TrimPrefix(d.File, segmentPrefix), d.From)
	r.damagedBytes[d.Saved] = data[d.From:d.To]
}

// repair removes what was being made, cuts what is torn, and keeps what is damaged.
func (l *loadedLog) repair(dir vfs.System) error {
	for _, name := range append(l.obsolete, legacyTempName) {
		if err := dir.Remove(name); err != nil {
			return err
		}
	}
	if l.tornSegment != "" {
		if err := dir.Truncate(l.tornSegment, l.tornAt); err != nil {
			return err
		}
	}
	for name, data := range l.damagedBytes {
		f, err := dir.Create(name)
		if errors.Is(err, fs.ErrExist) {
			continue // kept at an earlier start
		}
		if err == nil {
			_, err = f.WriteAt(data, 0)
			f.Close()
		}
		if err != nil { // a full disk is no reason to stay down: the bytes stand in the segment for a while yet
			dir.Remove(name)
		}
	}
	return nil
}

// Inspect reads a folder and changes nothing. Its entries and what else it knows are as Open would have them.
func Inspect(dir string) (*Journal, error) {
	j := &Journal{state: newState(Retention{MaxIDs: math.MaxInt32, MaxBytes: math.MaxInt64, MaxAgeMs: math.MaxInt64}), dir: vfs.Dir(dir)}
	l, err := replay(j.dir, &j.state)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.report = l.report
	if l.legacy != nil {
		j.report.LegacyUnread = j.state.replayLegacy(l.legacy)
		j.report.Segments = []SegmentReport{{Name: legacyName, Bytes: len(l.legacy), Records: int(j.seq)}}
	}
	for _, s := range j.report.Segments {
		j.total += int64(s.Bytes)
	}
	return j, nil
}
