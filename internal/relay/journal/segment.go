package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// A segment is a file "journal-NUMBER". It begins with a head:
//
//	magic 8 | formatVersion 4 | number 8 | sequence of its first record 8 | CRC-32C of these 4
//
// and goes on with frames, all numbers little-endian:
//
//	CRC-32C of what follows 4 | length of the record 4 | sequence 8 | unsynced 4 | record
//
// Sequences go up by one from record to record through all segments, so that what is missing can be told. Unsynced is
// how many records before this one were not known to outlast a loss of power when it was written: 0 where nothing is
// synced.
const (
	segmentPrefix     = "journal-"
	segmentMagic      = "larchlog"
	segmentHeaderSize = 32
	frameHeaderSize   = 20
	formatVersion     = 2 // format 1 is the one file "journal" of JSON records, see legacy.go
	maxRecordSize     = 256 << 10
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func segmentName(number uint64) string { return fmt.Sprintf("%s%08d", segmentPrefix, number) }

// parseSegmentName is the number in a segment's name; false for other files.
func parseSegmentName(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, segmentPrefix)
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, ok && err == nil && segmentName(n) == name
}

func encodeSegmentHeader(number, first uint64) []byte {
	buf := append(make([]byte, 0, segmentHeaderSize), segmentMagic...)
	buf = binary.LittleEndian.AppendUint32(buf, formatVersion)
	buf = binary.LittleEndian.AppendUint64(buf, number)
	buf = binary.LittleEndian.AppendUint64(buf, first)
	return binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoliTable))
}

// ErrNewer says that a journal was written by a later version of the program.
var ErrNewer = errors.New("written by a newer version of this program")

var errSegmentHeader = errors.New("head damaged")

// decodeSegmentHeader returns the sequence of a segment's first record.
func decodeSegmentHeader(data []byte) (first uint64, err error) {
	if len(data) < segmentHeaderSize || string(data[:8]) != segmentMagic ||
		crc32.Checksum(data[:segmentHeaderSize-4], castagnoliTable) != binary.LittleEndian.Uint32(data[segmentHeaderSize-4:]) {
		return 0, errSegmentHeader
	}
	if v := binary.LittleEndian.Uint32(data[8:]); v > formatVersion {
		return 0, fmt.Errorf("format %d, but %d is the newest known here: %w", v, formatVersion, ErrNewer)
	}
	return binary.LittleEndian.Uint64(data[20:]), nil
}

// appendFrame appends a record in its frame.
func appendFrame(buf []byte, seq uint64, unsynced uint32, r *Record) []byte {
	at := len(buf)
	buf = r.encode(append(buf, make([]byte, frameHeaderSize)...))
	f := buf[at:]
	binary.LittleEndian.PutUint32(f[4:], uint32(len(f)-frameHeaderSize))
	binary.LittleEndian.PutUint64(f[8:], seq)
	binary.LittleEndian.PutUint32(f[16:], unsynced)
	binary.LittleEndian.PutUint32(f, crc32.Checksum(f[4:], castagnoliTable))
	return buf
}

// frame is one that was read.
type frame struct {
	seq      uint64
	unsynced uint32
	size     int // with its head
	record   Record
}

// readFrame reads the frame at the start of data.
func readFrame(data []byte) (f frame, ok bool) {
	if len(data) < frameHeaderSize {
		return f, false
	}
	size := int(binary.LittleEndian.Uint32(data[4:]))
	if size > maxRecordSize || size > len(data)-frameHeaderSize {
		return f, false
	}
	f.size = frameHeaderSize + size
	if crc32.Checksum(data[4:f.size], castagnoliTable) != binary.LittleEndian.Uint32(data) {
		return f, false
	}
	f.seq, f.unsynced = binary.LittleEndian.Uint64(data[8:]), binary.LittleEndian.Uint32(data[16:])
	var err error
	f.record, err = decode(data[frameHeaderSize:f.size])
	return f, err == nil
}

// byteRange is a part of a segment that no frame could be read from.
type byteRange struct{ from, to int }

// maxSearchWork bounds what a search for the next frame costs, in bytes summed for each byte searched: damage that
// imitates frames must not hold up a start.
const maxSearchWork = 64

// readFrames reads a segment's readFrames in turn. Behind damage it goes on at the next frame that follows in sequence.
// Take is told of each frame where it stands, and of damage before it, if there was some.
func readFrames(data []byte, start int, take func(at int, f frame, damage *byteRange)) (end int, tail *byteRange) {
	var last uint64
	var damage *byteRange
	work := maxSearchWork * len(data)
	for at := start; at < len(data); {
		f, ok := readFrame(data[at:])
		if ok && (last == 0 || f.seq > last) {
			if damage != nil {
				damage.to = at
			}
			take(at, f, damage)
			damage, last = nil, f.seq
			at += f.size
			end = at
			continue
		}
		if damage == nil {
			damage = &byteRange{from: at, to: len(data)}
		}
		// A cheap look before the next sum: a length that fits and a sequence that can follow.
		for at++; at < len(data); at++ {
			if len(data)-at < frameHeaderSize {
				at = len(data)
				break
			}
			size := int(binary.LittleEndian.Uint32(data[at+4:]))
			seq := binary.LittleEndian.Uint64(data[at+8:])
			if size > 0 && size <= min(maxRecordSize, len(data)-at-frameHeaderSize) && seq > last && (last == 0 || seq-last <= uint64(len(data))) {
				if work -= size; work < 0 {
					return end, damage
				}
				break
			}
		}
	}
	return max(end, start), damage
}
