package upstream

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Dial makes a connection to an address within a time.
type Dial func(addr string, within time.Duration) (net.Conn, error)

func dial(addr string, within time.Duration) (net.Conn, error) {
	d := dialer
	d.Timeout = within
	return d.Dial("tcp4", addr)
}

var dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
		})
	}}

// isTimeout tells whether a connection did not come up in time.
func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
