package rpc

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection to an address. It returns when the context ends.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// dialTCP is the DialFunc where none is given.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", addr)
}

// redialDelays are the times after which a dial that has not ended is made once more, in addition to the ones before. The opening packet to a
// machine that has no power is lost, and is sent again by the kernel a second later only: a machine that comes back meanwhile is
// reached by the next dial. Dials that were made before stay, since the way to the machine may take longer than a delay.
var redialDelays = []time.Duration{100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond}

// dialOutcome is how one dial ended.
type dialOutcome struct {
	socket net.Conn
	err    error
}

// dialOverlapping dials an address, and again after each of the delays, until one dial succeeds or one fails. It returns when all its
// dials have ended, and no more than one connection is open then.
func dialOverlapping(ctx context.Context, dial DialFunc, addr string, delays []time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan dialOutcome, len(delays)+1)
	start := func() {
		go func() {
			socket, err := dial(ctx, addr)
			outcomes <- dialOutcome{socket, err}
		}()
	}
	start()
	pending := 1
	var first dialOutcome
	for waiting := true; waiting; {
		var next <-chan time.Time
		if pending <= len(delays) {
			next = time.After(delays[pending-1])
		}
		select {
		case first = <-outcomes:
			pending--
			waiting = false
		case <-next:
			start()
			pending++
		}
	}
	cancel()
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
