package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

func open(t *testing.T, dir string, budget int64) *Journal {
	t.Helper()
	j, err := Open(dir, budget)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.f.Close() })
	return j
}

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s is %v, want %v", what, got, want)
	}
}

func put(t *testing.T, j *Journal, recs ...Record) {
	t.Helper()
	if err := j.Append(recs...); err != nil {
		t.Fatal(err)
	}
}

func taken(id string, size int) Record {
	return Record{Op: OpTaken, Entry: &Entry{ID: id, Class: "payment", Dest: 7, Due: 99, Body: bytes.Repeat([]byte{7}, size)}}
}

func TestJournalReplay(t *testing.T) {
	dir := t.TempDir()
	j := open(t, dir, 3e6)
	put(t, j, taken("a", 10), taken("b", 10), taken("c", 10), taken("d", 10))
	put(t, j, Record{Op: OpTry, ID: "a", At: 5, Wait: 300, Zone: 2}, Record{Op: OpOutcome, ID: "a", Ran: true},
		Record{Op: OpTry, ID: "a", At: 9, Zone: 1}, Record{Op: OpOutcome, ID: "a", Ran: true})
	put(t, j, Record{Op: OpTry, ID: "b", At: 6, Zone: 1}, Record{Op: OpEnd, ID: "c"},
		Record{Op: OpNotice, ID: "d", Status: "deferred", Again: 700}, Record{Op: OpHealth, ID: "s-1", Ran: true, Base: 2})
	for range 2 { // the second time from the compacted file
		j = open(t, dir, 3e6)
		want(t, "entries", len(j.Entries), 3)
		a, b, d := j.Entries["a"], j.Entries["b"], j.Entries["d"]
		want(t, "a", fmt.Sprint(a.Tries, a.Ran, a.RanAt, a.Zone, a.Out, len(a.Body)), "2 true 5 2 false 10")
		want(t, "b", fmt.Sprint(b.Tries, b.Ran, b.Out, b.OutAt, b.OutTo), "1 false true 6 1")
		want(t, "d", fmt.Sprint(d.Status, " ", d.Again), "deferred 700")
		want(t, "host in an outage", j.Unwell["s-1"].Base, 2)
	}
}

// Guards against a crash, or the loss of what came before, after a write that a kill cut short.
func TestTornJournal(t *testing.T) {
	whole := frame(frame(nil, taken("a", 10)), taken("b", 10))
	one := len(frame(nil, taken("a", 10)))
	for cut := one; cut <= len(whole); cut++ {
		data := bytes.Clone(whole[:cut])
		if cut == len(whole) {
			data[cut-1] ^= 1 // complete, but damaged
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "journal"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, "journal.tmp"), whole, 0o600); err != nil {
			t.Fatal(err)
		}
		j := open(t, dir, 3e6)
		want(t, "entries", len(j.Entries), 1)
		put(t, j, taken("c", 10))
		want(t, "entries after the next start", len(open(t, dir, 3e6).Entries), 2)
	}
}

// Guards against going over disk_mb, with which a relay has crashed, and against a full
// journal that cannot record how the messages in it end.
func TestDiskBudget(t *testing.T) {
	const budget = 1 << 20
	j := open(t, t.TempDir(), budget)
	var err error
	n := 0
	for ; err == nil; n++ {
		err = j.Append(taken(fmt.Sprint("m", n), 5000))
		if sum := j.size + j.live + 2*blockSize; sum > budget {
			t.Fatalf("file and copy may take %d of %d", sum, budget)
		}
	}
	if !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
	for i := range n - 1 {
		id := fmt.Sprint("m", i)
		put(t, j, Record{Op: OpTry, ID: id}, Record{Op: OpOutcome, ID: id}, Record{Op: OpNotice, ID: id, Status: "deferred"})
	}
	for i := range n - 1 {
		put(t, j, Record{Op: OpEnd, ID: fmt.Sprint("m", i)})
	}
	want(t, "live bytes", j.live, 0)
	put(t, j, taken("again", 5000))
}

// Guards against holding for recorded what could not be written.
func TestFailedWrite(t *testing.T) {
	dir := t.TempDir()
	j := open(t, dir, 3e6)
	put(t, j, taken("a", 10))
	good := j.f
	ro, err := os.Open(j.path)
	if err != nil {
		t.Fatal(err)
	}
	defer ro.Close()
	j.f = ro
	if err := j.Append(taken("b", 10)); err == nil {
		t.Fatal("a write to a read-only file went well")
	}
	want(t, "entries", len(j.Entries), 1)
	j.f, j.Broken = good, nil
	put(t, j, taken("c", 10))
	want(t, "entries after the next start", len(open(t, dir, 3e6).Entries), 2)
}

func FuzzJournal(f *testing.F) {
	good := frame(frame(nil, taken("a", 3)), Record{Op: OpTry, ID: "a"})
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(frame(nil, Record{Op: OpTaken}))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "journal"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		j := open(t, dir, 3e6)
		before := len(j.Entries)
		put(t, j, taken("a new id", 3))
		if after := len(open(t, dir, 3e6).Entries); after != before+1 {
			t.Fatalf("%d entries, then %d", before, after)
		}
	})
}
