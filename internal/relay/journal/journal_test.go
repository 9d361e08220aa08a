package journal

import (
	"bytes"
	"encoding/binary"
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

// The files never exceed the budget, and a full journal still records the completion of its messages.
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
			mustAppend(t, j, Record{Op: OpTry, ID: id}, Record{Op: OpOutcome, ID: id},
				Record{Op: OpNotice, ID: id, Status: "deferred"})
			check()
		}
		for i := range n - 1 {
			mustAppend(t, j, Record{Op: OpForget, ID: fmt.Sprint("m", round, "-", i)})
		}
		check()
		want(t, "live bytes", j.live, 0)
	}
}

// A directory that is a symbolic link or has foreign files is opened; one that is missing or a file is refused.
func TestOpenDirectories(t *testing.T) {
	real := t.TempDir()
	link := filepath.Join(t.TempDir(), "state")
	if err := os.Symlink(real, link); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"notes.txt", "journal-", "journal-1", "journal-00000001.bak", "journal-x"} {
		write(t, real, name, []byte("foreign"))
	}
	mustAppend(t, mustOpen(t, link, 3e6), takenRecord("a", 10))
	j := mustOpen(t, real, 3e6)
	want(t, "entries", len(j.Entries), 1)
	want(t, "foreign files", len(j.Report().Foreign), 5)
	for _, name := range j.Report().Foreign {
		data, err := os.ReadFile(filepath.Join(real, name))
		if err != nil || string(data) != "foreign" {
			t.Errorf("%s was touched: %q, %v", name, data, err)
		}
	}
	if _, err := Open(filepath.Join(real, "missing"), Options{Budget: 3e6}); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a missing directory: %v", err)
	}
	write(t, real, "plain", nil)
	if _, err := Open(filepath.Join(real, "plain"), Options{Budget: 3e6}); err == nil {
		t.Error("a file was opened as a directory")
	}
}

// A journal of a newer format is refused with a single line and left unchanged.
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

// Records at the limits of a relay: bodies of 64 KiB and none, ids and keys of 200 bytes, a hundred attempts.
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
				mustAppend(t, j, Record{Op: OpTry, ID: r.Entry.ID, At: 1, Host: strings.Repeat("h", 100)},
					Record{Op: OpOutcome, ID: r.Entry.ID, Why: "no connection"})
			}
		}
		if round%20 == 0 {
			j = mustOpen(t, dir, 3e6)
		}
		want(t, "entries", len(j.Entries), 3)
		want(t, "bytes", len(j.Entries[id+"0"].Body), 64<<10)
		want(t, "attempts", len(j.Entries[id+"1"].Log), 100)
		for n := range 3 {
			mustAppend(t, j, Record{Op: OpNotice, ID: id + fmt.Sprint(n), Status: "deferred"},
				Record{Op: OpEnd, ID: id + fmt.Sprint(n)})
		}
	}
}
