package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"
)

// Format 1 was one file of records: length, CRC-32, JSON. It is read once, and written anew in the present format.
const (
	legacyName = "journal"
	legacyCopy = "journal.tmp" // of a compaction that a kill cut short: the file itself still holds all
	legacyHead = 8
)

// legacyRecord reads the record at the start of data and tells how long it is. A torn or damaged one is an error:
// nothing in that format tells where the next begins.
func legacyRecord(data []byte) (r Record, n int, err error) {
	if len(data) < legacyHead {
		return r, 0, errors.New("torn header")
	}
	size := binary.LittleEndian.Uint32(data)
	if size > maxRecord || int(size) > len(data)-legacyHead {
		return r, 0, errors.New("torn record")
	}
	payload := data[legacyHead : legacyHead+int(size)]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[4:]) {
		return r, 0, errors.New("checksum differs")
	}
	if err := json.Unmarshal(payload, &r); err != nil {
		return r, 0, err
	}
	return r, legacyHead + int(size), nil
}

// legacy applies the records of a file of format 1, and returns how many bytes of it could not be read.
func (s *state) legacy(data []byte) (unread int) {
	for at := 0; at < len(data); {
		r, n, err := legacyRecord(data[at:])
		if err != nil {
			return len(data) - at // the tail was being written when the process died
		}
		s.seq++
		s.apply(s.seq, &r, 0, int64(n))
		at += n
	}
	return 0
}
