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
	quietTime = 60 * time.Millisecond // in which nothing may be received
	timeout   = 10 * time.Second
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
	reader *bufio.Reader
}

func newRelay(t *testing.T, forward, backward []*Bucket) (*Relay, *caller) {
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

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text+"\n"); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) expect(want string) {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	if got, err := c.reader.ReadString('\n'); err != nil || got != want+"\n" {
		c.t.Fatalf("received %q, %v; want %q", got, err, want)
	}
}

func (c *caller) expectNothing() {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(quietTime))
	if got, err := c.reader.ReadString('\n'); err == nil || got != "" {
		c.t.Fatalf("received %q through a partition", got)
	}
}

// expectBroken waits for the end of the connection.
func (c *caller) expectBroken() {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	got, err := c.reader.ReadString('\n')
	var netErr net.Error
	if got != "" || err == nil || errors.As(err, &netErr) && netErr.Timeout() {
		c.t.Fatalf("received %q, %v; want a broken connection", got, err)
	}
}

func TestRelayBothDirections(t *testing.T) {
	_, c := newRelay(t, nil, nil)
	for _, text := range []string{"one", "two", "three"} {
		c.send(text)
		c.expect(text)
	}
}

func TestBlockedBytesAreDeliveredLater(t *testing.T) {
	for name, d := range map[string]Direction{"forward": Forward, "backward": Backward} {
		t.Run(name, func(t *testing.T) {
			r, c := newRelay(t, nil, nil)
			c.send("before")
			c.expect("before")
			r.Hold(d)
			c.send("blocked")
			c.expectNothing()
			r.Release(d)
			c.expect("blocked")
		})
	}
}

func TestOneDirectionIsBlocked(t *testing.T) {
	received := make(chan string, 1)
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
		received <- text
		_, _ = io.WriteString(c, "answer\n")
	}()
	r, err := New(l.Addr().String(), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c := dial(t, r)
	r.Hold(Backward)
	c.send("question")
	if got := <-received; got != "question\n" {
		t.Fatal(got)
	}
	c.expectNothing()
	r.Release(Backward)
	c.expect("answer")
}

func TestConnectionMadeDuringPartition(t *testing.T) {
	r, _ := newRelay(t, nil, nil)
	r.Hold(Forward)
	c := dial(t, r)
	c.send("hello")
	c.expectNothing()
	r.Release(Forward)
	c.expect("hello")
}

func TestResetDropsBlockedBytes(t *testing.T) {
	r, c := newRelay(t, nil, nil)
	c.send("before")
	c.expect("before") // so that the relay has accepted the connection
	r.Hold(Forward)
	c.send("blocked")
	r.Reset()
	c.expectBroken()
	r.Release(Forward)
	after := dial(t, r)
	after.send("after")
	after.expect("after")
}

func TestRefuseAffectsNewConnectionsOnly(t *testing.T) {
	r, c := newRelay(t, nil, nil)
	c.send("before")
	c.expect("before")
	r.Refuse(true)
	if err := resetAtOnce(func() (net.Conn, error) { return net.Dial("tcp4", r.Addr()) }, timeout); err != nil {
		t.Fatal(err)
	}
	c.send("still open")
	c.expect("still open")
	r.Refuse(false)
	after := dial(t, r)
	after.send("after")
	after.expect("after")
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
		return fmt.Errorf("read %d bytes, %v; want a reset", count, err) //nolint:errorlint // it may be nil
	}
	return nil
}

// resetAtOnce accepts a reset during the dial and one after it, and nothing else.
func TestResetAtOnceAcceptsResetsOnly(t *testing.T) {
	failed := func(cause error) func() (net.Conn, error) {
		return func() (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: cause}
		}
	}
	accepted := func(then func(peer *net.TCPConn)) func() (net.Conn, error) {
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
			peer, err := listener.Accept()
			if err != nil {
				connection.Close()
				return nil, err
			}
			t.Cleanup(func() { peer.Close() })
			then(peer.(*net.TCPConn))
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
		{"dial timed out", failed(os.ErrDeadlineExceeded), false},
		{"reset after the dial", accepted(func(peer *net.TCPConn) { _ = peer.SetLinger(0); peer.Close() }), true},
		{"closed in order", accepted(func(peer *net.TCPConn) { peer.Close() }), false},
		{"bytes before a reset", accepted(func(peer *net.TCPConn) { _, _ = peer.Write([]byte("x")) }), false},
		{"left open", accepted(func(*net.TCPConn) {}), false},
	} {
		t.Run(one.name, func(t *testing.T) {
			if err := resetAtOnce(one.dial, quietTime); (err == nil) != one.want {
				t.Errorf("counts as a reset: %v, want %v (%v)", err == nil, one.want, err)
			}
		})
	}
}

func TestBucketLimitsRate(t *testing.T) {
	const size, rate = 100 << 10, 400 << 10
	link, other := NewBucket(rate), NewBucket(rate)
	r, c := newRelay(t, []*Bucket{link, other}, nil)
	began := time.Now()
	go func() { _, _ = c.Write(make([]byte, size)) }()
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	if _, err := io.CopyN(io.Discard, c.reader, size); err != nil {
		t.Fatal(err)
	}
	if took, least := time.Since(began), time.Duration(size-chunkBytes)*time.Second/rate; took < least {
		t.Errorf("%d bytes took %v, at least %v at this rate", size, took, least)
	}
	link.SetRate(0)
	other.SetRate(0)
	after := dial(t, r)
	after.send("free")
	after.expect("free")
}

func TestBucketsOfOnePathDoNotAddUp(t *testing.T) {
	const rate, n = 1 << 20, 1 << 19
	a, b := NewBucket(rate), NewBucket(rate)
	now := time.Now()
	for k := range 4 {
		want := now.Add(time.Duration(k+1) * time.Second / 2)
		for _, bucket := range []*Bucket{a, b} {
			if got := bucket.reserve(now, n); !got.Equal(want) {
				t.Errorf("chunk %d has passed at %v, want %v", k, got.Sub(now), want.Sub(now))
			}
		}
	}
}
