package sqlitelog

import (
	"bytes"
	"context"
	"database/sql/driver"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
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

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func TestReadsReturnCommittedWrites(t *testing.T) {
	dir := t.TempDir()
	ctx := context.Background()
	d := open(t, dir, 0)
	id, fresh := d.Identity()
	if !fresh || len(id) != 32 {
		t.Fatalf("identity %q fresh %v", id, fresh)
	}
	requireNoError(t, d.Commit(ctx, append(put("a", "1", "one"), put("b", "1", "other")...)))
	requireNoError(t, d.Commit(ctx, append(put("a", "2", "two"), put("a", "3", "")...)))
	requireNoError(t, d.Commit(ctx, append(put("a", "1", "ONE"), Write{Table: "a", Key: []byte("2")})))
	requireNoError(t, d.Close())
	if err := d.Commit(ctx, put("a", "1", "after close")); !errors.Is(err, ErrClosed) {
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
		t.Fatalf("a shared-memory file is there: %v", err)
	}
}

func TestFileIsSyncedAndLockedExclusively(t *testing.T) {
	d := open(t, t.TempDir(), 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	for q, want := range map[string]int64{
		"PRAGMA synchronous": 2, "PRAGMA auto_vacuum": 2, "PRAGMA wal_autocheckpoint": walPages, "PRAGMA user_version": schemaVersion,
	} {
		if n, err := d.queryInt(q); err != nil || n != want {
			t.Errorf("%s: %d %v", q, n, err)
		}
	}
	for q, want := range map[string]string{"PRAGMA journal_mode": "wal", "PRAGMA locking_mode": "exclusive"} {
		rows, err := d.conn.Query(q, nil)
		requireNoError(t, err)
		one := make([]driver.Value, 1)
		if err := rows.Next(one); err != nil || fmt.Sprint(one[0]) != want {
			t.Errorf("%s: %v %v", q, one, err)
		}
		requireNoError(t, rows.Close())
	}
}

func TestRangeInOrderAndBounds(t *testing.T) {
	d := open(t, t.TempDir(), 0)
	var w []Write
	for i := range 1000 {
		w = append(w, put("a", fmt.Sprintf("%04d", i), fmt.Sprint(i))...)
	}
	requireNoError(t, d.Commit(context.Background(), w))
	for _, c := range []struct {
		from, to    []byte
		first, many int
	}{{nil, nil, 0, 1000}, {[]byte("0990"), nil, 990, 10}, {[]byte("0100"), []byte("0700"), 100, 600}, {[]byte("2"), nil, 0, 0}} {
		next, n := c.first, 0
		requireNoError(t, d.Range("a", c.from, c.to, func(k, v []byte) error {
			if string(k) != fmt.Sprintf("%04d", next) || string(v) != fmt.Sprint(next) {
				t.Fatalf("row %q %q, want %d", k, v, next)
			}
			next, n = next+1, n+1
			_, err := d.Get("a", k) // may be called from f
			return err
		}))
		if n != c.many {
			t.Fatalf("from %s to %s: %d rows, want %d", c.from, c.to, n, c.many)
		}
	}
}

func TestGetMany(t *testing.T) {
	d := open(t, t.TempDir(), 0)
	requireNoError(t, d.Commit(context.Background(), append(put("a", "1", "one"), append(put("a", "2", ""), put("a", "4", "four")...)...)))
	keys := [][]byte{[]byte("1"), []byte("2"), []byte("3"), []byte("4")}
	for most, want := range map[int]string{100: `["one" "" <nil> "four"]`, 2: `["one"]`, 3: `["one" "" <nil> "four"]`} {
		values, err := d.GetMany("a", keys, most)
		requireNoError(t, err)
		var got []string
		for _, v := range values {
			if v == nil {
				got = append(got, "<nil>")
			} else {
				got = append(got, fmt.Sprintf("%q", v))
			}
		}
		if s := fmt.Sprint(got); s != want {
			t.Errorf("most %d: %s, want %s", most, s, want)
		}
	}
}

func TestConcurrentWritesShareSyncs(t *testing.T) {
	d := open(t, t.TempDir(), 0)
	before := d.Commits()
	var pending []*Pending
	d.mu.Lock() // the writer is blocked, as on a slow disk
	for i := range 400 {
		pending = append(pending, d.Submit(put("a", fmt.Sprint(i), "v")))
	}
	d.mu.Unlock()
	for _, p := range pending {
		requireNoError(t, p.Wait(context.Background()))
	}
	if n := d.Commits() - before; n > 2 {
		t.Fatalf("%d syncs for 400 writes", n)
	}
	n := 0
	requireNoError(t, d.Range("a", nil, nil, func(_, _ []byte) error { n++; return nil }))
	if n != 400 {
		t.Fatalf("%d rows of 400", n)
	}
}

func TestInvalidWriteFailsAlone(t *testing.T) {
	d := open(t, t.TempDir(), 0)
	d.mu.Lock()
	good := d.Submit(put("a", "1", "v"))
	bad := d.Submit(append(put("a", "2", "v"), put("unknown", "2", "v")...))
	also := d.Submit(put("a", "3", "v"))
	d.mu.Unlock()
	requireNoError(t, good.Wait(context.Background()))
	requireNoError(t, also.Wait(context.Background()))
	if err := bad.Wait(context.Background()); !errors.Is(err, ErrWrite) {
		t.Fatalf("invalid write: %v", err)
	}
	if v, err := d.Get("a", []byte("2")); v != nil || err != nil {
		t.Fatalf("part of an invalid write is there: %q %v", v, err)
	}
	requireNoError(t, d.Err())
}

func TestFullFileRejectsWritesAndReturnsSpace(t *testing.T) {
	dir := t.TempDir()
	ctx := context.Background()
	d := open(t, dir, 12<<20)
	size := func() int64 {
		var sum int64
		for _, f := range []string{"data.db", "data.db-wal"} {
			st, err := os.Stat(filepath.Join(dir, f))
			requireNoError(t, err)
			sum += st.Size()
		}
		return sum
	}
	value := make([]byte, 100_000)
	kept := 0
	var err error
	for ; kept < 1000; kept++ {
		if err = d.Commit(ctx, []Write{{Table: "a", Key: fmt.Append(nil, 1000+kept), Value: value}}); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrFull) || kept < 40 {
		t.Fatalf("after %d: %v", kept, err)
	}
	if n := size(); n > 12<<20 {
		t.Fatalf("%d bytes of a limit of %d", n, 12<<20)
	}
	n := 0
	requireNoError(t, d.Range("a", nil, nil, func(_, v []byte) error { n++; return nil }))
	if n != kept {
		t.Fatalf("%d rows of %d", n, kept)
	}
	var w []Write
	for i := range kept {
		w = append(w, Write{Table: "a", Key: fmt.Append(nil, 1000+i)})
	}
	requireNoError(t, d.Commit(ctx, w)) // deleting needs no room
	for range 12 {                      // free pages are returned as rows are added and deleted
		var in, out []Write
		for i := range vacuumPages {
			in, out = append(in, put("b", fmt.Sprint(i), "v")...), append(out, Write{Table: "b", Key: fmt.Append(nil, i)})
		}
		requireNoError(t, d.Commit(ctx, in))
		requireNoError(t, d.Commit(ctx, out))
	}
	requireNoError(t, d.Close())
	st, err := os.Stat(filepath.Join(dir, "data.db"))
	requireNoError(t, err)
	if st.Size() > 1<<20 {
		t.Fatalf("%d bytes are left of an empty file", st.Size())
	}
}

func TestNewerSchemaIsRejected(t *testing.T) {
	dir := t.TempDir()
	d := open(t, dir, 0)
	requireNoError(t, d.exec(fmt.Sprintf("PRAGMA user_version=%d", schemaVersion+1)))
	requireNoError(t, d.Close())
	if _, err := Open(dir, "data.db", 0, "a"); !errors.Is(err, ErrNewer) {
		t.Fatalf("open: %v", err)
	}
}

func TestFileIsBrokenAfterFailedSync(t *testing.T) {
	d := open(t, t.TempDir(), 0)
	requireNoError(t, d.Commit(context.Background(), put("a", "1", "v")))
	d.mu.Lock()
	broken := errors.New("sync failed")
	_ = d.handleError(broken)
	d.mu.Unlock()
	if err := d.Commit(context.Background(), put("a", "2", "v")); !errors.Is(err, ErrBroken) || d.Err() == nil {
		t.Fatalf("after a failed sync: %v", err)
	}
}

// copyFiles copies a folder's files, the write-ahead log only up to a length (below 0: completely).
func copyFiles(t *testing.T, from string, wal int64) string {
	t.Helper()
	to := t.TempDir()
	for _, f := range []string{"data.db", "data.db-wal"} {
		b, err := os.ReadFile(filepath.Join(from, f))
		requireNoError(t, err)
		if f == "data.db-wal" && wal >= 0 && wal < int64(len(b)) {
			b = b[:wal]
		}
		requireNoError(t, os.WriteFile(filepath.Join(to, f), b, 0o644))
	}
	return to
}

func requireRows(t *testing.T, dir string, rows int) {
	t.Helper()
	d, err := Open(dir, "data.db", 0, "a", "b")
	requireNoError(t, err)
	defer d.Close()
	for i := range rows {
		if v, err := d.Get("a", fmt.Append(nil, i)); err != nil || len(v) == 0 {
			t.Fatalf("acknowledged row %d of %d: %q %v", i, rows, v, err)
		}
	}
}

// After a kill following any commit, the file has all acknowledged writes; bytes that were written after that sync may be
// there, torn, or missing.
func TestKillAtAnyCommitKeepsAcknowledgedWrites(t *testing.T) {
	dir := t.TempDir()
	d := open(t, dir, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	logSize := func() int64 {
		st, err := os.Stat(filepath.Join(dir, "data.db-wal"))
		requireNoError(t, err)
		return st.Size()
	}
	torn := 0
	for i := range 300 {
		synced := logSize()
		before, err := os.ReadFile(filepath.Join(dir, "data.db"))
		requireNoError(t, err)
		requireNoError(t, d.Commit(context.Background(), put("a", fmt.Sprint(i), strings.Repeat("v", 1+rng.IntN(20_000)))))
		if i%10 != 0 {
			continue
		}
		d.mu.Lock()
		killed := copyFiles(t, dir, -1)
		grew := logSize() - synced
		after, err := os.ReadFile(filepath.Join(dir, "data.db"))
		requireNoError(t, err)
		var cut string
		if grew > 0 && bytes.Equal(before, after) { // no checkpoint in between: the tail is what the last commit wrote
			cut = copyFiles(t, dir, synced+rng.Int64N(grew))
			torn++
		}
		d.mu.Unlock()
		requireRows(t, killed, i+1)
		if cut != "" {
			requireRows(t, cut, i)
		}
	}
	if torn == 0 {
		t.Fatal("no write-ahead log was torn")
	}
}

// A table behaves like a map, across any number of openings.
func TestBehavesLikeMap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "")
		requireNoError(t, err)
		d, err := Open(dir, "data.db", 0, "a", "b")
		requireNoError(t, err)
		defer func() { _ = d.Close() }()
		model := map[string]string{}
		key := rapid.StringMatching("[a-d]{0,3}")
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			if rapid.IntRange(0, 9).Draw(r, "again") == 0 {
				requireNoError(t, d.Close())
				d, err = Open(dir, "data.db", 0, "a", "b")
				requireNoError(t, err)
			}
			var w []Write
			for range rapid.IntRange(1, 5).Draw(r, "writes") {
				one := Write{Table: rapid.SampledFrom([]string{"a", "b"}).Draw(r, "table"), Key: []byte(key.Draw(r, "key"))}
				if name := one.Table + string(one.Key); rapid.Bool().Draw(r, "put") {
					one.Value = []byte(rapid.StringN(0, 10, -1).Draw(r, "value"))
					model[name] = string(one.Value)
				} else {
					delete(model, name)
				}
				w = append(w, one)
			}
			requireNoError(t, d.Commit(context.Background(), w))
		}
		seen := map[string]string{}
		for _, table := range []string{"a", "b"} {
			last := ""
			requireNoError(t, d.Range(table, nil, nil, func(k, v []byte) error {
				if len(seen) > 0 && last > string(k) {
					r.Fatalf("%q after %q", k, last)
				}
				last = string(k)
				seen[table+string(k)] = string(v)
				return nil
			}))
		}
		if !maps.Equal(seen, model) {
			r.Fatalf("%v, want %v", seen, model)
		}
	})
}

// A file that another process has open is reported at once, as such: its owner may be a predecessor that is about to stop.
func TestOpenReportsFileInUse(t *testing.T) {
	dir := t.TempDir()
	first, err := Open(dir, "x.db", 0, "t")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	began := time.Now()
	if _, err := Open(dir, "x.db", 0, "t"); !errors.Is(err, ErrInUse) || time.Since(began) > time.Second {
		t.Errorf("%v after %v", err, time.Since(began))
	}
}
