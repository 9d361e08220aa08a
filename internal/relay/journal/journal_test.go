package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"larchrouter/internal/vfs"
)

var testRetention = Retention{MaxIDs: 50, MaxBytes: 1 << 20, MaxAgeMs: 1 << 40}

func mustOpen(t testing.TB, dir string, budget int64) *Journal {
	t.Helper()
	j, err := Open(dir, Options{Budget: budget, Retention: testRetention})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	return j
}

func want[T comparable](t testing.TB, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s is %v, want %v", what, got, want)
	}
}

func mustAppend(t testing.TB, j *Journal, recs ...Record) {
	t.Helper()
	if err := j.Append(recs...); err != nil {
		t.Fatal(err)
	}
}

func takenRecord(id string, size int) Record {
	return Record{Op: OpTaken, Entry: &Entry{ID: id, Class: "payment", Dest: 7, Due: 99, Body: bytes.Repeat([]byte{7}, size)}}
}

// dump is all that a state knows, as text.
func (s *state) dump() string {
	var b strings.Builder
	for _, e := range s.InOrder() {
		c := *e
		c.acceptedSeq, c.size, c.position = 0, 0, 0
		if len(c.Body) > 0 {
			c.Sum, c.Bytes, c.Body = c.Checksum(), len(c.Body), nil
		}
		data, _ := json.Marshal(&c)
		b.Write(append(data, '\n'))
	}
	for _, all := range []any{s.Unhealthy, s.Drains, s.Overrides, s.CompletedIDs()} {
		data, _ := json.Marshal(all)
		b.Write(append(data, '\n'))
	}
	return b.String()
}

// sampleRecords is a record of each kind, and a message in each state.
func sampleRecords() []Record {
	return []Record{takenRecord("a", 10), takenRecord("b", 10), takenRecord("c", 10), takenRecord("d", 10), takenRecord("gone", 10),
		{Op: OpTry, ID: "a", At: 5, Wait: 300, Zone: 2}, {Op: OpOutcome, ID: "a", Ran: true},
		{Op: OpTry, ID: "a", At: 9, Zone: 1, Host: "s-1"}, {Op: OpOutcome, ID: "a", Ran: true, Why: "reset", Wait: 12},
		{Op: OpTry, ID: "b", At: 6, Zone: 1}, {Op: OpEnd, ID: "c", At: 77},
		{Op: OpNotice, ID: "d", Status: "deferred", Again: 700, At: 78, Why: "its time was up"}, {Op: OpHealth, ID: "s-1", Ran: true, Base: 2.5},
		{Op: OpDrain, ID: "pay/s-1", Ran: true, At: 4, Status: "op"}, {Op: OpDrain, ID: "x", Ran: true}, {Op: OpDrain, ID: "x"},
		{Op: OpOverride, ID: "partner:p", Ran: true, Again: 1, Host: "r1", Status: "op"}, {Op: OpOverride, ID: "partner:p", Again: 2, Host: "r2", Status: "op"},
		{Op: OpForget, ID: "gone"}}
}

