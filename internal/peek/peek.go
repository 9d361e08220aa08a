// Package peek inspects what has arrived on a connection to a host before a response is parsed: whether an idle connection
// is still quiet, and which status a status line has. The relay's transport and the data plane's use it.
package peek

import (
	"bufio"
	"bytes"
	"strconv"
	"syscall"
)

// Quiet reports whether nothing has arrived on an idle connection: neither its end, nor bytes that would be taken for the
// next response. It never blocks. A byte that has arrived is consumed, so a connection that is not quiet must be closed.
func Quiet(raw syscall.RawConn) bool {
	quiet := false
	err := raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, err := syscall.Read(int(fd), one[:])
		quiet = n < 0 && err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// FirstLine returns the first line to be read, without its newline, and leaves it in the reader. It blocks until the line
// is complete. It returns nil if reading fails before that or the line does not fit into the reader's buffer. The bytes are
// valid until the next read.
func FirstLine(in *bufio.Reader) []byte {
	for {
		seen, _ := in.Peek(in.Buffered())
		if i := bytes.IndexByte(seen, '\n'); i >= 0 {
			return seen[:i]
		}
		if _, err := in.Peek(len(seen) + 1); err != nil {
			return nil
		}
	}
}

// Status returns the status code of an HTTP/1 status line, or 0 if the line is not one.
func Status(line []byte) int {
	proto, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	n, err := strconv.Atoi(string(code))
	if !bytes.HasPrefix(proto, []byte("HTTP/1.")) || err != nil || len(code) != 3 || n < 100 {
		return 0
	}
	return n
}
