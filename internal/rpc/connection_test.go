package rpc

import (
	"bufio"
	"context"
	"net"
	"runtime"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/reservedport"
)

func TestServerClosesConnection(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	defer c.Close()
	ctx := testContext(t)
	done := serveRaw(t, l, func(nc net.Conn, _ uint64) { nc.Close() })
	wantErrorClass(t, c.Call(ctx, echo, line{}, nil), ErrLost, "EOF")
	<-done
	s := NewServer(map[Method]Handler{echo: echoHandler}) // another one at the same address
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(l) })
	var got line
	if err := c.Call(ctx, echo, line{N: 4}, &got); err != nil || got.N != 4 {
		t.Fatal(got, err)
	}
	s.Close()
	serving.Wait()
}

func TestServerDoesNotRespond(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	ctx, cancel := context.WithCancel(testContext(t))
	serveRaw(t, l, func(nc net.Conn, number uint64) {
		cancel()
		if _, err := readFrame(bufio.NewReader(nc)); err != nil { // the next call
			t.Error(err)
		}
		_, _ = nc.Write(frame{kindResponse, echo, number, nil}.encode()) // its caller does not wait any more
		_, _ = nc.Write(frame{kindResponse, echo, number + 1, Encode(line{N: 5})}.encode())
		_, _ = readFrame(bufio.NewReader(nc))
		nc.Close()
	})
	err := c.Call(ctx, echo, line{}, new(line))
	wantErrorClass(t, err, ErrLost, "canceled")
	if !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	var got line
	if err := c.Call(testContext(t), echo, line{}, &got); err != nil || got.N != 5 {
		t.Fatal(got, err)
	}
	c.Close()
}

func TestServerDoesNotRead(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	ctx := testContext(t)
	blocked := make(chan error, 1)
	go func() { blocked <- c.Call(ctx, echo, struct{ B []byte }{make([]byte, MaxFrame/2)}, nil) }()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := nc.Read(make([]byte, 1)); err != nil { // the client is in its write
		t.Fatal(err)
	}
	short, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- c.Call(short, echo, line{}, nil) }()
	for n := 0; n == 0 && ctx.Err() == nil; { // until the second call is registered
		c.mu.Lock()
		c.conn.mu.Lock()
		if len(c.conn.pending) == 2 {
			n = 2
		}
		c.conn.mu.Unlock()
		c.mu.Unlock()
		runtime.Gosched()
	}
	cancel()
	wantErrorClass(t, <-done, ErrUnsent, "canceled")
	select {
	case err := <-blocked:
		t.Fatal("the first call ended with the second:", err)
	default:
	}
	c.Close()
	wantErrorClass(t, <-blocked, ErrLost, "")
}

func TestConnectionRefused(t *testing.T) {
	port, err := reservedport.Reserve() // nothing listens there, and nothing will
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	c := NewClient(port.Addr())
	defer c.Close()
	for range 3 { // refused by the kernel, or within redialBackoff after that
		wantErrorClass(t, c.Call(testContext(t), echo, line{}, nil), ErrUnsent, "")
		wantErrorClass(t, c.Notify(testContext(t), echo, line{}), ErrUnsent, "")
	}
}

func TestClientClose(t *testing.T) {
	entered := make(chan struct{})
	ended := make(chan struct{})
	_, c := serve(t, map[Method]Handler{wait: func(ctx context.Context, _ []byte) (any, error) {
		close(entered)
		<-ctx.Done() // ends with the connection
		close(ended)
		return nil, ctx.Err()
	}})
	done := make(chan error, 1)
	go func() { done <- c.Call(testContext(t), wait, nil, nil) }()
	<-entered
	c.Close()
	wantErrorClass(t, <-done, ErrLost, "")
	<-ended
	wantErrorClass(t, c.Call(testContext(t), echo, line{}, nil), ErrUnsent, "closed")
	wantErrorClass(t, c.Notify(testContext(t), echo, line{}), ErrUnsent, "closed")
}

func TestServerCloseWaitsForHandlers(t *testing.T) {
	entered := make(chan struct{})
	ended := false
	s, c := serve(t, map[Method]Handler{wait: func(ctx context.Context, _ []byte) (any, error) {
		close(entered)
		<-ctx.Done()
		ended = true
		return nil, nil
	}})
	done := make(chan error, 1)
	go func() { done <- c.Call(testContext(t), wait, nil, nil) }()
	<-entered
	s.Close()
	if !ended {
		t.Fatal("Close returned before the handler ended")
	}
	wantErrorClass(t, <-done, ErrLost, "")
	l := listen(t)
	s.Serve(l) // returns at once
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Fatal("a closed server left its listener open:", err)
	}
}

// failingListener fails to accept at first, as a listener does while the process has no descriptors left.
type failingListener struct {
	net.Listener
	fails int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.fails--; l.fails >= 0 {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

func TestAcceptRetriesAfterError(t *testing.T) {
	l := listen(t)
	s := NewServer(map[Method]Handler{echo: echoHandler})
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(&failingListener{l, 3}) })
	c := NewClient(l.Addr().String())
	if err := c.Call(testContext(t), echo, line{}, new(line)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	l.Close() // by its owner, not the server
	serving.Wait()
	s.Close()
}

func TestCloseUnderLoad(t *testing.T) {
	for range 20 {
		s, c := serve(t, map[Method]Handler{echo: echoHandler, note: echoHandler})
		ctx := testContext(t)
		var all sync.WaitGroup
		answered := make(chan struct{}, 1)
		for g := range 8 {
			all.Go(func() {
				for i := 0; ; i++ {
					_ = c.Notify(ctx, note, line{i, ""})
					var got line
					err := c.Call(ctx, echo, line{i, ""}, &got)
					if err != nil {
						if !errors.Is(err, ErrLost) && !errors.Is(err, ErrUnsent) {
							t.Error(err)
						}
						return
					}
					if got.N != i {
						t.Errorf("goroutine %d: call %d got response %d", g, i, got.N)
					}
					select {
					case answered <- struct{}{}:
					default:
					}
				}
			})
		}
		<-answered
		s.Close()
		c.Close()
		all.Wait()
	}
}
