// Package gossip carries notes between the relays of a fleet: UDP datagrams of up to 256 bytes, which come late, twice
// or not at all. Who wrote one is told by the address that it came from.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// again is when listening is tried again while another process of this relay still does.
const again = 50 * time.Millisecond

// Conn sends and receives the notes of one relay. Its methods may be called at the same time.
type Conn struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort
	from  map[netip.AddrPort]int
}

// Listen takes up a relay's address. While it is in use it is tried again until the context ends: another process of
// this relay may be about to leave it.
func Listen(ctx context.Context, listen string) (*Conn, error) {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peers: the address to listen on: %w", err)
	}
	c := &Conn{}
	for {
		if c.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err == nil {
			return c, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("peers: %w", err)
		case <-time.After(again):
		}
	}
}

// Join tells the addresses of all relays by number, this one's among them. It comes before Receive and Send.
func (c *Conn) Join(peers []string) error {
	c.addrs, c.from = nil, map[netip.AddrPort]int{}
	for i, text := range peers {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peers: relay %d: %w", i, err)
		}
		if other, twice := c.from[a]; twice {
			return fmt.Errorf("peers: relays %d and %d have the same address %s", other, i, a)
		}
		c.addrs, c.from[a] = append(c.addrs, a), i
	}
	return nil
}

// Addr is where it listens.
func (c *Conn) Addr() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Receive hands each note that comes to f, which may keep it, until Close. Those of strangers are dropped.
func (c *Conn) Receive(f func(from int, note []byte)) {
	room := make([]byte, Most+1)
	for {
		n, at, err := c.conn.ReadFromUDPAddrPort(room)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > Most {
			continue
		}
		if from, ok := c.from[netip.AddrPortFrom(at.Addr().Unmap(), at.Port())]; ok {
			f(from, append([]byte(nil), room[:n]...))
		}
	}
}

// Send sends a note to a relay. Whatever goes wrong, the note is lost, as notes may be.
func (c *Conn) Send(to int, note []byte) {
	if to >= 0 && to < len(c.addrs) && len(note) <= Most {
		c.conn.WriteToUDPAddrPort(note, c.addrs[to])
	}
}

// Close ends Receive.
func (c *Conn) Close() error { return c.conn.Close() }
