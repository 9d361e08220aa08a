// Package gossip transports messages between the relays of a fleet: UDP datagrams of up to 256 bytes, which may
// be delayed, duplicated or lost. The sender of a message is identified by its address. Messages have a frame
// with a kind and a checksum (Seal and Open); their content belongs to the packages that send them.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// listenRetryInterval is the time between attempts to listen while the address is in use.
const listenRetryInterval = 50 * time.Millisecond

// Conn sends and receives the messages of one relay. After SetPeers its methods may be called concurrently.
type Conn struct {
	conn        *net.UDPConn
	addrs       []netip.AddrPort // by number of the relay
	relayByAddr map[netip.AddrPort]int
}

// Listen listens on a relay's address. While the address is in use it retries until the context ends: an earlier
// process of this relay may be about to end.
func Listen(ctx context.Context, listen string) (*Conn, error) {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: the address to listen on: %w", err)
	}
	c := &Conn{}
	for {
		if c.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err == nil {
			return c, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("gossip: %w", err)
		case <-time.After(listenRetryInterval):
		}
	}
}

// SetPeers sets the addresses of all relays, by number, this one included. It must be called before Receive and Send.
func (c *Conn) SetPeers(peers []string) error {
	c.addrs, c.relayByAddr = nil, map[netip.AddrPort]int{}
	for i, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("gossip: relay %d: %w", i, err)
		}
		if other, duplicate := c.relayByAddr[addr]; duplicate {
			return fmt.Errorf("gossip: relays %d and %d have the same address %s", other, i, addr)
		}
		c.addrs, c.relayByAddr[addr] = append(c.addrs, addr), i
	}
	return nil
}

// Addr returns the address on which it listens.
func (c *Conn) Addr() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Receive calls f with each message of a known relay until Close; f may keep the message. Messages from other
// addresses are dropped.
func (c *Conn) Receive(f func(from int, message []byte)) {
	buffer := make([]byte, MaxMessageBytes+1)
	for {
		n, at, err := c.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > MaxMessageBytes {
			continue
		}
		if from, ok := c.relayByAddr[netip.AddrPortFrom(at.Addr().Unmap(), at.Port())]; ok {
			f(from, append([]byte(nil), buffer[:n]...))
		}
	}
}

// Send sends a message to a relay. If that fails the message is lost, as datagrams may be.
func (c *Conn) Send(to int, message []byte) {
	if to >= 0 && to < len(c.addrs) && len(message) <= MaxMessageBytes {
		c.conn.WriteToUDPAddrPort(message, c.addrs[to])
	}
}

// Close ends Receive.
func (c *Conn) Close() error { return c.conn.Close() }
