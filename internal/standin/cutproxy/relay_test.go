package cutproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	silence  = 60 * time.Millisecond // in which nothing may come
	patience = 10 * time.Second
)

// echo answers each line with the same line.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

type caller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func relayed(t *testing.T, forward, backward []*Bucket) (*Relay, *caller) {
	t.Helper()
	r, err := New(echo(t), forward, backward)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, dial(t, r)
}

func dial(t *testing.T, r *Relay) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &caller{t, c, bufio.NewReader(c)}
}

func (c *caller) say(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text+"\n"); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) hears(want string) {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	if got, err := c.r.ReadString('\n'); err != nil || got != want+"\n" {
		c.t.Fatalf("heard %q, %v; wanted %q", got, err, want)
	}
}

func (c *caller) hearsNothing() {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(silence))
	if got, err := c.r.ReadString('\n'); err == nil || got != "" {
		c.t.Fatalf("heard %q through a cut", got)
	}
}

// broken waits for the end of the connection.
func (c *caller) broken() {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	got, err := c.r.ReadString('\n')
	var timeout net.Error
	if got != "" || err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		c.t.Fatalf("heard %q, %v; wanted the connection to break", got, err)
	}
}

func TestRelayPassesBytesBothWays(t *testing.T) {
	_, c := relayed(t, nil, nil)
	for _, text := range []string{"one", "two", "three"} {
		c.say(text)
		c.hears(text)
	}
}

func TestRelayHoldsEachDirectionAndDeliversLater(t *testing.T) {
	for name, d := range map[string]Direction{"to the address": Forward, "from the address": Backward} {
		t.Run(name, func(t *testing.T) {
			r, c := relayed(t, nil, nil)
			c.say("before")
			c.hears("before")
			r.Hold(d)
			c.say("held")
			c.hearsNothing()
			r.Release(d)
			c.hears("held")
		})
	}
}

func TestRelayHoldsOneDirectionAlone(t *testing.T) {
	heard := make(chan string, 1)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		text, _ := bufio.NewReader(c).ReadString('\n')
		heard <- text
		_, _ = io.WriteString(c, "answer\n")
	}()
	r, err := New(l.Addr().String(), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c := dial(t, r)
	r.Hold(Backward)
	c.say("question")
	if got := <-heard; got != "question\n" {
		t.Fatal(got)
	}
	c.hearsNothing()
	r.Release(Backward)
	c.hears("answer")
}

func TestConnectionMadeDuringACutCarriesOnLater(t *testing.T) {
	r, _ := relayed(t, nil, nil)
	r.Hold(Forward)
	c := dial(t, r)
	c.say("hello")
	c.hearsNothing()
	r.Release(Forward)
	c.hears("hello")
}

func TestResetLosesWhatWasHeld(t *testing.T) {
	r, c := relayed(t, nil, nil)
	c.say("before")
	c.hears("before") // so that the relay has taken the connection
	r.Hold(Forward)
	c.say("held")
	r.Reset()
	c.broken()
	r.Release(Forward)
	after := dial(t, r)
	after.say("after")
	after.hears("after")
}

func TestRelayRefusesNewConnectionsAlone(t *testing.T) {
	r, c := relayed(t, nil, nil)
	c.say("before")
	c.hears("before")
	r.Refuse(true)
	if err := resetAtOnce(func() (net.Conn, error) { return net.Dial("tcp4", r.Addr()) }, patience); err != nil {
		t.Fatal(err)
	}
	c.say("kept")
	c.hears("kept")
	r.Refuse(false)
	after := dial(t, r)
	after.say("after")
	after.hears("after")
}

// resetAtOnce dials, and returns nil only if the other end resets the connection: while it is being made, which the dial
// reports when the reset comes before it has returned, or at once after it.
func resetAtOnce(dial func() (net.Conn, error), limit time.Duration) error {
	connection, err := dial()
	if errors.Is(err, syscall.ECONNRESET) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("the dial failed, but not by a reset: %w", err)
	}
	defer connection.Close()
	_ = connection.SetReadDeadline(time.Now().Add(limit))
	count, err := connection.Read(make([]byte, 1))
	if count != 0 || !errors.Is(err, syscall.ECONNRESET) {
		return fmt.Errorf("read %d bytes, %v; wanted a reset", count, err) //nolint:errorlint // it may be nil
	}
	return nil
}

// The judgement of a reset takes one during the dial and one after it, and nothing else.
func TestResetAtOnceTakesResetsAlone(t *testing.T) {
	failed := func(cause error) func() (net.Conn, error) {
		return func() (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: cause}
		}
	}
	accepted := func(treat func(taken *net.TCPConn)) func() (net.Conn, error) {
		return func() (net.Conn, error) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			defer listener.Close()
			connection, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				return nil, err
			}
			taken, err := listener.Accept()
			if err != nil {
				connection.Close()
				return nil, err
			}
			t.Cleanup(func() { taken.Close() })
			treat(taken.(*net.TCPConn))
			return connection, nil
		}
	}
	for _, one := range []struct {
		name string
		dial func() (net.Conn, error)
		want bool
	}{
		{"reset during the dial", failed(os.NewSyscallError("connect", syscall.ECONNRESET)), true},
		{"refused dial", failed(os.NewSyscallError("connect", syscall.ECONNREFUSED)), false},
		{"dial out of time", failed(os.ErrDeadlineExceeded), false},
		{"reset after the dial", accepted(func(taken *net.TCPConn) { _ = taken.SetLinger(0); taken.Close() }), true},
		{"closed in order", accepted(func(taken *net.TCPConn) { taken.Close() }), false},
		{"bytes before a reset", accepted(func(taken *net.TCPConn) { _, _ = taken.Write([]byte("x")) }), false},
		{"left open", accepted(func(*net.TCPConn) {}), false},
	} {
		t.Run(one.name, func(t *testing.T) {
			if err := resetAtOnce(one.dial, silence); (err == nil) != one.want {
				t.Errorf("taken as a reset: %v, wanted %v (%v)", err == nil, one.want, err)
			}
		})
	}
}

func TestBucketHoldsConnectionsToItsRate(t *testing.T) {
	const size, rate = 100 << 10, 400 << 10
	link, other := NewBucket(rate), NewBucket(rate)
	r, c := relayed(t, []*Bucket{link, other}, nil)
	began := time.Now()
	go func() { _, _ = c.Write(make([]byte, size)) }()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	if _, err := io.CopyN(io.Discard, c.r, size); err != nil {
		t.Fatal(err)
	}
	if took, least := time.Since(began), time.Duration(size-chunk)*time.Second/rate; took < least {
		t.Errorf("%d bytes took %v, at least %v at this rate", size, took, least)
	}
	link.SetRate(0)
	other.SetRate(0)
	after := dial(t, r)
	after.say("free")
	after.hears("free")
}

func TestBucketsOfOneWayPassBytesAtOneTime(t *testing.T) {
	const rate, n = 1 << 20, 1 << 19
	a, b := NewBucket(rate), NewBucket(rate)
	now := time.Now()
	for k := range 4 {
		want := now.Add(time.Duration(k+1) * time.Second / 2)
		for _, one := range []*Bucket{a, b} {
			if got := one.reserve(now, n); !got.Equal(want) {
				t.Errorf("piece %d has passed at %v, wanted %v", k, got.Sub(now), want.Sub(now))
			}
		}
	}
}