func TestReplayRestoresEntriesAndStatus(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir, 3e6)
	for _, r := range sampleRecords() {
		mustAppend(t, j, r)
	}
	for range 3 { // in the end all has been carried
		j = mustOpen(t, dir, 3e6)
		want(t, "entries", len(j.Entries), 3)
		a, b, d := j.Entries["a"], j.Entries["b"], j.Entries["d"]
		want(t, "a", fmt.Sprint(a.Tries, a.Ran, a.RanAt, a.Zone, a.Out, len(a.Body), a.Log), "2 true 5 2 false 10 [{s-1 9 12 reset true}]")
		want(t, "b", fmt.Sprint(b.Tries, b.Ran, b.Out, b.OutAt, b.OutTo), "1 false true 6 1")
		want(t, "d", fmt.Sprint(d.Status, " ", d.Again, d.EndAt, d.Why, " ", d.Sum == takenRecord("d", 10).Entry.Checksum()), "deferred 700 78its time was up true")
		want(t, "host in an outage", j.Unhealthy["s-1"].Base, 2.5)
		want(t, "drains", fmt.Sprint(len(j.Drains), " ", j.Drains["pay/s-1"].Status), "1 op")
		want(t, "words, those that were taken back among them", fmt.Sprint(len(j.Overrides), j.Overrides["partner:p"].Ran, j.Overrides["partner:p"].Again), "1 false 2")
		ended := j.CompletedIDs()
		want(t, "ended ids", fmt.Sprint(len(ended), " ", ended[0].ID, " ", ended[0].At, ended[0].Sum == takenRecord("c", 10).Entry.Checksum()), "1 c 77 true")
		want(t, "damage", fmt.Sprint(len(j.Report().Damage), j.Report().TornBytes), "0 0")
		for left := int64(1 << 20); left > 0; {
			if err := j.compact(&left); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against an order by places in the log, which change: messages come back in the order in which they came.
func TestCompactionKeepsAcceptanceOrder(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir, 256<<10)
	mustAppend(t, j, takenRecord("first", 100), takenRecord("second", 100))
	for i := range 3000 {
		mustAppend(t, j, takenRecord(fmt.Sprint("m", i), 300), Record{Op: OpEnd, ID: fmt.Sprint("m", i)})
	}
	mustAppend(t, j, takenRecord("last", 100))
	j = mustOpen(t, dir, 256<<10)
	var ids []string
	for _, e := range j.InOrder() {
		ids = append(ids, e.ID)
	}
	want(t, "order", fmt.Sprint(ids), "[first second last]")
}

func TestRetentionOfCompletedIDs(t *testing.T) {
	for _, tc := range []struct {
		name   string
		memory Retention
		want   string
	}{
		{"by number", Retention{MaxIDs: 2, MaxBytes: 1 << 20, MaxAgeMs: 1 << 40}, "[m3 m4]"},
		{"by bytes", Retention{MaxIDs: 99, MaxBytes: 3 * (maxCompletedSize + 2), MaxAgeMs: 1 << 40}, "[m2 m3 m4]"},
		{"by age", Retention{MaxIDs: 99, MaxBytes: 1 << 20, MaxAgeMs: 1000}, "[m3 m4]"},
		{"none", Retention{}, "[]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			for range 2 {
				j, err := Open(dir, Options{Budget: 3e6, Retention: tc.memory})
				if err != nil {
					t.Fatal(err)
				}
				if len(j.CompletedIDs()) == 0 {
					for i := range 5 {
						id := fmt.Sprint("m", i)
						mustAppend(t, j, takenRecord(id, 1), Record{Op: OpEnd, ID: id, At: int64(1 + i*600)})
					}
				}
				ids := []string{}
				for _, e := range j.CompletedIDs() {
					ids = append(ids, e.ID)
				}
				want(t, "remembered", fmt.Sprint(ids), tc.want)
				mustAppend(t, j, takenRecord("m4", 5)) // the id is in use anew
				for _, e := range j.CompletedIDs() {
					want(t, "remembered while it is in use", e.ID == "m4", false)
				}
				mustAppend(t, j, Record{Op: OpEnd, ID: "m4", At: 2401})
				j.Close()
			}
		})
	}
}

