package journal

import (
	"google.golang.org/protobuf/encoding/protowire"
)

// putMessage appends a nested message. Its length always takes three bytes, so that it can be set after encoding.
func putMessage(buf []byte, n protowire.Number, put func([]byte) []byte) []byte {
	buf = protowire.AppendTag(buf, n, protowire.BytesType)
	at := len(buf)
	buf = put(append(buf, 0, 0, 0))
	size := len(buf) - at - 3
	if size >= 1<<21 {
		panic("journal: a record over 2 MB") // bodies, names and attempts are bounded far below
	}
	buf[at], buf[at+1], buf[at+2] = byte(size)|0x80, byte(size>>7)|0x80, byte(size>>14)
	return buf
}

// putNumber appends an unsigned field. Fields of value 0 are omitted.
func putNumber(buf []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return buf
	}
	return protowire.AppendVarint(protowire.AppendTag(buf, n, protowire.VarintType), v)
}

// putText appends a string field unless it is empty.
func putText(buf []byte, n protowire.Number, v string) []byte {
	if v == "" {
		return buf
	}
	return protowire.AppendString(protowire.AppendTag(buf, n, protowire.BytesType), v)
}

// putBytes appends a field of bytes unless it is empty.
func putBytes(buf []byte, n protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return buf
	}
	return protowire.AppendBytes(protowire.AppendTag(buf, n, protowire.BytesType), v)
}

// putSigned appends a signed field in zigzag encoding unless it is 0.
func putSigned(buf []byte, n protowire.Number, v int64) []byte {
	return putNumber(buf, n, protowire.EncodeZigZag(v))
}

// bit returns 1 for true and 0 for false.
func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
