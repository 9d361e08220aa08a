package rpc

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxFrame is the largest size of a body in bytes: the largest configuration, or one turn with its history, with room
// to spare.
const MaxFrame = 64 << 20

// Method identifies a procedure. Its number is part of the protocol between the processes of the tier.
type Method uint8

// kind is what a frame is. Its number is part of the protocol.
type kind byte

const (
	kindCall kind = iota
	kindResponse
	kindError        // a response that has an error's text
	kindNotification // a call without a response
)

const (
	lengthSize = 4
	headerSize = lengthSize + 1 + 1 + 8 // length of the rest, kind, method, number
)

// frame is one message on a connection.
type frame struct {
	kind   kind
	method Method
	number uint64 // of the call on its connection; 0 in a notification
	body   []byte // at most MaxFrame bytes
}

// encode returns the bytes of the frame.
func (f frame) encode() []byte {
	b := make([]byte, headerSize+len(f.body))
	binary.BigEndian.PutUint32(b, uint32(headerSize-lengthSize+len(f.body)))
	b[4], b[5] = byte(f.kind), byte(f.method)
	binary.BigEndian.PutUint64(b[6:], f.number)
	copy(b[headerSize:], f.body)
	return b
}

// readFrame reads one frame. It does not allocate more than MaxFrame bytes for a body.
func readFrame(r *bufio.Reader) (frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	n := int(binary.BigEndian.Uint32(header[:])) - (headerSize - lengthSize)
	if n < 0 || n > MaxFrame {
		return frame{}, errors.Newf("a frame of %d bytes: call an address that speaks as this program does", n)
	}
	f := frame{kind(header[4]), Method(header[5]), binary.BigEndian.Uint64(header[6:]), make([]byte, n)}
	_, err := io.ReadFull(r, f.body)
	return f, err
}
