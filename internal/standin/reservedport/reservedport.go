// Package reservedport reserves a loopback TCP port for a test whose listener is closed and opened again at the same address.
//
// A port that is free between two listeners may be assigned as an ephemeral port in the meantime, also to an outgoing
// connection, and the second listener then fails with "address already in use". A reservation is a socket that is bound
// and never listens: the kernel does not assign its port, refuses connections to it while nothing listens, and allows a
// listener on the same port, as both sockets set SO_REUSEADDR.
package reservedport

import (
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Port is a reserved port of the address 127.0.0.1.
type Port struct {
	address netip.AddrPort
	socket  int
	once    sync.Once
}

// Reserve reserves a free port. The caller closes it.
func Reserve() (*Port, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open a socket for a reserved port")
	}
	port := &Port{socket: socket}
	if err := port.bind(); err != nil {
		port.Close()
		return nil, errors.Wrap(err, "reserve a port: free some ports")
	}
	return port, nil
}

func (p *Port) bind() error {
	if err := unix.SetsockoptInt(p.socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return err
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := unix.Bind(p.socket, &unix.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return err
	}
	name, err := unix.Getsockname(p.socket)
	if err != nil {
		return err
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return errors.Newf("the socket is bound to a %T", name)
	}
	p.address = netip.AddrPortFrom(loopback, uint16(bound.Port))
	return nil
}

// Addr returns the address to listen on, any number of times but with one listener at a time.
func (p *Port) Addr() string { return p.address.String() }

// Close ends the reservation. A listener at its address stays open.
func (p *Port) Close() {
	p.once.Do(func() { _ = unix.Close(p.socket) })
}
