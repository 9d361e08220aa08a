package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"
)

// Format 1 was one file of records: length, CRC-32, JSON. It is read once, and written anew in the present format.
const (
	legacyName       = "journal"
	legacyTempName   = "journal.tmp" // of a compaction that a kill cut short: the file itself still holds all
	legacyHeaderSize = 8
)

// readLegacyRecord reads the record at the start of data and tells how long it is. A torn or damaged one is an error:
// nothing in that format tells where the next begins.
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

// replayLegacy applies the records of a file of format 1, and returns how many bytes of it could not be read.
func (s *state) replayLegacy(data []byte) (unread int) {
	for at := 0; at < len(data); {
		r, n, err := readLegacyRecord(data[at:])
		if err != nil {
			return len(data) - at // the tail was being written when the process died
		}
		s.seq++
		s.apply(s.seq, &r, 0, int64(n))
		at += n
	}
	return 0
}
