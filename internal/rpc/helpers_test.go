package rpc

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	echo Method = iota + 1
	refuse
	wait
	note
	read
	nothing
	large
)

type line struct {
	N    int
	Text string
}

// testContext returns a context that ends a test that hangs; it lasts far longer than any test needs.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// listen returns a listener that is closed with the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// serve starts a server with handlers and returns it with a client. Both are closed with the test.
func serve(t *testing.T, handlers map[Method]Handler) (*Server, *Client) {
	t.Helper()
	s, l := NewServer(handlers), listen(t)
	c := NewClient(l.Addr().String())
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(l) })
	t.Cleanup(func() { c.Close(); s.Close(); serving.Wait() })
	return s, c
}

// echoHandler responds with the line that it is called with.
func echoHandler(_ context.Context, body []byte) (any, error) {
	var l line
	err := Decode(body, &l)
	return l, err
}

// serveRaw takes one connection, reads one frame and passes the connection and the frame's number to then. The returned
// channel is closed once then has returned.
func serveRaw(t *testing.T, l net.Listener, then func(c net.Conn, number uint64)) <-chan struct{} {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-done })
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		f, err := readFrame(bufio.NewReader(c))
		if err != nil {
			t.Error(err)
		}
		then(c, f.number)
	}()
	return done
}

// wantErrorClass fails the test unless an error is of one class only and its text has a part.
func wantErrorClass(t *testing.T, err, class error, text string) {
	t.Helper()
	for _, other := range []error{ErrUnsent, ErrLost, ErrRemote} {
		if errors.Is(err, other) != (other == class) { //nolint:errorlint // which of the classes it is, no error of a call
			t.Fatalf("%v, want of class %q only", err, class)
		}
	}
	if err == nil || !strings.Contains(err.Error(), text) {
		t.Fatalf("%v, want it to say %q", err, text)
	}
}
