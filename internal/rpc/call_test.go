package rpc

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestCallOutcomes(t *testing.T) {
	_, c := serve(t, map[Method]Handler{
		echo:    echoHandler,
		refuse:  func(context.Context, []byte) (any, error) { return nil, errors.New("not today: come tomorrow") },
		nothing: func(context.Context, []byte) (any, error) { return nil, nil },
		large:   func(context.Context, []byte) (any, error) { return struct{ B []byte }{make([]byte, MaxFrame)}, nil },
	})
	ctx := testContext(t)
	for i := range 3 {
		var got line
		if err := c.Call(ctx, echo, &line{i, "ü"}, &got); err != nil || got != (line{i, "ü"}) {
			t.Fatal(got, err)
		}
	}
	wantErrorClass(t, c.Call(ctx, refuse, line{}, new(line)), ErrRemote, "not today: come tomorrow")
	wantErrorClass(t, c.Call(ctx, Method(200), line{}, nil), ErrRemote, "unknown call")
	if err := c.Call(ctx, Method(200), line{}, nil); !errors.Is(err, ErrUnknownMethod) {
		t.Errorf("a call of an unknown method ends in %v, want ErrUnknownMethod", err)
	}
	if err := c.Call(ctx, refuse, line{}, new(line)); errors.Is(err, ErrUnknownMethod) {
		t.Errorf("a call that its handler refuses ends in ErrUnknownMethod: %v", err)
	}
	if err := c.Call(ctx, nothing, nil, nil); err != nil {
		t.Fatal(err)
	}
	wantErrorClass(t, c.Call(ctx, nothing, nil, new(line)), ErrLost, "version")
	wantErrorClass(t, c.Call(ctx, echo, nil, new(line)), ErrRemote, "version")
	wantErrorClass(t, c.Call(ctx, large, nil, nil), ErrRemote, "ask for less")
	wantErrorClass(t, c.Call(ctx, echo, struct{ B []byte }{make([]byte, MaxFrame)}, nil), ErrUnsent, "send at most")
	wantErrorClass(t, c.Notify(ctx, echo, struct{ B []byte }{make([]byte, MaxFrame)}), ErrUnsent, "send at most")
	if err := c.Call(ctx, echo, line{7, ""}, new(line)); err != nil {
		t.Fatal("after calls that failed:", err)
	}
}

func TestResponsesOutOfOrder(t *testing.T) {
	first, entered := make(chan struct{}), make(chan struct{})
	_, c := serve(t, map[Method]Handler{echo: echoHandler, wait: func(ctx context.Context, body []byte) (any, error) {
		close(entered)
		<-first
		return echoHandler(ctx, body)
	}})
	ctx := testContext(t)
	done := make(chan error, 1)
	var slow, quick line
	go func() { done <- c.Call(ctx, wait, line{1, "slow"}, &slow) }()
	<-entered
	if err := c.Call(ctx, echo, line{2, "quick"}, &quick); err != nil || quick.N != 2 {
		t.Fatal(quick, err)
	}
	close(first)
	if err := <-done; err != nil || slow.N != 1 {
		t.Fatal(slow, err)
	}
}

func TestConcurrentCallsShareOneConnection(t *testing.T) {
	var conns atomic.Int32
	s, l := NewServer(map[Method]Handler{echo: echoHandler}), listen(t)
	counted := countingListener{l, &conns}
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(counted) })
	c := NewClient(l.Addr().String())
	ctx := testContext(t)
	var all sync.WaitGroup
	for g := range 16 {
		all.Go(func() {
			for i := range 50 {
				want := line{g*1000 + i, strings.Repeat("x", i*i)}
				var got line
				if err := c.Call(ctx, echo, want, &got); err != nil || got != want {
					t.Errorf("call %d got response %d: %v", want.N, got.N, err)
				}
			}
		})
	}
	all.Wait()
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections were made", n)
	}
	c.Close()
	s.Close()
	serving.Wait()
}

// countingListener counts connections.
type countingListener struct {
	net.Listener
	n *atomic.Int32
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.n.Add(1)
	}
	return c, err
}

func TestNotificationsKeepTheirOrder(t *testing.T) {
	var received []int
	_, c := serve(t, map[Method]Handler{
		note: func(_ context.Context, body []byte) (any, error) {
			var l line
			err := Decode(body, &l)
			received = append(received, l.N)
			return l, err // dropped
		},
		read: func(context.Context, []byte) (any, error) { return line{len(received), fmt.Sprint(received)}, nil },
	})
	ctx := testContext(t)
	var want []int
	for i := range 300 {
		want = append(want, i)
		if err := c.Notify(ctx, note, line{i, ""}); err != nil {
			t.Fatal(err)
		}
		if err := c.Notify(ctx, Method(200), line{}); err != nil { // has no handler
			t.Fatal(err)
		}
	}
	var got line
	if err := c.Call(ctx, read, nil, &got); err != nil || got.Text != fmt.Sprint(want) {
		t.Fatal(got, err)
	}
}

func TestCallWithEndedContextIsNotSent(t *testing.T) {
	var handled atomic.Int32
	_, c := serve(t, map[Method]Handler{echo: func(ctx context.Context, body []byte) (any, error) {
		handled.Add(1)
		return echoHandler(ctx, body)
	}})
	over, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		wantErrorClass(t, c.Call(over, echo, line{}, nil), ErrUnsent, "canceled")
		wantErrorClass(t, c.Notify(over, echo, line{}), ErrUnsent, "canceled")
	}
	if err := c.Call(testContext(t), echo, line{}, new(line)); err != nil || handled.Load() != 1 {
		t.Fatal(handled.Load(), err)
	}
}

func TestClientsKeepOneClientPerAddress(t *testing.T) {
	_, c := serve(t, map[Method]Handler{echo: echoHandler})
	var all Clients
	one := all.To(c.addr)
	if all.To(c.addr) != one || all.To("127.0.0.1:1") == one {
		t.Fatal("not one client for each address")
	}
	if err := one.Call(testContext(t), echo, line{}, new(line)); err != nil {
		t.Fatal(err)
	}
	all.Close()
	wantErrorClass(t, one.Call(testContext(t), echo, line{}, nil), ErrUnsent, "closed")
	wantErrorClass(t, all.To("127.0.0.1:2").Call(testContext(t), echo, line{}, nil), ErrUnsent, "closed")
}
