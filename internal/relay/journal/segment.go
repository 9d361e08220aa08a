package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// Sizes and names of segments and frames; doc.go describes the format.
const (
	segmentPrefix     = "journal-"
	segmentMagic      = "larchlog"
	segmentHeaderSize = 32
	frameHeaderSize   = 20
	formatVersion     = 2 // format 1 is the one file "journal" of JSON records, see legacy.go
	maxRecordSize     = 256 << 10
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// segmentName returns the file name of a segment.
func segmentName(number uint64) string { return fmt.Sprintf("%s%08d", segmentPrefix, number) }

// parseSegmentName returns the number in the name of a segment, or false for other files.
func parseSegmentName(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, segmentPrefix)
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, ok && err == nil && segmentName(n) == name
}

// encodeSegmentHeader returns the header of a segment whose first record has the sequence first.
func encodeSegmentHeader(number, first uint64) []byte {
	buf := append(make([]byte, 0, segmentHeaderSize), segmentMagic...)
	buf = binary.LittleEndian.AppendUint32(buf, formatVersion)
	buf = binary.LittleEndian.AppendUint64(buf, number)
	buf = binary.LittleEndian.AppendUint64(buf, first)
	return binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoliTable))
}

// ErrNewer reports that a journal was written by a newer version of the program.
var ErrNewer = errors.New("written by a newer version of this program")

var errSegmentHeader = errors.New("head damaged")

// decodeSegmentHeader returns the sequence of the first record of a segment.
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
