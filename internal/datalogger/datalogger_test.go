package datalogger

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func open(t *testing.T, dir string, limit int64) *DB {
	t.Helper()
	d, err := Open(dir, "data.db", limit, "a", "b")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func put(table, key, value string) []Write {
	return []Write{{Table: table, Key: []byte(key), Value: []byte(value)}}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestReadsBackWhatWasCommitted(t *testing.T) {
	dir := t.TempDir()
	ctx := context.Background()
	d := open(t, dir, 0)
	id, fresh := d.Identity()
	if !fresh || len(id) != 32 {
		t.Fatalf("identity %q fresh %v", id, fresh)
	}
	must(t, d.Commit(ctx, append(put("a", "1", "one"), put("b", "1", "other")...)))
	must(t, d.Commit(ctx, append(put("a", "2", "two"), put("a", "3", "")...)))
	must(t, d.Commit(ctx, append(put("a", "1", "ONE"), Write{Table: "a", Key: []byte("2")})))
	must(t, d.Close())
	if err := d.Commit(ctx, put("a", "1", "late")); !errors.Is(err, ErrClosed) {
		t.Fatalf("commit after close: %v", err)
	}
	d = open(t, dir, 0)
	if again, fresh := d.Identity(); fresh || again != id {
		t.Fatalf("identity %q fresh %v, was %q", again, fresh, id)
	}
	for key, want := range map[string]string{"1": "ONE", "3": ""} {
		if v, err := d.Get("a", []byte(key)); err != nil || v == nil || string(v) != want {
			t.Fatalf("%s: %q %v", key, v, err)
		}
	}
	if v, err := d.Get("a", []byte("2")); err != nil || v != nil {
		t.Fatalf("deleted key: %q %v", v, err)
	}
	if _, err := os.Stat(filepath.Join(dir, "data.db-shm")); !os.IsNotExist(err) {
		t.Fatalf("a file of shared memory is there: %v", err)
	}
}

func TestRangeInOrderAndBounds(t *testing.T) {
	d := open(t, t.TempDir(), 0)
	var w []Write
	for i := range 1000 {
		w = append(w, put("a", fmt.Sprintf("%04d", i), fmt.Sprint(i))...)
	}
	must(t, d.Commit(context.Background(), w))
	for _, c := range []struct {
		from, to    []byte
		first, many int
	}{{nil, nil, 0, 1000}, {[]byte("0990"), nil, 990, 10}, {[]byte("0100"), []byte("0700"), 100, 600}, {[]byte("2"), nil, 0, 0}} {
		next, n := c.first, 0
		must(t, d.Range("a", c.from, c.to, func(k, v []byte) error {
			if string(k) != fmt.Sprintf("%04d", next) || string(v) != fmt.Sprint(next) {
				t.Fatalf("row %q %q, want %d", k, v, next)
			}
			next, n = next+1, n+1
			_, err := d.Get("a", k) // may be called from within
			return err
		}))
		if n != c.many {
			t.Fatalf("from %s to %s: %d rows, want %d", c.from, c.to, n, c.many)
		}
	}
}

func TestManyWritersShareSyncs(t *testing.T) {
	d := open(t, t.TempDir(), 0)
	before := d.Commits()
	d.mu.Lock() // the writer waits, as it does on a slow disk
	var wg sync.WaitGroup
	errs := make(chan error, 400)
	for i := range 400 {
		wg.Go(func() { errs <- d.Commit(context.Background(), put("a", fmt.Sprint(i), "v")) })
	}
	for len(d.requests) < 300 { // bounded: 400 are under way and one group at most was taken
		d.mu.Unlock()
		d.mu.Lock()
		if d.Commits()-before > 100 {
			break
		}
	}
	d.mu.Unlock()
	wg.Wait()
	close(errs)
	for err := range errs {
		must(t, err)
	}
	if n := d.Commits() - before; n > 100 {
		t.Fatalf("%d syncs for 400 writes", n)
	}
	n := 0
	must(t, d.Range("a", nil, nil, func(_, _ []byte) error { n++; return nil }))
	if n != 400 {
		t.Fatalf("%d rows of 400", n)
	}
}
