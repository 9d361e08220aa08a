package journal

import (
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"larchrouter/internal/fixture"
)

// The fixtures are state directories of a killed process: one for each format of the journal that is read.
//
//	testdata/state-format-1  the one file of JSON records, with an interrupted compaction
//	testdata/state-format-2  two segments, the first written at level process and the second at level power

// frozenFrame is a frame of a segment.
type frozenFrame struct {
	seq      uint64
	unsynced uint32
	record   Record
}

// fullEntry has a distinct value in every stored field.
func fullEntry() *Entry {
	return &Entry{ID: "full", Class: "job-order", Dest: 11, Key: "key-12", Order: "order-13", Effect: 3, Due: 1700000014000,
		Body: []byte("body\x00\xff"), Tries: 15, Wait: 16, Ran: true, RanAt: 1700000017000, Zone: 18, Out: true, OutAt: 1700000019000, OutTo: 20,
		Status: "deferred", Again: 1700000021000, Partner: "acme", TakenAt: 1700000022000, EndAt: 1700000023000, Why: "its time was up",
		Sum: 0x24252627, Bytes: 28, Log: []Attempt{
			{Host: "host-29", At: 1700000030000, Took: 31, Outcome: "reset", Ran: true},
			{Host: "host-32", At: 1700000033000}}, acceptedSeq: 3}
}

// processFrames are the records of the first segment.
func processFrames() []frozenFrame {
	small := func(id string, number uint64) *Entry {
		return &Entry{ID: id, Class: "payment", Dest: 7, Due: 1700000001000, Body: []byte("body of " + id), acceptedSeq: number}
	}
	return []frozenFrame{
		{1, 0, Record{Op: OpTaken, Entry: small("over", 1)}},
		{2, 0, Record{Op: OpEnd, ID: "over", At: 1700000002000, Sum: 0x257e0630}},
		{3, 0, Record{Op: OpTaken, Entry: fullEntry()}},
		{4, 0, Record{Op: OpTaken, Entry: small("tried", 4)}},
		{5, 0, Record{Op: OpTry, ID: "tried", At: 1700000005000, Wait: 300, Zone: 2, Host: "host-1"}},
		{6, 0, Record{Op: OpOutcome, ID: "tried", Ran: true, Wait: 12, Why: "timed out"}},
		{7, 0, Record{Op: OpTry, ID: "tried", At: 1700000007000, Wait: 301, Zone: -1}},
		{8, 0, Record{Op: OpTaken, Entry: small("owed", 8)}},
		{9, 0, Record{Op: OpNotice, ID: "owed", Status: "undeliverable", Again: 1700000009500, At: 1700000009000,
			Why: "refused", Sum: 0x51525354}},
		{10, 0, Record{Op: OpTaken, Entry: small("gone", 10)}},
		{11, 0, Record{Op: OpHealth, ID: "host-1", Ran: true, Base: 2.5, At: 1700000011000}},
		{12, 0, Record{Op: OpHealth, ID: "host-2", Ran: true, Base: 0.125, At: 1700000012000}},
		{13, 0, Record{Op: OpHealth, ID: "host-2"}},
		{14, 0, Record{Op: OpDrain, ID: "partner:acme", Ran: true, At: 1700000014000, Status: "op", Wait: 30000}},
		{15, 0, Record{Op: OpDrain, ID: "relay", Ran: true, At: 1700000015000, Status: "op", Wait: 60000}},
		{16, 0, Record{Op: OpDrain, ID: "relay"}},
		{17, 0, Record{Op: OpOverride, ID: "endpoint:pay-1", Ran: true, Again: 4, Host: "r1", Status: "op", At: 1700000017000}},
		{18, 0, Record{Op: OpOverride, ID: "gone:r3", Again: 2, Host: "r2", Status: "other", At: 1700000018000}},
		{19, 0, Record{Op: OpForget, ID: "gone"}},
	}
}

