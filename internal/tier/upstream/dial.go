package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"larchrouter/internal/netdial"
)

// Dial connects to an address within a time-out.
type Dial func(addr string, timeout time.Duration) (net.Conn, error)

// dial is the Dial for TCP.
func dial(addr string, timeout time.Duration) (net.Conn, error) {
	d := dialer
	d.Timeout = timeout
	return netdial.DialContext(context.Background(), d, "tcp4", addr)
}

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			limit := int(unacknowledgedLimit.Milliseconds())
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, limit)
		})
	},
}

// ownShortages are errors of Dial that are due to this process or its machine, not to the host.
var ownShortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL}

// dialError marks an error of Dial, which had so much time, with its kind.
func dialError(err error, timeout time.Duration) error {
	for _, shortage := range ownShortages {
		if errors.Is(err, shortage) {
			return errors.Mark(err, ErrConnectionLimit)
		}
	}
	if timeout < dialTimeout && isTimeout(err) { // too short to say anything about the host
		return errors.Mark(err, ErrDeadline)
	}
	return errors.Mark(err, ErrConnect)
}

// isTimeout reports whether an error of Dial is a time-out.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