// Guards against a crash, or the loss of what came before, after a write that a kill cut short.
func TestTornTailIsTruncated(t *testing.T) {
	src := t.TempDir()
	j := mustOpen(t, src, 3e6)
	mustAppend(t, j, takenRecord("a", 10))
	one := j.Size()
	mustAppend(t, j, takenRecord("b", 10))
	whole, err := os.ReadFile(filepath.Join(src, segmentName(1)))
	if err != nil {
		t.Fatal(err)
	}
	for cut := int(one); cut <= len(whole); cut++ {
		data := bytes.Clone(whole[:cut])
		if cut == len(whole) {
			data[cut-1] ^= 1 // complete, but damaged
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

func write(t testing.TB, dir, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// A record in the middle that cannot be read hides nothing behind it: what is missing is named, with what it may
// concern, and the bytes are kept.
func TestReplayContinuesBehindDamage(t *testing.T) {
	for _, tc := range []struct {
		name    string
		segment uint64
		harm    func([]byte) []byte
		lost    string // records
		entries string
		suspect string
		ids     string // of messages that are missing
		saved   bool
	}{
		{"a bit of one record", 1, func(d []byte) []byte { d[segmentHeaderSize+frameHeaderSize+4] ^= 4; return d }, "1 to 1", "[b c]", "[]", "[a]", true},
		{"the length of one", 1, func(d []byte) []byte { d[segmentHeaderSize+5] = 0xff; return d }, "1 to 1", "[b c]", "[]", "[a]", true},
		{"the last one of a segment", 1, func(d []byte) []byte { d[len(d)-1] ^= 1; return d }, "3 to 3", "[a b c]", "[a b]", "[]", true},
		{"a segment's end", 1, func(d []byte) []byte { return d[:len(d)-9] }, "3 to 3", "[a b c]", "[a b]", "[]", true},
		{"a head", 2, func(d []byte) []byte { d[9] ^= 1; return d }, "", "[a b c]", "[]", "[]", false},
		{"all of a segment", 2, func(d []byte) []byte { return nil }, "4 to 5", "[a b]", "[a b]", "[]", false},
		{"zeros over a segment", 2, func(d []byte) []byte { return make([]byte, len(d)) }, "4 to 5", "[a b]", "[a b]", "[]", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			mustAppend(t, mustOpen(t, dir, 3e6), takenRecord("a", 100), takenRecord("b", 100), Record{Op: OpTry, ID: "b", At: 1})
			mustAppend(t, mustOpen(t, dir, 3e6), takenRecord("c", 100), Record{Op: OpOutcome, ID: "b"})
			mustAppend(t, mustOpen(t, dir, 3e6), Record{Op: OpTry, ID: "a", At: 2}, Record{Op: OpHealth, ID: "h", Ran: true})
			data, err := os.ReadFile(filepath.Join(dir, segmentName(tc.segment)))
			if err != nil {
				t.Fatal(err)
			}
			if data = tc.harm(data); data == nil {
				os.Remove(filepath.Join(dir, segmentName(tc.segment)))
			} else {
				write(t, dir, segmentName(tc.segment), data)
			}
			seen, err := Inspect(dir)
			if err != nil {
				t.Fatal(err)
			}
			for _, j := range []*Journal{seen, mustOpen(t, dir, 3e6)} {
				rep, lost := j.Report(), ""
				for _, d := range rep.Damage {
					lost += fmt.Sprintf("%d to %d", d.First, d.Last)
				}
				ids := []string{}
				for _, e := range j.InOrder() {
					ids = append(ids, e.ID)
				}
				want(t, "records missing", lost, tc.lost)
				want(t, "entries", fmt.Sprint(ids), tc.entries)
				want(t, "suspects", fmt.Sprint(rep.Suspects), tc.suspect)
				for _, id := range rep.Suspects {
					want(t, "a suspect may have an attempt out", j.Entries[id].Out, true)
				}
				want(t, "messages missing", fmt.Sprint(rep.Lost), tc.ids)
				want(t, "what came after", j.Unhealthy["h"].Ran, true)
			}
			saved, _ := filepath.Glob(filepath.Join(dir, damagedPrefix+"*"))
			want(t, "damaged bytes kept", len(saved) > 0, tc.saved)
		})
	}
}

// Guards against going over the budget, with which a relay has crashed, and against a full journal that cannot
// record how the messages in it end.
func TestFilesStayWithinBudget(t *testing.T) {
	const budget = 1 << 20
	dir := t.TempDir()
	j := mustOpen(t, dir, budget)
	check := func() {
		t.Helper()
		sum := int64(0)
		names, _ := vfs.Dir(dir).Names()
		for _, name := range names {
			if info, err := os.Stat(filepath.Join(dir, name)); err == nil {
				sum += info.Size()
			}
		}
		if sum > budget {
			t.Fatalf("the files take %d of %d", sum, budget)
		}
	}
	for round := range 4 {
		var err error
		n := 0
		for ; err == nil; n++ {
			err = j.Append(takenRecord(fmt.Sprint("m", round, "-", n), 5000))
			check()
		}
		if !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
		if n < 80 {
			t.Fatalf("only %d messages of 5,000 bytes fit into %d", n, budget)
		}
		for i := range n - 1 {
			id := fmt.Sprint("m", round, "-", i)
			mustAppend(t, j, Record{Op: OpTry, ID: id}, Record{Op: OpOutcome, ID: id}, Record{Op: OpNotice, ID: id, Status: "deferred"})
			check()
		}
		for i := range n - 1 {
			mustAppend(t, j, Record{Op: OpForget, ID: fmt.Sprint("m", round, "-", i)})
		}
		check()
		want(t, "live bytes", j.live, 0)
	}
}

// A folder that is a symbolic link, or has files of others, serves; one that cannot be written is refused.
func TestOpenDirectories(t *testing.T) {
	real := t.TempDir()
	link := filepath.Join(t.TempDir(), "state")
	if err := os.Symlink(real, link); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"notes.txt", "journal-", "journal-1", "journal-00000001.bak", "journal-x"} {
		write(t, real, name, []byte("somebody's"))
	}
	mustAppend(t, mustOpen(t, link, 3e6), takenRecord("a", 10))
	j := mustOpen(t, real, 3e6)
	want(t, "entries", len(j.Entries), 1)
	want(t, "files of others", len(j.Report().Foreign), 5)
	for _, name := range j.Report().Foreign {
		data, err := os.ReadFile(filepath.Join(real, name))
		if err != nil || string(data) != "somebody's" {
			t.Errorf("%s was touched: %q, %v", name, data, err)
		}
	}
	if _, err := Open(filepath.Join(real, "missing"), Options{Budget: 3e6}); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a folder that is not there: %v", err)
	}
	write(t, real, "plain", nil)
	if _, err := Open(filepath.Join(real, "plain"), Options{Budget: 3e6}); err == nil {
		t.Error("a file was taken for a folder")
	}
}

func TestNewerFormatIsRefused(t *testing.T) {
	dir := t.TempDir()
	mustOpen(t, dir, 3e6)
	head := encodeSegmentHeader(1, 1)
	binary.LittleEndian.PutUint32(head[8:], formatVersion+1)
	binary.LittleEndian.PutUint32(head[segmentHeaderSize-4:], crc32.Checksum(head[:segmentHeaderSize-4], castagnoliTable))
	write(t, dir, segmentName(1), head)
	_, err := Open(dir, Options{Budget: 3e6})
	if !errors.Is(err, ErrNewer) || strings.Contains(err.Error(), "\n") {
		t.Fatalf("a newer journal: %v", err)
	}
	left, _ := os.ReadFile(filepath.Join(dir, segmentName(1)))
	want(t, "untouched", bytes.Equal(left, head), true)
}

// legacyFile is a journal of format 1.
func legacyFile(recs ...Record) (buf []byte) {
	for _, r := range recs {
		payload, _ := json.Marshal(r)
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
		buf = binary.LittleEndian.AppendUint32(buf, crc32.ChecksumIEEE(payload))
		buf = append(buf, payload...)
	}
	return buf
}

func TestMigratesFormat1(t *testing.T) {
	dir := t.TempDir()
	old := sampleRecords()[:len(sampleRecords())-1] // what did not exist then
	write(t, dir, legacyName, append(legacyFile(old...), 1, 2, 3))
	write(t, dir, legacyTempName, []byte("half a compaction"))
	plain := newState(testRetention)
	for i, r := range old {
		plain.apply(uint64(i+1), &r, 0, 100)
	}
	for range 2 {
		j := mustOpen(t, dir, 3e6)
		want(t, "all that it knows", j.dump(), plain.dump())
		names, _ := vfs.Dir(dir).Names()
		want(t, "old files left", strings.Contains(fmt.Sprint(names), "journal "), false)
		want(t, "old copy left", strings.Contains(fmt.Sprint(names), legacyTempName), false)
	}
}

// Any bytes in a segment: no panic, no message made up, and the journal serves.
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

// Records at the bounds of what a relay takes: bodies of 64 KiB and none, ids and keys of 200 bytes, a hundred attempts.
func TestLargestRecords(t *testing.T) {
	dir := t.TempDir()
	j := mustOpen(t, dir, 3e6)
	id := strings.Repeat("i", 199)
	for round := range 60 {
		for n, size := range []int{64 << 10, 0, 1} {
			r := takenRecord(id+fmt.Sprint(n), size)
			r.Entry.Key = strings.Repeat("k", 200)
			mustAppend(t, j, r)
			for range 100 {
				mustAppend(t, j, Record{Op: OpTry, ID: r.Entry.ID, At: 1, Host: strings.Repeat("h", 100)}, Record{Op: OpOutcome, ID: r.Entry.ID, Why: "no connection"})
			}
		}
		if round%20 == 0 {
			j = mustOpen(t, dir, 3e6)
		}
		want(t, "entries", len(j.Entries), 3)
		want(t, "bytes", len(j.Entries[id+"0"].Body), 64<<10)
		want(t, "attempts", len(j.Entries[id+"1"].Log), 100)
		for n := range 3 {
			mustAppend(t, j, Record{Op: OpNotice, ID: id + fmt.Sprint(n), Status: "deferred"}, Record{Op: OpEnd, ID: id + fmt.Sprint(n)})
		}
	}
}
