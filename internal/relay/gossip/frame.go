package gossip

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// Sizes of messages. Each is one datagram with the same frame: a byte for its kind and version, the body, and
// the low half of a CRC-32C over both.
const (
	MaxMessageBytes  = 256                             // of a sealed message
	MaxUnsealedBytes = MaxMessageBytes - checksumBytes // of a message without its checksum
	checksumBytes    = 2
)

var (
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
	errMalformed = errors.New("gossip: message is damaged, or of another kind")
)

// Seal appends the checksum to a message, which begins with the byte of its kind and has at most MaxUnsealedBytes.
func Seal(b []byte) []byte { return binary.BigEndian.AppendUint16(b, checksum(b)) }

// checksum returns the low half of a CRC-32C.
func checksum(b []byte) uint16 { return uint16(crc32.Checksum(b, castagnoli)) }

// Open verifies a sealed message of a kind and returns its body. A damaged one, or one of another kind, is an error.
func Open(message []byte, kind byte) (body []byte, err error) {
	if len(message) < 1+checksumBytes || len(message) > MaxMessageBytes || message[0] != kind {
		return nil, errMalformed
	}
	body = message[:len(message)-checksumBytes]
	if binary.BigEndian.Uint16(message[len(body):]) != checksum(body) {
		return nil, errMalformed
	}
	return body[1:], nil
}
