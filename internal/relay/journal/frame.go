package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// appendFrame appends the frame of a record.
func appendFrame(buf []byte, seq uint64, unsynced uint32, r *Record) []byte {
	start := len(buf)
	buf = r.encode(append(buf, make([]byte, frameHeaderSize)...))
	f := buf[start:]
	binary.LittleEndian.PutUint32(f[4:], uint32(len(f)-frameHeaderSize))
	binary.LittleEndian.PutUint64(f[8:], seq)
	binary.LittleEndian.PutUint32(f[16:], unsynced)
	binary.LittleEndian.PutUint32(f, crc32.Checksum(f[4:], castagnoliTable))
	return buf
}

// frame is a decoded frame.
type frame struct {
	seq      uint64
	unsynced uint32
	size     int // with its header, in bytes
	record   Record
}

// readFrame decodes the frame at the start of data, and reports whether it is valid.
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

// byteRange is a range of a segment, up to but not including to, from which no frame could be read.
type byteRange struct{ from, to int }

// maxSearchWork bounds the search for the next frame behind damage, in bytes checksummed for each byte searched: damage that
// imitates frames must not delay a start.
const maxSearchWork = 64

// readFrames calls apply for each frame of a segment, with its offset and the damaged range before it, if any. Behind damage
// it continues at the next frame with a higher sequence. It returns the end of the last frame and the unreadable tail.
func readFrames(
	data []byte, start int, apply func(offset int, f frame, damage *byteRange),
) (end int, unreadable *byteRange) {
	var lastSeq uint64
	var damage *byteRange
	work := maxSearchWork * len(data)
	for offset := start; offset < len(data); {
		f, ok := readFrame(data[offset:])
		if ok && (lastSeq == 0 || f.seq > lastSeq) {
			if damage != nil {
				damage.to = offset
			}
			apply(offset, f, damage)
			damage, lastSeq = nil, f.seq
			offset += f.size
			end = offset
			continue
		}
		if damage == nil {
			damage = &byteRange{from: offset, to: len(data)}
		}
		var size int
		if offset, size = nextCandidate(data, offset+1, lastSeq); size > 0 {
			if work -= size; work < 0 {
				return end, damage
			}
		}
	}
	return max(end, start), damage
}

// nextCandidate returns the next offset at which length and sequence are those of a possible frame, and the length of its
// record. It saves the checksum at all other offsets. If there is none it returns the end of data and 0.
func nextCandidate(data []byte, offset int, lastSeq uint64) (candidate, size int) {
	for ; len(data)-offset >= frameHeaderSize; offset++ {
		size := int(binary.LittleEndian.Uint32(data[offset+4:]))
		seq := binary.LittleEndian.Uint64(data[offset+8:])
		if size > 0 && size <= min(maxRecordSize, len(data)-offset-frameHeaderSize) &&
			seq > lastSeq && (lastSeq == 0 || seq-lastSeq <= uint64(len(data))) {
			return offset, size
		}
	}
	return len(data), 0
}