// powerFrames are the records of the second segment: first the rewritten ones.
func powerFrames() []frozenFrame {
	return []frozenFrame{
		{20, 0, Record{Op: opCompleted, ID: "over", At: 1700000002000, Sum: 0x257e0630}},
		{21, 1, Record{Op: opRewritten, Entry: fullEntry()}},
		{22, 2, Record{Op: OpTaken, Entry: &Entry{ID: "late", Class: "payment", Dest: 8, Due: 1700000022000,
			Body: []byte("late"), acceptedSeq: 22}}},
		{23, 3, Record{Op: OpTry, ID: "late", At: 1700000023000, Wait: 400, Zone: 1}},
		{24, 4, Record{Op: OpOutcome, ID: "late"}},
	}
}

// format1Records are those of the first segment that existed in format 1, which had no Order.
func format1Records() (all []Record) {
	for _, f := range processFrames() {
		if f.record.Op == OpForget {
			continue
		}
		if e := f.record.Entry; e != nil {
			e.Order, e.acceptedSeq = "", 0
		}
		all = append(all, f.record)
	}
	return all
}

// records returns the records of frames.
func records(all []frozenFrame) (recs []Record) {
	for _, f := range all {
		recs = append(recs, f.record)
	}
	return recs
}

// writeFormat2 writes the directory with the present code, through the calls that a relay makes.
func writeFormat2(t *testing.T, dir string) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	j := mustOpen(t, dir, 3e6)
	for _, r := range records(processFrames()) {
		mustAppend(t, j, r)
	}
	j.Close()
	j, err := Open(dir, Options{Budget: 3e6, Retention: testRetention, Power: true})
	if err != nil {
		t.Fatal(err)
	}
	if err := j.rewriteOldest(64); err != nil { // the first two live items
		t.Fatal(err)
	}
	mustAppend(t, j, records(powerFrames())[2:]...)
	j.Close()
	// Other files: the lock with the id of a process, its spare file, damaged bytes that it saved.
	for name, text := range map[string]string{"lock": "4711\n", "journal.spare": "room that the process took\n",
		"journal-damaged-00000001-100": "bytes that could not be read\n"} {
		fixture.File(t, filepath.Join(dir, name), []byte(text))
	}
}

// writeFormat1 writes the directory of a program that used format 1.
func writeFormat1(t *testing.T, dir string) {
	fixture.File(t, filepath.Join(dir, "journal"), legacyFile(format1Records()...))
	fixture.File(t, filepath.Join(dir, "journal.tmp"), legacyFile(format1Records()[:3]...))
	fixture.File(t, filepath.Join(dir, "lock"), []byte("4711\n"))
}

// stateFixture returns the path of a fixture, which is written if requested.
func stateFixture(t *testing.T, name string, write func(*testing.T, string)) string {
	dir := filepath.Join("testdata", name)
	if fixture.Missing(t, dir) {
		write(t, dir)
	}
	return dir
}

// sameFiles checks that the files that the present code writes have the bytes of the fixture.
func sameFiles(t *testing.T, dir string, write func(*testing.T, string)) {
	t.Helper()
	present := t.TempDir()
	write(t, present)
	got, want := fixture.Folder(t, present), fixture.Folder(t, dir)
	for name := range want {
		if got[name] != want[name] {
			t.Errorf("%s/%s: the present code writes\n%swant\n%s", dir, name, hex.Dump([]byte(got[name])),
				hex.Dump([]byte(want[name])))
		}
	}
	if len(got) != len(want) {
		t.Errorf("%s: the present code writes %d files, want %d", dir, len(got), len(want))
	}
}

