package rpc

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// MaxFrame is the largest size of a body in bytes: the largest configuration, or one turn with its history, with room
// to spare.
const MaxFrame = 64 << 20

// shortBody is the length in bytes up to which a body is allocated at once and not counted.
const shortBody = 64 << 10

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

// writeTo writes the frame to a connection and returns how many bytes were written. A long body is not copied.
func (f frame) writeTo(c net.Conn) (n int, err error) {
	if len(f.body) <= shortBody {
		return c.Write(f.encode())
	}
	head := frame{f.kind, f.method, f.number, nil}.encode()
	binary.BigEndian.PutUint32(head, uint32(headerSize-lengthSize+len(f.body)))
	parts := net.Buffers{head, f.body}
	written, err := parts.WriteTo(c)
	return int(written), err
}

// readFrame reads one frame. Its body is allocated as the bytes come, at most MaxFrame.
func readFrame(r *bufio.Reader) (frame, error) {
	f, n, err := readHeader(r)
	if err != nil {
		return frame{}, err
	}
	f.body, err = readBody(r, n, nil)
	return f, err
}

// readHeader reads the header of a frame and returns the frame without its body, and the length of that.
func readHeader(r *bufio.Reader) (f frame, bodyLength int, err error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, 0, err
	}
	n := int(binary.BigEndian.Uint32(header[:])) - (headerSize - lengthSize)
	if n < 0 || n > MaxFrame {
		return frame{}, 0, errors.Newf("a frame of %d bytes: call an address that speaks as this program does", n)
	}
	return frame{kind: kind(header[4]), method: Method(header[5]), number: binary.BigEndian.Uint64(header[6:])}, n, nil
}

// readBody reads n bytes. A long body is allocated once the first shortBody bytes have come. draw is called before each allocation for a
// long body with its bytes; nil for nothing. Its error ends the reading.
func readBody(r io.Reader, n int, draw func(bytes int) error) ([]byte, error) {
	body := make([]byte, 0, min(n, shortBody))
	for len(body) < n {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, n), body...)
		}
		if draw != nil {
			if err := draw(cap(body) - len(body)); err != nil {
				return nil, err
			}
		}
		next := body[len(body):cap(body)]
		if _, err := io.ReadFull(r, next); err != nil {
			return nil, err
		}
		body = body[:cap(body)]
	}
	return body, nil
}
