package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	writeTimeout   = 2 * time.Second
	unackedTimeout = 1500 * time.Millisecond // of bytes that the other side has not acknowledged
	readBuffer     = 16 << 10                // bytes
)

// setSocketOptions has the kernel close a connection to a machine that does not respond any more. Errors are ignored:
// the connection then ends later.
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