// The encoding of segments, frames and records does not change.
func TestFormat2IsAsFrozen(t *testing.T) {
	dir := stateFixture(t, "state-format-2", writeFormat2)
	sameFiles(t, dir, writeFormat2)
	covered := map[string]bool{}
	var all []any
	for _, tc := range []struct {
		name   string
		first  uint64
		frames []frozenFrame
	}{{"journal-00000001", 1, processFrames()}, {"journal-00000002", 20, powerFrames()}} {
		data, err := os.ReadFile(filepath.Join(dir, tc.name))
		if err != nil {
			t.Fatal(err)
		}
		want(t, "first bytes", string(data[:12]), "larchlog\x02\x00\x00\x00")
		first, err := decodeSegmentHeader(data)
		if err != nil || first != tc.first {
			t.Errorf("%s: first sequence %d, %v, want %d", tc.name, first, err, tc.first)
		}
		var got []frozenFrame
		end, tail := readFrames(data, 32, func(at int, f frame, damage *byteRange) {
			got = append(got, frozenFrame{f.seq, f.unsynced, f.record})
			if again := appendFrame(nil, f.seq, f.unsynced, &f.record); string(again) != string(data[at:at+f.size]) {
				t.Errorf("%s: record %d is encoded as\n%swant\n%s", tc.name, f.seq, hex.Dump(again),
					hex.Dump(data[at:at+f.size]))
			}
			if damage != nil {
				t.Errorf("%s: damage before record %d", tc.name, f.seq)
			}
		})
		if end != len(data) || tail != nil {
			t.Errorf("%s: read up to byte %d of %d", tc.name, end, len(data))
		}
		if !reflect.DeepEqual(got, tc.frames) {
			t.Errorf("%s: frames are\n%+v, want\n%+v", tc.name, got, tc.frames)
		}
		for _, f := range tc.frames {
			covered[f.record.Op] = true
			all = append(all, f.record)
		}
	}
	frozen := []string{"", "taken", "try", "outcome", "notice", "end", "health", "drain", "carried", "ended", "forget", "word"}
	want(t, "operations by code", fmt.Sprintf("%q", ops), fmt.Sprintf("%q", frozen))
	for _, op := range ops[1:] {
		if !covered[op] {
			t.Errorf("no record %q in the fixture", op)
		}
	}
	all = append(all, Entry{size: 1, position: 1}) // which are not stored
	if unset := fixture.Unset(all...); len(unset) > 0 {
		t.Errorf("no record sets %v", unset)
	}
}

