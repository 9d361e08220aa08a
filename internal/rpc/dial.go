package rpc

import (
	"context"
	"net"
	"time"

	"larchrouter/internal/netdial"
)

// DialFunc opens a connection to an address. It returns when the context ends.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// dialTCP is the DialFunc where none is given.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return netdial.DialContext(ctx, net.Dialer{}, "tcp4", addr)
}

// redialInterval is the time after which a dial that has not ended is made once more, in addition to the ones before. The opening
// packet to a machine that has no power is lost, and is sent again by the kernel a second later only: a machine that comes back
// meanwhile is reached by the next dial. Dials that were made before stay, since the way to the machine may take longer than an
// interval.
const redialInterval = 100 * time.Millisecond

// maxOverlappingDials bounds the dials of one connection that are under way at the same time.
const maxOverlappingDials = 12

// dialOutcome is how one dial ended.
type dialOutcome struct {
	socket net.Conn
	err    error
}

// dialOverlapping dials an address, and again after each interval and with each element of reachable, until one dial succeeds or one
// fails. It returns when all its dials have ended, and no more than one connection is open then.
func dialOverlapping(
	ctx context.Context, dial DialFunc, addr string, interval time.Duration, reachable <-chan struct{},
) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan dialOutcome, maxOverlappingDials)
	pending := 0
	start := func() {
		if pending == maxOverlappingDials {
			return
		}
		pending++
		go func() {
			socket, err := dial(ctx, addr)
			outcomes <- dialOutcome{socket, err}
		}()
	}
	start()
	redial := time.NewTicker(interval)
	defer redial.Stop()
	var first dialOutcome
	for waiting := true; waiting; {
		select {
		case first = <-outcomes:
			pending--
			waiting = false
		case <-redial.C:
			start()
		case <-reachable:
			start()
		}
	}
	cancel()
	return keepOne(first, outcomes, pending)
}

// keepOne waits for the dials that are pending and returns the outcome that is used: the first one, or if that is an error the first
// connection. It closes all other connections.
func keepOne(first dialOutcome, outcomes <-chan dialOutcome, pending int) (net.Conn, error) {
	for ; pending > 0; pending-- {
		switch other := <-outcomes; {
		case other.err != nil:
		case first.err != nil:
			first = other
		default:
			other.socket.Close()
		}
	}
	return first.socket, first.err
}
