package rpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestClientsUseDialFunc(t *testing.T) {
	_, c := serve(t, map[Method]Handler{echo: func(context.Context, []byte) (any, error) {
		return &struct{ Text string }{"here"}, nil
	}})
	asked := ""
	clients := Clients{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		asked = addr
		return dialTCP(ctx, c.addr)
	}}
	defer clients.Close()
	var response struct{ Text string }
	err := clients.To("127.9.9.9:1").Call(t.Context(), echo, &struct{ Text string }{"q"}, &response)
	if err != nil || response.Text != "here" {
		t.Fatal(response, err)
	}
	if asked != "127.9.9.9:1" {
		t.Errorf("dialled for %q", asked)
	}
}

func TestDialTimeout(t *testing.T) {
	clients := Clients{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	defer clients.Close()
	err := clients.To("127.9.9.9:1").Call(context.Background(), echo, &struct{ Unused bool }{}, nil)
	if !errors.Is(err, ErrUnsent) {
		t.Fatal(err)
	}
}

// The opening packet to a machine without power is lost: a dial that hangs does not keep the machine, once it is back, from being
// reached by the next.
func TestHangingDialIsOvertaken(t *testing.T) {
	_, c := serve(t, map[Method]Handler{echo: func(context.Context, []byte) (any, error) { return &struct{ Text string }{"here"}, nil }})
	var dials atomic.Int32
	clients := Clients{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if dials.Add(1) <= 2 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dialTCP(ctx, c.addr)
	}}
	defer clients.Close()
	var response struct{ Text string }
	began := time.Now()
	if err := clients.To("127.9.9.9:1").Call(t.Context(), echo, &struct{ Text string }{"q"}, &response); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); dials.Load() != 3 || took < 2*redialInterval {
		t.Errorf("%d dials, %v", dials.Load(), took)
	}
}

// closeCounter is a connection that counts how often connections of its kind were closed.
type closeCounter struct {
	net.Conn
	closed *atomic.Int32
}

func (c closeCounter) Close() error { c.closed.Add(1); return nil }

// Of dials that succeed at the same time one connection stays open.
func TestOverlappingDialsKeepOneConnection(t *testing.T) {
	var closed atomic.Int32
	release := make(chan struct{})
	var dials atomic.Int32
	dial := func(context.Context, string) (net.Conn, error) {
		if dials.Add(1) == 3 {
			close(release)
		}
		<-release
		return closeCounter{closed: &closed}, nil
	}
	reachable := make(chan struct{}, 2)
	reachable <- struct{}{}
	reachable <- struct{}{}
	conn, err := dialOverlapping(t.Context(), dial, "x", time.Hour, reachable)
	if conn == nil || err != nil || dials.Load() != 3 || closed.Load() != 2 {
		t.Errorf("%v, %v: %d dials, %d closed", conn, err, dials.Load(), closed.Load())
	}
}

// A dial that is refused ends at once, and so does one whose context ends.
func TestRefusedDialIsNotRepeated(t *testing.T) {
	var dials atomic.Int32
	refused := errors.New("refused")
	dial := func(context.Context, string) (net.Conn, error) { dials.Add(1); return nil, refused }
	if _, err := dialOverlapping(t.Context(), dial, "x", redialInterval, nil); !errors.Is(err, refused) || dials.Load() != 1 {
		t.Errorf("%v after %d dials", err, dials.Load())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	hang := func(ctx context.Context, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	if _, err := dialOverlapping(ctx, hang, "x", redialInterval, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("%v", err)
	}
}

// A machine that was heard from is dialled again at once, while a dial to it from before it had power hangs.
func TestReachableAddressIsRedialledAtOnce(t *testing.T) {
	_, c := serve(t, map[Method]Handler{echo: func(context.Context, []byte) (any, error) { return &struct{ Text string }{"here"}, nil }})
	var dials atomic.Int32
	hanging := make(chan struct{})
	client := newClient("127.9.9.9:1", func(ctx context.Context, addr string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			close(hanging)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dialTCP(ctx, c.addr)
	})
	client.redialInterval = time.Hour
	defer client.Close()
	done := make(chan error, 1)
	go func() {
		var response struct{ Text string }
		done <- client.Call(t.Context(), echo, &struct{ Text string }{"q"}, &response)
	}()
	<-hanging
	client.NoteReachable()
	if err := <-done; err != nil || dials.Load() != 2 {
		t.Errorf("%v after %d dials", err, dials.Load())
	}
}

// Without a dial under way there is nothing to repeat, and a note from before a dial does not make it twice.
func TestNoteReachableWithoutDial(t *testing.T) {
	var dials atomic.Int32
	client := newClient("127.9.9.9:1", func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		return nil, errors.New("refused")
	})
	defer client.Close()
	client.NoteReachable()
	client.reachable <- struct{}{} // of a dial that ended before it was taken
	if err := client.Call(t.Context(), echo, &struct{ Text string }{"q"}, nil); !errors.Is(err, ErrUnsent) || dials.Load() != 1 {
		t.Errorf("%v after %d dials", err, dials.Load())
	}
	if len(client.reachable) != 0 {
		t.Error("the note is kept")
	}
}

// A machine that stays without power is not dialled without bound.
func TestOverlappingDialsAreBounded(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var dials atomic.Int32
	hang := func(ctx context.Context, _ string) (net.Conn, error) {
		dials.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reachable := make(chan struct{})
	go func() {
		for range 3 * maxOverlappingDials {
			reachable <- struct{}{}
		}
		cancel()
	}()
	if _, err := dialOverlapping(ctx, hang, "x", time.Hour, reachable); err == nil || dials.Load() != maxOverlappingDials {
		t.Errorf("%v after %d dials", err, dials.Load())
	}
}
