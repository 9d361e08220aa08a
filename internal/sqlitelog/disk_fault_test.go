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

// hangTimeout bounds waits that would otherwise hang a failing test.
const hangTimeout = 20 * time.Second

// stall blocks the next commit of the file just before it goes to disk. begun is closed once it is blocked; resume lets it and
// all later ones proceed.
func stall(t *testing.T, d *DB) (begun <-chan struct{}, resume func()) {
	t.Helper()
	blocked, gate := make(chan struct{}), make(chan struct{})
	first := true
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn.RegisterCommitHook(func() int {
		if first {
			first = false
			close(blocked)
		}
		<-gate
		return 0
	})
	var opened bool
	resume = func() {
		if !opened {
			opened = true
			close(gate)
		}
	}
	t.Cleanup(resume) // before the file is closed
	return blocked, resume
}

func waitFor(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(hangTimeout):
		t.Fatalf("not within %v: %s", hangTimeout, what)
	}
}

func requirePending(t *testing.T, p *Pending) {
	t.Helper()
	select {
	case err := <-p.err:
		t.Fatalf("acknowledged while its commit is blocked: %v", err)
	default:
	}
}

// Writes that wait for a stalled disk are not acknowledged, and a kill at that moment leaves nothing of them; once the disk
// resumes, all of them are made.
func TestNoAcknowledgementWhileDiskIsStalled(t *testing.T) {
	dir := t.TempDir()
	d := open(t, dir, 0)
	requireNoError(t, d.Commit(context.Background(), put("a", "0", "v")))
	begun, resume := stall(t, d)
	first := d.Submit(put("a", "1", "v"))
	waitFor(t, "the commit begins", begun)
	second := d.Submit(put("a", "2", "v"))
	requirePending(t, first)
	requirePending(t, second)
	killed := copyFiles(t, dir, -1)
	resume()
	requireNoError(t, first.Wait(context.Background()))
	requireNoError(t, second.Wait(context.Background()))

	again, err := Open(killed, "data.db", 0, "a", "b")
	requireNoError(t, err)
	defer again.Close()
	for key, there := range map[string]bool{"0": true, "1": false, "2": false} {
		if v, err := again.Get("a", []byte(key)); err != nil || (v != nil) != there {
			t.Errorf("row %s after a kill while the disk was stalled: %q %v", key, v, err)
		}
	}
}

// Submit rejects writes at once where the queue is full: its caller holds a lock and must not wait for the disk.
func TestSubmitDoesNotBlockOnStalledDisk(t *testing.T) {
	d := open(t, t.TempDir(), 0)
	begun, resume := stall(t, d)
	pending := []*Pending{d.Submit(put("a", "first", "v"))}
	waitFor(t, "the commit begins", begun)
	const more = 500
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		for i := range maxGroupRequests + more {
			pending = append(pending, d.Submit(put("a", fmt.Sprint(i), "v")))
		}
	}()
	waitFor(t, "writes are submitted while the disk is stalled", submitted)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := d.Commit(ctx, put("a", "last", "v")); !errors.Is(err, context.Canceled) {
		t.Errorf("a commit whose context has ended: %v", err)
	}
	resume()
	committed, busy := 0, 0
	for _, p := range pending {
		switch err := p.Wait(context.Background()); {
		case err == nil:
			committed++
		case errors.Is(err, ErrBusy):
			busy++
		default:
			t.Fatal(err)
		}
	}
	if committed != maxGroupRequests+1 || busy != more {
		t.Errorf("%d committed, %d rejected as the queue was full", committed, busy)
	}
	requireNoError(t, d.Commit(context.Background(), put("a", "after", "v")))
}

// A file that has reached its limit rejects writes with ErrFull and serves reads; with free space it takes writes again
// without being reopened.
func TestFullFileRecoversWithoutReopening(t *testing.T) {
	ctx := context.Background()
	d := open(t, t.TempDir(), 0)
	requireNoError(t, d.Commit(ctx, put("a", "1", "one")))
	pages := func(n int64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		requireNoError(t, d.exec(fmt.Sprintf("PRAGMA max_page_count=%d", n)))
	}
	pages(1) // as many as the file has
	large := string(make([]byte, 100*pageSize))
	if err := d.Commit(ctx, put("a", "2", large)); !errors.Is(err, ErrFull) {
		t.Fatalf("a write beyond the limit: %v", err)
	}
	if v, err := d.Get("a", []byte("1")); err != nil || string(v) != "one" {
		t.Errorf("read from a full file: %q %v", v, err)
	}
	if v, err := d.Get("a", []byte("2")); err != nil || v != nil {
		t.Errorf("part of a rejected write is there: %d bytes, %v", len(v), err)
	}
	pages(unlimitedPages)
	requireNoError(t, d.Commit(ctx, put("a", "2", large)))
	requireNoError(t, d.Err())
}

// A file that has its tables is opened without a write, so that a process that was killed on a full disk can start.
func TestReopeningWritesNothing(t *testing.T) {
	dir := t.TempDir()
	d := open(t, dir, 0)
	requireNoError(t, d.Commit(context.Background(), put("a", "1", "v")))
	d.mu.Lock()
	killed := copyFiles(t, dir, -1)
	d.mu.Unlock()
	requireNoError(t, d.Close())
	for name, dir := range map[string]string{"closed": dir, "killed": killed} {
		sizes := func() (all [2]int64) {
			for i, name := range []string{"data.db", "data.db-wal"} {
				if st, err := os.Stat(filepath.Join(dir, name)); err == nil {
					all[i] = st.Size()
				}
			}
			return all
		}
		before := sizes()
		reopened := open(t, dir, 0)
		if after := sizes(); after != before {
			t.Errorf("%s: %d bytes of file and log before it was reopened, %d after", name, before, after)
		}
		if v, err := reopened.Get("a", []byte("1")); err != nil || string(v) != "v" {
			t.Errorf("%s: %q %v", name, v, err)
		}
	}
}

// The capacity left is what the file system has free, where that is less than the limit leaves.
func TestCapacityIsBoundedByFreeDiskSpace(t *testing.T) {
	d := open(t, t.TempDir(), 40<<20)
	d.freeBytes = func() int64 { return 1 << 40 }
	left, most, err := d.Capacity()
	requireNoError(t, err)
	if most != 40<<20-walReserve || left > most || left < most-100*pageSize {
		t.Errorf("%d of %d left of an empty file", left, most)
	}
	d.freeBytes = func() int64 { return 3 << 20 }
	if left, _, err := d.Capacity(); err != nil || left < 3<<20 || left > 4<<20 {
		t.Errorf("%d left on a disk with 3 MB: %v", left, err)
	}
}
