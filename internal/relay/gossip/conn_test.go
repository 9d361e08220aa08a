package gossip

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T) *Conn {
	t.Helper()
	c, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

type received struct {
	from int
	text string
}

// Messages of known relays arrive unchanged; too long ones, and those of other addresses, are dropped.
func TestReceiveFromKnownRelays(t *testing.T) {
	a, b := listen(t), listen(t)
	for _, c := range []*Conn{a, b} {
		if err := c.SetPeers([]string{a.Addr().String(), b.Addr().String()}); err != nil {
			t.Fatal(err)
		}
	}
	got := make(chan received, 10)
	done := make(chan bool)
	go func() {
		a.Receive(func(from int, message []byte) { got <- received{from, string(message)} })
		close(done)
	}()
	stranger, err := net.Dial("udp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("from an unknown address"))
	b.Send(0, make([]byte, MaxMessageBytes+1))
	b.Send(7, []byte("to nobody"))
	b.conn.WriteToUDPAddrPort(make([]byte, MaxMessageBytes+1), a.Addr())
	b.Send(0, []byte("hello"))
	select {
	case n := <-got:
		if n != (received{1, "hello"}) {
			t.Errorf("got %q of relay %d", n.text, n.from)
		}
	case <-time.After(10 * time.Second):
		t.Error("no message arrived")
	}
	a.Close()
	<-done
}

// A second process of a relay waits until the first has closed the address, or its context ends.
func TestListenRetriesWhileAddressInUse(t *testing.T) {
	a := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Listen(ctx, a.Addr().String()); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("%v, want EADDRINUSE", err)
	}
	got := make(chan error)
	go func() {
		c, err := Listen(t.Context(), a.Addr().String())
		if err == nil {
			c.Close()
		}
		got <- err
	}()
	a.Close()
	if err := <-got; err != nil {
		t.Error(err)
	}
}

// Invalid and duplicate addresses are errors.
func TestInvalidAddresses(t *testing.T) {
	if _, err := Listen(t.Context(), "nowhere"); err == nil {
		t.Error("no error for an invalid address to listen on")
	}
	a := listen(t)
	for _, all := range [][]string{{"127.0.0.1"}, {"127.0.0.1:1", "127.0.0.1:1"}} {
		if err := a.SetPeers(all); err == nil {
			t.Errorf("no error for %q", all)
		}
	}
}
