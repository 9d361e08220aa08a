package chaostest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/relay/scenario"
)

// links forward gossip between relays as the plan's Network decides. Each relay has one address by which its peers know it:
// a datagram to it is forwarded to the relay, from the address by which the sender is known. So all relays know a peer by the
// same address, and every datagram passes here.
type links struct {
	conns       []*net.UDPConn // by relay: the address that its peers know
	relays      []netip.AddrPort
	indexByAddr map[netip.AddrPort]int
	network     atomic.Pointer[scenario.Network]
	now         func() time.Duration
	draw        []*rand.Rand // by sender and receiver
	mu          []sync.Mutex // of draw
	wg          sync.WaitGroup
	datagrams   atomic.Int64
	bytes       atomic.Int64
	lost        atomic.Int64
}

// newLinks opens an address for each relay. Relays are the addresses on which they listen.
func newLinks(relays []netip.AddrPort, seed uint64, now func() time.Duration) (*links, error) {
	n := len(relays)
	l := &links{relays: relays, indexByAddr: map[netip.AddrPort]int{}, now: now,
		draw: make([]*rand.Rand, n*n), mu: make([]sync.Mutex, n)}
	l.network.Store(&scenario.Network{})
	for i := range l.draw {
		l.draw[i] = rand.New(rand.NewPCG(seed, 1<<32+uint64(i)))
	}
	for i, a := range relays {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)))
		if err != nil {
			l.close()
			return nil, fmt.Errorf("a link of relay %d: %w", i, err)
		}
		l.conns, l.indexByAddr[a] = append(l.conns, c), i
	}
	for to := range l.conns {
		l.wg.Go(func() { l.receive(to) })
	}
	return l, nil
}

// peers returns the addresses by which relays know one another.
func (l *links) peers() (all []string) {
	for _, c := range l.conns {
		all = append(all, c.LocalAddr().String())
	}
	return all
}

// receive reads and forwards a relay's datagrams until the links are closed.
func (l *links) receive(to int) {
	buffer := make([]byte, 1500)
	for {
		n, at, err := l.conns[to].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from, ok := l.indexByAddr[netip.AddrPortFrom(at.Addr().Unmap(), at.Port())]
		if err != nil || !ok {
			continue
		}
		l.datagrams.Add(1)
		l.bytes.Add(int64(n))
		l.mu[to].Lock()
		after := l.network.Load().Deliver(from, to, l.now(), l.draw[to*len(l.conns)+from])
		l.mu[to].Unlock()
		if len(after) == 0 {
			l.lost.Add(1)
		}
		for _, d := range after {
			if d == 0 {
				l.forward(from, to, buffer[:n])
				continue
			}
			datagram := slices.Clone(buffer[:n])
			time.AfterFunc(d, func() { l.forward(from, to, datagram) })
		}
	}
}

func (l *links) forward(from, to int, datagram []byte) {
	if _, err := l.conns[from].WriteToUDPAddrPort(datagram, l.relays[to]); err != nil && !errors.Is(err, net.ErrClosed) {
		l.lost.Add(1)
	}
}

// close closes the links; delayed datagrams are lost.
func (l *links) close() {
	for _, c := range l.conns {
		c.Close()
	}
	l.wg.Wait()
}
