// Package netdial opens outgoing TCP connections that leave the ports of listeners alone. The kernel draws the local port of an outgoing
// connection; where it draws one that a process is to listen at, two things go wrong on ordinary sockets:
//
//   - The listener cannot be bound while the connection lasts. SO_REUSEADDR at both sockets permits it; package net sets it at listeners
//     only.
//   - A dial to a local port that nobody listens at may connect to itself, which keeps the listener away and looks like a peer.
package netdial

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrSelf marks a connection that was connected to itself: nobody listens at the address.
var ErrSelf = errors.New("nobody listens: the connection was connected to itself")

// DialContext connects with a dialer's options.
func DialContext(ctx context.Context, dialer net.Dialer, network, addr string) (net.Conn, error) {
	inner := dialer.Control
	dialer.Control = func(network, addr string, raw syscall.RawConn) error {
		if err := raw.Control(reuseAddress); err != nil {
			return err
		}
		if inner == nil {
			return nil
		}
		return inner(network, addr, raw)
	}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if conn.LocalAddr().String() == conn.RemoteAddr().String() {
		conn.Close()
		return nil, &net.OpError{Op: "dial", Net: network, Addr: conn.RemoteAddr(), Err: errors.Mark(syscall.ECONNREFUSED, ErrSelf)}
	}
	return conn, nil
}

// reuseAddress sets SO_REUSEADDR. Errors are ignored: the connection works without it.
func reuseAddress(fd uintptr) {
	_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
}
