package proxy

import (
	"io"

	"github.com/cockroachdb/errors"
)

// The sizes in bytes of the parts in which a body is read. Each part is as long as what came before it, so that a client makes the
// process hold no more than about twice what it has sent.
const (
	firstAnnouncedPart = 16 << 10 // of a body whose length is known
	firstChunkedPart   = 4 << 10
	maxBodyPart        = 64 << 10
)

// body is the body of a request, in parts.
type body [][]byte

// size returns the number of bytes.
func (b body) size() (size int) {
	for _, part := range b {
		size += len(part)
	}
	return size
}

// joined returns the body in one part, which is a copy unless there is one part only.
func (b body) joined() []byte {
	switch len(b) {
	case 0:
		return nil
	case 1:
		return b[0]
	}
	all := make([]byte, 0, b.size())
	for _, part := range b {
		all = append(all, part...)
	}
	return all
}

// readBodyParts reads a body to its end, of at most so many bytes. length is the announced one, -1 for a source that ends with the
// body. Each part is drawn from the account of the request before it is read. It returns errTooLarge for a longer body.
func (r *request) readBodyParts(source io.Reader, length, maxBytes int) (read body, err error) {
	next := firstChunkedPart
	if length >= 0 {
		maxBytes, next = length, firstAnnouncedPart
	}
	for total := 0; total < maxBytes; {
		size := min(next, maxBytes-total)
		if err := r.account().Draw(int64(size)); err != nil {
			return nil, err
		}
		part, err := readPart(source, make([]byte, size))
		if len(part) > 0 {
			read = append(read, part)
		}
		switch total += len(part); {
		case err == nil:
			next = min(max(total, next), maxBodyPart)
		case !errors.Is(err, io.EOF):
			return nil, err
		case length >= 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return read, nil
		}
	}
	if length < 0 {
		return read, expectEnd(source)
	}
	return read, nil
}

// readPart reads until a part is full or the source fails or ends, and returns what was read.
func readPart(source io.Reader, part []byte) (read []byte, err error) {
	n := 0
	for n < len(part) && err == nil {
		var more int
		more, err = source.Read(part[n:])
		n += more
	}
	if n == len(part) {
		err = nil // comes again with the next read
	}
	return part[:n], err
}

// expectEnd returns errTooLarge unless the source ends here.
func expectEnd(source io.Reader) error {
	var next [1]byte
	more, err := readPart(source, next[:])
	switch {
	case len(more) > 0:
		return errTooLarge
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}
