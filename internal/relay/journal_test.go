package relay

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

func open(t *testing.T, dir string, budget int64) *journal {
	t.Helper()
	j, err := openJournal(dir, budget)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.f.Close() })
	return j
}

func put(t *testing.T, j *journal, recs ...record) {
	t.Helper()
	if err := j.append(recs...); err != nil {
		t.Fatal(err)
	}
}

func taken(id string, size int) record {
	return record{Op: opTaken, Entry: &entry{ID: id, Class: "payment", Dest: 7, Due: 99, Body: bytes.Repeat([]byte{7}, size)}}
}

func TestJournalReplay(t *testing.T) {
	dir := t.TempDir()
	j := open(t, dir, 3e6)
	put(t, j, taken("a", 10), taken("b", 10), taken("c", 10), taken("d", 10))
	put(t, j, record{Op: opTry, ID: "a", At: 5, Wait: 300, Zone: 2}, record{Op: opOutcome, ID: "a", Ran: true},
		record{Op: opTry, ID: "a", At: 9, Zone: 1}, record{Op: opOutcome, ID: "a", Ran: true})
	put(t, j, record{Op: opTry, ID: "b", At: 6, Zone: 1}, record{Op: opEnd, ID: "c"},
		record{Op: opNotice, ID: "d", Status: deferred, Again: 700}, record{Op: opHealth, ID: "s-1", Ran: true, Base: 2})
	for range 2 { // the second time from the compacted file
		j = open(t, dir, 3e6)
		want(t, "entries", len(j.entries), 3)
		a, b, d := j.entries["a"], j.entries["b"], j.entries["d"]
		want(t, "a", fmt.Sprint(a.Tries, a.Ran, a.RanAt, a.Zone, a.Out, len(a.Body)), "2 true 5 2 false 10")
		want(t, "b", fmt.Sprint(b.Tries, b.Ran, b.Out, b.OutAt, b.OutTo), "1 false true 6 1")
		want(t, "d", fmt.Sprint(d.Status, " ", d.Again), "deferred 700")
		want(t, "host in an outage", j.unwell["s-1"].Base, 2)
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
		want(t, "entries", len(j.entries), 1)
		put(t, j, taken("c", 10))
		want(t, "entries after the next start", len(open(t, dir, 3e6).entries), 2)
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
		err = j.append(taken(fmt.Sprint("m", n), 5000))
		if sum := j.size + j.live + 2*blockSize; sum > budget {
			t.Fatalf("file and copy may take %d of %d", sum, budget)
		}
	}
	if !errors.Is(err, errFull) {
		t.Fatal(err)
	}
	for i := range n - 1 {
		id := fmt.Sprint("m", i)
		put(t, j, record{Op: opTry, ID: id}, record{Op: opOutcome, ID: id}, record{Op: opNotice, ID: id, Status: deferred})
	}
	for i := range n - 1 {
		put(t, j, record{Op: opEnd, ID: fmt.Sprint("m", i)})
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
	if err := j.append(taken("b", 10)); err == nil {
		t.Fatal("a write to a read-only file went well")
	}
	want(t, "entries", len(j.entries), 1)
	j.f, j.broken = good, nil
	put(t, j, taken("c", 10))
	want(t, "entries after the next start", len(open(t, dir, 3e6).entries), 2)
}

// Guards against a refusal that becomes a crash: a relay whose disk is full answers 503 and goes on.
func TestFullDiskRefuses(t *testing.T) {
	calls := make(chan *seen, 10)
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", calls), "taller")), nil)
	set := func(budget int64) (old int64) {
		was := make(chan int64)
		r.post(func() {
			was <- r.journal.budget
			r.journal.budget = budget
		})
		return wait(t, was, "budget")
	}
	old := set(1000)
	status, _ := hand(t, r.Addr(), "m1", "payment")
	want(t, "status", status, 503)
	set(old)
	status, _ = hand(t, r.Addr(), "m2", "payment")
	want(t, "status", status, 202)
	c := wait(t, calls, "call")
	want(t, "id", c.id, "m2")
	c.answer <- 200
}

func FuzzJournal(f *testing.F) {
	good := frame(frame(nil, taken("a", 3)), record{Op: opTry, ID: "a"})
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(frame(nil, record{Op: opTaken}))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "journal"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		j := open(t, dir, 3e6)
		before := len(j.entries)
		put(t, j, taken("a new id", 3))
		if after := len(open(t, dir, 3e6).entries); after != before+1 {
			t.Fatalf("%d entries, then %d", before, after)
		}
	})
}
