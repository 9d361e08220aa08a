package sqlitelog

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// giveUp bounds what would otherwise hang a test that fails.
const giveUp = 20 * time.Second

// stall has the next commit of the file stop just before it goes to disk; begun tells that it stands there, goOn lets it and
// all after it go on.
func stall(t *testing.T, d *DB) (begun <-chan struct{}, goOn func()) {
	t.Helper()
	stands, gate := make(chan struct{}), make(chan struct{})
	first := true
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn.RegisterCommitHook(func() int {
		if first {
			first = false
			close(stands)
		}
		<-gate
		return 0
	})
	var opened bool
	goOn = func() {
		if !opened {
			opened = true
			close(gate)
		}
	}
	t.Cleanup(goOn) // before the file is closed
	return stands, goOn
}

func waitFor(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(giveUp):
		t.Fatalf("not within %v: %s", giveUp, what)
	}
}

func unanswered(t *testing.T, p *Pending) {
	t.Helper()
	select {
	case err := <-p.err:
		t.Fatalf("answered while its commit stands: %v", err)
	default:
	}
}

// What waits for a disk that stands still is not acknowledged, and a kill at that moment leaves nothing of it; once the disk
// goes on, all of it is.
func TestNothingIsAcknowledgedWhileTheDiskStandsStill(t *testing.T) {
	dir := t.TempDir()
	d := open(t, dir, 0)
	must(t, d.Commit(context.Background(), put("a", "0", "v")))
	begun, goOn := stall(t, d)
	first := d.Submit(put("a", "1", "v"))
	waitFor(t, "the commit begins", begun)
	second := d.Submit(put("a", "2", "v"))
	unanswered(t, first)
	unanswered(t, second)
	killed := copyFiles(t, dir, -1)
	goOn()
	must(t, first.Wait(context.Background()))
	must(t, second.Wait(context.Background()))

	again, err := Open(killed, "data.db", 0, "a", "b")
	must(t, err)
	defer again.Close()
	for key, there := range map[string]bool{"0": true, "1": false, "2": false} {
		if v, err := again.Get("a", []byte(key)); err != nil || (v != nil) != there {
			t.Errorf("row %s after a kill while the disk stood still: %q %v", key, v, err)
		}
	}
}

// Writes that find very many before them are refused at once: who submits holds a lock, and must not wait for the disk.
func TestSubmitDoesNotWaitForADiskThatStandsStill(t *testing.T) {
	d := open(t, t.TempDir(), 0)
	begun, goOn := stall(t, d)
	pending := []*Pending{d.Submit(put("a", "first", "v"))}
	waitFor(t, "the commit begins", begun)
	const more = 500
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		for i := range groupRequests + more {
			pending = append(pending, d.Submit(put("a", fmt.Sprint(i), "v")))
		}
	}()
	waitFor(t, "writes are submitted while the disk stands still", submitted)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := d.Commit(ctx, put("a", "last", "v")); !errors.Is(err, context.Canceled) {
		t.Errorf("a commit whose caller has left: %v", err)
	}
	goOn()
	taken, busy := 0, 0
	for _, p := range pending {
		switch err := p.Wait(context.Background()); {
		case err == nil:
			taken++
		case errors.Is(err, ErrBusy):
			busy++
		default:
			t.Fatal(err)
		}
	}
	if taken != groupRequests+1 || busy != more {
		t.Errorf("%d taken, %d refused as too many", taken, busy)
	}
	must(t, d.Commit(context.Background(), put("a", "after", "v")))
}

// A file that takes no more pages refuses in a typed error and serves what it has; with room again it takes writes without
// being opened anew.
func TestFullFileGoesOnByItself(t *testing.T) {
	ctx := context.Background()
	d := open(t, t.TempDir(), 0)
	must(t, d.Commit(ctx, put("a", "1", "one")))
	pages := func(n int64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		must(t, d.exec(fmt.Sprintf("PRAGMA max_page_count=%d", n)))
	}
	pages(1) // as many as the file has
	large := string(make([]byte, 100*pageSize))
	if err := d.Commit(ctx, put("a", "2", large)); !errors.Is(err, ErrFull) {
		t.Fatalf("a write beyond the room: %v", err)
	}
	if v, err := d.Get("a", []byte("1")); err != nil || string(v) != "one" {
		t.Errorf("read from a full file: %q %v", v, err)
	}
	if v, err := d.Get("a", []byte("2")); err != nil || v != nil {
		t.Errorf("part of a refused write is there: %d bytes, %v", len(v), err)
	}
	pages(unlimitedPages)
	must(t, d.Commit(ctx, put("a", "2", large)))
	must(t, d.Err())
}

// A file that has its tables is opened without a write, so that a process that was killed on a full disk starts and serves.
func TestOpeningAgainWritesNothing(t *testing.T) {
	dir := t.TempDir()
	d := open(t, dir, 0)
	must(t, d.Commit(context.Background(), put("a", "1", "v")))
	d.mu.Lock()
	killed := copyFiles(t, dir, -1)
	d.mu.Unlock()
	must(t, d.Close())
	for what, dir := range map[string]string{"closed": dir, "killed": killed} {
		sizes := func() (all [2]int64) {
			for i, name := range []string{"data.db", "data.db-wal"} {
				if st, err := os.Stat(filepath.Join(dir, name)); err == nil {
					all[i] = st.Size()
				}
			}
			return all
		}
		before := sizes()
		again := open(t, dir, 0)
		if after := sizes(); after != before {
			t.Errorf("%s: %d bytes of file and log before it was opened again, %d after", what, before, after)
		}
		if v, err := again.Get("a", []byte("1")); err != nil || string(v) != "v" {
			t.Errorf("%s: %q %v", what, v, err)
		}
	}
}

// The room that is left is what the file system has, where that is less than the limit leaves.
func TestRoomIsBoundedByTheDisk(t *testing.T) {
	d := open(t, t.TempDir(), 40<<20)
	d.diskFree = func() int64 { return 1 << 40 }
	left, most, err := d.Room()
	must(t, err)
	if most != 40<<20-reserve || left > most || left < most-100*pageSize {
		t.Errorf("%d of %d left of an empty file", left, most)
	}
	d.diskFree = func() int64 { return 3 << 20 }
	if left, _, err := d.Room(); err != nil || left < 3<<20 || left > 4<<20 {
		t.Errorf("%d left on a disk with 3 MB: %v", left, err)
	}
}