// The JSON names of format 1 do not change.
func TestFormat1IsAsFrozen(t *testing.T) {
	dir := stateFixture(t, "state-format-1", writeFormat1)
	sameFiles(t, dir, writeFormat1)
	data, err := os.ReadFile(filepath.Join(dir, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	var got []Record
	for len(data) > 0 {
		r, n, err := readLegacyRecord(data)
		if err != nil {
			t.Fatal(err)
		}
		got, data = append(got, r), data[n:]
	}
	if !reflect.DeepEqual(got, format1Records()) {
		t.Errorf("records are\n%+v, want\n%+v", got, format1Records())
	}
}

// contents is the state of an open journal.
type contents struct {
	entries                      []Entry // in the order of acceptance
	unhealthy, drains, overrides map[string]Record
	ended                        []CompletedID
}

// contentsOf returns the contents without positions in the log.
func contentsOf(j *Journal) contents {
	found := contents{unhealthy: maps.Clone(j.Unhealthy), drains: maps.Clone(j.Drains), overrides: maps.Clone(j.Overrides)}
	for _, e := range j.InOrder() {
		c := *e
		c.acceptedSeq, c.size, c.position = 0, 0, 0 // which compaction changes
		found.entries = append(found.entries, c)
	}
	for _, e := range j.CompletedIDs() {
		found.ended = append(found.ended, CompletedID{ID: e.ID, Sum: e.Sum, At: e.At})
	}
	return found
}

// frozenContents is the state after the records of the first segment.
func frozenContents() contents {
	full := *fullEntry()
	full.acceptedSeq = 0
	return contents{
		entries: []Entry{
			full,
			{ID: "tried", Class: "payment", Dest: 7, Due: 1700000001000, Body: []byte("body of tried"), Tries: 2, Wait: 301,
				Ran: true, RanAt: 1700000005000, Zone: 2,
				Out: true, OutAt: 1700000007000, OutTo: -1, Log: []Attempt{{Host: "host-1", At: 1700000005000, Took: 12,
					Outcome: "timed out", Ran: true}}},
			{ID: "owed", Class: "payment", Dest: 7, Due: 1700000001000, Status: "undeliverable", Again: 1700000009500,
				EndAt: 1700000009000, Why: "refused", Sum: 0x51525354},
		},
		unhealthy: map[string]Record{"host-1": {Op: "health", ID: "host-1", Ran: true, Base: 2.5, At: 1700000011000}},
		drains: map[string]Record{"partner:acme": {Op: "drain", ID: "partner:acme", Ran: true, At: 1700000014000,
			Status: "op", Wait: 30000}},
		overrides: map[string]Record{
			"endpoint:pay-1": {Op: "word", ID: "endpoint:pay-1", Ran: true, Again: 4, Host: "r1", Status: "op",
				At: 1700000017000},
			"gone:r3": {Op: "word", ID: "gone:r3", Again: 2, Host: "r2", Status: "other", At: 1700000018000}},
		ended: []CompletedID{{ID: "over", Sum: 0x257e0630, At: 1700000002000}},
	}
}

// A state directory of an earlier build is restored completely, and records can be appended to it.
func TestContinuesFromFrozenDirectories(t *testing.T) {
	of1 := frozenContents()
	of1.entries[0].Order = ""                                             // format 1 had none
	of1.entries = append(of1.entries, Entry{ID: "gone", Class: "payment", // nor OpForget
		Dest: 7, Due: 1700000001000, Body: []byte("body of gone")})
	of2 := frozenContents()
	of2.entries = append(of2.entries, Entry{ID: "late", Class: "payment", Dest: 8, Due: 1700000022000, Body: []byte("late"),
		Tries: 1, Wait: 400, OutAt: 1700000023000, OutTo: 1})
	for name, tc := range map[string]struct {
		write    func(*testing.T, string)
		segments []SegmentReport
		contents contents
	}{
		"state-format-1": {writeFormat1, nil, of1},
		"state-format-2": {writeFormat2, []SegmentReport{
			{Name: "journal-00000001", Bytes: 1172, Records: 19, First: 1, Last: 19},
			{Name: "journal-00000002", Bytes: 433, Records: 5, First: 20, Last: 24}}, of2},
	} {
		t.Run(name, func(t *testing.T) {
			dir := fixture.Copy(t, stateFixture(t, name, tc.write))
			inspected, err := Inspect(dir)
			if err != nil {
				t.Fatal(err)
			}
			if got := contentsOf(inspected); !reflect.DeepEqual(got, tc.contents) {
				t.Errorf("Inspect finds\n%+v, want\n%+v", got, tc.contents)
			}
			j := mustOpen(t, dir, 3e6)
			if got := contentsOf(j); !reflect.DeepEqual(got, tc.contents) {
				t.Errorf("Open finds\n%+v, want\n%+v", got, tc.contents)
			}
			if got, want := j.Report(), (Report{Segments: tc.segments, Foreign: []string{"lock"}}); fmt.Sprintf("%+v",
				got) != fmt.Sprintf("%+v", want) {
				t.Errorf("Open reports\n%+v, want\n%+v", got, want)
			}

			mustAppend(t, j, takenRecord("new", 2), Record{Op: OpTry, ID: "new", At: 1700000099000, Zone: 5},
				Record{Op: OpEnd, ID: "new", At: 1700000099500})
			mustAppend(t, j, Record{Op: OpHealth, ID: "host-1"}, takenRecord("newer", 2))
			j.Close()
			oldAndNew := tc.contents
			oldAndNew.entries = append(slices.Clone(oldAndNew.entries),
				Entry{ID: "newer", Class: "payment", Dest: 7, Due: 99, Body: []byte{7, 7}})
			oldAndNew.unhealthy = map[string]Record{}
			oldAndNew.ended = append(slices.Clone(oldAndNew.ended), CompletedID{ID: "new", Sum: 0x3144f097, At: 1700000099500})
			for range 2 {
				j = mustOpen(t, dir, 3e6)
				if got := contentsOf(j); !reflect.DeepEqual(got, oldAndNew) {
					t.Errorf("opened again it finds\n%+v, want\n%+v", got, oldAndNew)
				}
				want(t, "damage", fmt.Sprint(j.Report().Damage, j.Report().TornBytes), "[] 0")
				j.Close()
			}
			left := fixture.Folder(t, dir)
			for _, name := range []string{"journal", "journal.tmp", "journal.spare"} {
				if _, ok := left[name]; ok {
					t.Errorf("%s was not removed", name)
				}
			}
			for kept, text := range fixture.Folder(t, filepath.Join("testdata", name)) {
				if (kept == "lock" || strings.HasPrefix(kept, "journal-damaged-")) && left[kept] != text {
					t.Errorf("%s has become %q", kept, left[kept])
				}
			}
		})
	}
}
