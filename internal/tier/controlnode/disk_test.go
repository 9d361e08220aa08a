package controlnode

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"

	"larchrouter/internal/process"
	"larchrouter/internal/tier/chain"
)

// The space of superseded entries is freed or reused: after hundreds of large changes the data folder is not larger than
// 16 of them.
func TestDiskUsageIsBounded(t *testing.T) {
	const changes, size = 300, 256 << 10
	c := &cluster{t: t, basePort: findFreeBasePort(t), n: 3, dirs: []string{t.TempDir(), t.TempDir(), t.TempDir()}}
	core, err := Open(c.settings(0, true), process.NewLogger(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	d := core.node.Durable()
	for index := int64(1); index <= changes; index++ {
		value := make([]byte, size)
		value[index%size] = byte(index)
		d.State.LastIndex, d.State.Commit = index, index-1
		d.State.Entries = append(chain.EntriesAfter(d.State.Entries, index-2), chain.Entry{Index: index, Key: "config", Value: value})
		if err := core.db.Commit(context.Background(), core.saved.changedRows(d)); err != nil {
			t.Fatalf("change %d: %v", index, err)
		}
	}
	core.stop()
	if err := core.db.Close(); err != nil {
		t.Fatal(err)
	}
	total := int64(0)
	err = filepath.WalkDir(c.dirs[0], func(path string, e os.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if err == nil {
			total += info.Size()
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d changes of %d bytes use %d bytes on disk", changes, size, total)
	if total > 16*size {
		t.Errorf("the data folder has %d bytes after %d changes of %d bytes", total, changes, size)
	}
	again, err := Open(c.settings(0, false), process.NewLogger(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	defer again.db.Close()
	if got := again.node.Durable().State; got.LastIndex != changes || len(got.Entries) != 2 {
		t.Errorf("restarted at index %d with %d entries, want %d with 2", got.LastIndex, len(got.Entries), changes)
	}
}
