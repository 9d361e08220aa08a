// Package peek looks at what has come on a connection to a host without taking it: whether an idle connection is still quiet, and
// which status a first line gives. The relay's calls and the data plane's use it.
package peek

import (
	"bufio"
	"bytes"
	"strconv"
	"syscall"
)

// Quiet tells whether nothing has come on an idle connection: neither its end, nor bytes that would pass for the next answer.
// A byte that has come is taken, so that a connection that is not quiet is of no more use.
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

// FirstLine is the first line that comes, without its newline; nil if it does not end. It stays to be read.
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

// Status reads a status line of HTTP/1; 0 if it is none.
func Status(line []byte) int {
	proto, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	n, err := strconv.Atoi(string(code))
	if !bytes.HasPrefix(proto, []byte("HTTP/1.")) || err != nil || len(code) != 3 || n < 100 {
		return 0
	}
	return n
}
