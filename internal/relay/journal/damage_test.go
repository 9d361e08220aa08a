package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// A tail that was torn at any byte is truncated without damage, and the next record is appended there.
func TestTornTailIsTruncated(t *testing.T) {
	src := t.TempDir()
	j := mustOpen(t, src, 3e6)
	mustAppend(t, j, takenRecord("a", 10))
	one := j.Size()
	mustAppend(t, j, takenRecord("b", 10))
	complete, err := os.ReadFile(filepath.Join(src, segmentName(1)))
	if err != nil {
		t.Fatal(err)
	}
	for cut := int(one); cut <= len(complete); cut++ {
		data := bytes.Clone(complete[:cut])
		if cut == len(complete) {
			data[cut-1] ^= 1 // complete, but the checksum differs
		}
		dir := t.TempDir()
		write(t, dir, segmentName(1), data)
		j := mustOpen(t, dir, 3e6)
		want(t, "entries", len(j.Entries), 1)
		want(t, "damage", len(j.Report().Damage), 0)
		want(t, "bytes dropped", j.Report().TornBytes, cut-int(one))
		mustAppend(t, j, takenRecord("c", 10))
		j = mustOpen(t, dir, 3e6)
		want(t, "entries after the next start", len(j.Entries), 2)
		want(t, "damage after the next start", len(j.Report().Damage), 0)
	}
}

// Damage in the middle of the log hides no record behind it: the missing sequences and the messages that they may concern
// are reported, and the unreadable bytes are saved.
func TestReplayContinuesBehindDamage(t *testing.T) {
	for _, tc := range []struct {
		name    string
		segment uint64
		damage  func([]byte) []byte
		missing string // sequences
		entries string
		suspect string
		lost    string // ids
		saved   bool
	}{
		{"flipped bit in a record", 1, func(d []byte) []byte { d[segmentHeaderSize+frameHeaderSize+4] ^= 4; return d },
			"1 to 1", "[b c]", "[]", "[a]", true},
		{"damaged length of a record", 1, func(d []byte) []byte { d[segmentHeaderSize+5] = 0xff; return d }, "1 to 1", "[b c]",
			"[]", "[a]", true},
		{"damaged last record of a segment", 1, func(d []byte) []byte { d[len(d)-1] ^= 1; return d }, "3 to 3", "[a b c]",
			"[a b]", "[]", true},
		{"truncated segment", 1, func(d []byte) []byte { return d[:len(d)-9] }, "3 to 3", "[a b c]", "[a b]", "[]", true},
		{"damaged header", 2, func(d []byte) []byte { d[9] ^= 1; return d }, "", "[a b c]", "[]", "[]", false},
		{"missing segment", 2, func(d []byte) []byte { return nil }, "4 to 5", "[a b]", "[a b]", "[]", false},
		{"zeroed segment", 2, func(d []byte) []byte { return make([]byte, len(d)) }, "4 to 5", "[a b]", "[a b]", "[]", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			mustAppend(t, mustOpen(t, dir, 3e6), takenRecord("a", 100), takenRecord("b", 100),
				Record{Op: OpTry, ID: "b", At: 1})
			mustAppend(t, mustOpen(t, dir, 3e6), takenRecord("c", 100), Record{Op: OpOutcome, ID: "b"})
			mustAppend(t, mustOpen(t, dir, 3e6), Record{Op: OpTry, ID: "a", At: 2}, Record{Op: OpHealth, ID: "h", Ran: true})
			data, err := os.ReadFile(filepath.Join(dir, segmentName(tc.segment)))
			if err != nil {
				t.Fatal(err)
			}
			if data = tc.damage(data); data == nil {
				os.Remove(filepath.Join(dir, segmentName(tc.segment)))
			} else {
				write(t, dir, segmentName(tc.segment), data)
			}
			seen, err := Inspect(dir)
			if err != nil {
				t.Fatal(err)
			}
			for _, j := range []*Journal{seen, mustOpen(t, dir, 3e6)} {
				rep, missing := j.Report(), ""
				for _, d := range rep.Damage {
					missing += fmt.Sprintf("%d to %d", d.First, d.Last)
				}
				ids := []string{}
				for _, e := range j.InOrder() {
					ids = append(ids, e.ID)
				}
				want(t, "missing records", missing, tc.missing)
				want(t, "entries", fmt.Sprint(ids), tc.entries)
				want(t, "suspects", fmt.Sprint(rep.Suspects), tc.suspect)
				for _, id := range rep.Suspects {
					want(t, "a suspect has an attempt in flight", j.Entries[id].Out, true)
				}
				want(t, "lost messages", fmt.Sprint(rep.Lost), tc.lost)
				want(t, "status from behind the damage", j.Unhealthy["h"].Ran, true)
			}
			saved, _ := filepath.Glob(filepath.Join(dir, damagedPrefix+"*"))
			want(t, "damaged bytes saved", len(saved) > 0, tc.saved)
		})
	}
}

// Any bytes in a segment: no panic, no invented entry, and the journal accepts records.
func FuzzSegment(f *testing.F) {
	good := encodeSegmentHeader(1, 1)
	for i, r := range sampleRecords() {
		good = appendFrame(good, uint64(i+1), 0, &r)
	}
	f.Add(good, uint16(40), byte(1))
	f.Add(good[:len(good)-3], uint16(0), byte(0))
	f.Add([]byte{}, uint16(0), byte(0))
	f.Fuzz(func(t *testing.T, data []byte, at uint16, flip byte) {
		data = bytes.Clone(data)
		if int(at) < len(data) {
			data[at] ^= flip
		}
		dir := t.TempDir()
		write(t, dir, segmentName(1), data)
		j, err := Open(dir, Options{Budget: 3e6, Retention: testRetention})
		if errors.Is(err, ErrNewer) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		before := len(j.Entries)
		if before > len(data)/frameHeaderSize {
			t.Fatalf("%d entries from %d bytes", before, len(data))
		}
		mustAppend(t, j, takenRecord("a new id", 3))
		j.Close()
		j = mustOpen(t, dir, 3e6)
		if after := len(j.Entries); after != before+1 {
			t.Fatalf("%d entries, then %d", before, after)
		}
	})
}
