package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// The kinds of errors that a call ends in. ErrUnsent proves that the other side has not had the call.
var (
	ErrUnsent = errors.New("call not sent")
	ErrLost   = errors.New("no answer to the call")
	ErrRemote = errors.New("call refused by the other side")
)

// MaxFrame bounds one message: the largest configuration, or one turn with its history, with room to spare.
const MaxFrame = 64 << 20

const (
	kindCall = iota
	kindResponse
	kindError
	kindNotification // a call without an answer
)

const (
	headerSize     = 4 + 1 + 1 + 8 // length of the rest, kind, method, number
	dialTimeout    = 600 * time.Millisecond
	unackedTimeout = 1500 * time.Millisecond // unacknowledged bytes
	writeTimeout   = 2 * time.Second
	writeGrace     = 100 * time.Millisecond // past the deadline of the call that writes: it ends the connection for all
	redialBackoff  = 50 * time.Millisecond
	acceptBackoff  = 10 * time.Millisecond
)

// Method numbers a call.
type Method uint8

// Handler answers a call; an error's text goes back to the caller as ErrRemote. It runs on a goroutine of its own.
// For a notice the answer is dropped.
type Handler func(ctx context.Context, body []byte) (answer any, err error)

func frame(kind byte, m Method, number uint64, body []byte) []byte {
	b := make([]byte, headerSize+len(body))
	binary.BigEndian.PutUint32(b, uint32(headerSize-4+len(body)))
	b[4], b[5] = kind, byte(m)
	binary.BigEndian.PutUint64(b[6:], number)
	copy(b[headerSize:], body)
	return b
}

func readFrame(r *bufio.Reader) (kind byte, m Method, number uint64, body []byte, err error) {
	var h [headerSize]byte
	if _, err = io.ReadFull(r, h[:]); err != nil {
		return
	}
	n := int(binary.BigEndian.Uint32(h[:])) - (headerSize - 4)
	if n < 0 || n > MaxFrame {
		err = errors.Newf("a frame of %d bytes: call an address that speaks as this program does", n)
		return
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return h[4], Method(h[5]), binary.BigEndian.Uint64(h[6:]), body, err
}

// setSocketOptions has a connection to a machine that says nothing any more end in bounded time.
func setSocketOptions(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2})
	if raw, err := t.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
	}
}
