package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// testRetention retains enough ids for the tests.
var testRetention = Retention{MaxIDs: 50, MaxBytes: 1 << 20, MaxAgeMs: 1 << 40}

// mustOpen opens a journal that is closed at the end of the test.
func mustOpen(t testing.TB, dir string, budget int64) *Journal {
	t.Helper()
	j, err := Open(dir, Options{Budget: budget, Retention: testRetention})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	return j
}

// want fails the test unless a value is as expected.
func want[T comparable](t testing.TB, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s is %v, want %v", what, got, want)
	}
}

// mustAppend appends records in one batch.
func mustAppend(t testing.TB, j *Journal, recs ...Record) {
	t.Helper()
	if err := j.Append(recs...); err != nil {
		t.Fatal(err)
	}
}

// takenRecord returns the record that accepts a message with a body of the given size.
func takenRecord(id string, size int) Record {
	return Record{Op: OpTaken, Entry: &Entry{ID: id, Class: "payment", Dest: 7, Due: 99, Body: bytes.Repeat([]byte{7}, size)}}
}

// write writes a file of the directory.
func write(t testing.TB, dir, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// dump returns the complete state as text, without positions in the log.
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

// sampleRecords returns a record of each operation, with messages in all states.
func sampleRecords() []Record {
	return []Record{takenRecord("a", 10), takenRecord("b", 10), takenRecord("c", 10), takenRecord("d", 10),
		takenRecord("gone", 10),
		{Op: OpTry, ID: "a", At: 5, Wait: 300, Zone: 2}, {Op: OpOutcome, ID: "a", Ran: true},
		{Op: OpTry, ID: "a", At: 9, Zone: 1, Host: "s-1"}, {Op: OpOutcome, ID: "a", Ran: true, Why: "reset", Wait: 12},
		{Op: OpTry, ID: "b", At: 6, Zone: 1}, {Op: OpEnd, ID: "c", At: 77},
		{Op: OpNotice, ID: "d", Status: "deferred", Again: 700, At: 78, Why: "its time was up"}, {Op: OpHealth, ID: "s-1",
			Ran: true, Base: 2.5},
		{Op: OpDrain, ID: "pay/s-1", Ran: true, At: 4, Status: "op"}, {Op: OpDrain, ID: "x", Ran: true}, {Op: OpDrain, ID: "x"},
		{Op: OpOverride, ID: "partner:p", Ran: true, Again: 1, Host: "r1", Status: "op"}, {Op: OpOverride, ID: "partner:p",
			Again: 2, Host: "r2", Status: "op"},
		{Op: OpForget, ID: "gone"}}
}

// legacyFile returns a journal of format 1.
func legacyFile(recs ...Record) (buf []byte) {
	for _, r := range recs {
		payload, _ := json.Marshal(r)
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
		buf = binary.LittleEndian.AppendUint32(buf, crc32.ChecksumIEEE(payload))
		buf = append(buf, payload...)
	}
	return buf
}
