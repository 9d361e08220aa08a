package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"

	"larchrouter/internal/relay/compaction"
)

// Format 1 was one file of records: length, CRC-32, JSON. It is read once, and rewritten in the present format.
const (
	legacyName       = "journal"
	legacyTempName   = "journal.tmp" // of an interrupted compaction: the file itself is still complete
	legacyHeaderSize = 8
)

// readLegacyRecord returns the record at the start of data and its size. A torn or damaged one is an error: format 1 does
// not show where the next record starts.
func readLegacyRecord(data []byte) (r Record, n int, err error) {
	if len(data) < legacyHeaderSize {
		return r, 0, errors.New("torn header")
	}
	size := binary.LittleEndian.Uint32(data)
	if size > maxRecordSize || int(size) > len(data)-legacyHeaderSize {
		return r, 0, errors.New("torn record")
	}
	payload := data[legacyHeaderSize : legacyHeaderSize+int(size)]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[4:]) {
		return r, 0, errors.New("checksum differs")
	}
	if err := json.Unmarshal(payload, &r); err != nil {
		return r, 0, err
	}
	return r, legacyHeaderSize + int(size), nil
}

// replayLegacy applies the records of a file of format 1 and returns the number of bytes that could not be read.
func (s *state) replayLegacy(data []byte) (unread int) {
	for at := 0; at < len(data); {
		r, n, err := readLegacyRecord(data[at:])
		if err != nil {
			return len(data) - at // torn tail
		}
		s.seq++
		s.apply(s.seq, &r, 0, int64(n))
		at += n
	}
	return 0
}

// migrateLegacy rewrites the entries of a file of format 1 in the present format, syncs them and removes the file.
func (j *Journal) migrateLegacy() error {
	for {
		if _, ok := j.oldestLive(j.items.Len()); !ok || j.items.At(0).segment > 0 {
			break
		}
		if err := j.rewriteOldest(compaction.MaxRewrite); err != nil {
			return err
		}
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	if err := j.dir.Remove(legacyName); err != nil {
		return err
	}
	return j.dir.SyncDir()
}
