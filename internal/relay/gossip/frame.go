package gossip

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// The sizes of notes between relays, which go in one datagram each.
// Every message between relays has one frame: a byte for its kind and version, the body, and the low half of a
// CRC-32C over both. It has 256 bytes at most.
const (
	Most     = 256             // bytes of a note
	Room     = Most - sumBytes // of them, for all but the sum
	sumBytes = 2
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errFrame   = errors.New("notes: damaged, or of another kind")
)

// Seal ends a note that begins with the byte of its kind, and has Room bytes at most.
func Seal(b []byte) []byte { return binary.BigEndian.AppendUint16(b, sum(b)) }

func sum(b []byte) uint16 { return uint16(crc32.Checksum(b, castagnoli)) }

// Open returns what a note of a kind says. One that is damaged, or of another kind, is an error.
func Open(note []byte, kind byte) (says []byte, err error) {
	if len(note) < 1+sumBytes || len(note) > Most || note[0] != kind {
		return nil, errFrame
	}
	body := note[:len(note)-sumBytes]
	if binary.BigEndian.Uint16(note[len(body):]) != sum(body) {
		return nil, errFrame
	}
	return body[1:], nil
}
