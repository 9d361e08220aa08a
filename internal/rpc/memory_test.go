package rpc

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/membudget"
)

// serveWith is serve for a server that configure changes before it serves. At the end the server must hold nothing.
func serveWith(t *testing.T, handlers map[Method]Handler, configure func(s *Server)) (s *Server, addr string) {
	t.Helper()
	s = NewServer(handlers)
	configure(s)
	l := listen(t)
	var serving sync.WaitGroup
	serving.Go(func() { s.Serve(l) })
	t.Cleanup(func() {
		s.Close()
		serving.Wait()
		if usage := s.Memory.Usage(); usage.Used != 0 || usage.Accounts != 0 {
			t.Errorf("at the end %+v is held", usage)
		}
	})
	return s, l.Addr().String()
}

// dial opens a connection that is closed with the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// sendPart sends the header of a call with a body of so many bytes, and the first of them.
func sendPart(c net.Conn, length, sent int) {
	header := frame{kindCall, echo, 1, nil}.encode()
	binary.BigEndian.PutUint32(header, uint32(headerSize-lengthSize+length))
	_, _ = c.Write(append(header, make([]byte, sent)...))
}

// awaitUsed waits until so many bytes are held, at least.
func awaitUsed(t *testing.T, s *Server, bytes int64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); s.Memory.Usage().Used < bytes; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%+v is held", s.Memory.Usage())
		}
	}
}

// A call whose long body has stalled gives way to another one, and its connection is closed; what is announced only is not held.
func TestStalledCallGivesWay(t *testing.T) {
	limited := func(s *Server) { s.Memory = membudget.New(membudget.Options{Limit: 400 << 10}) }
	s, addr := serveWith(t, map[Method]Handler{echo: echoHandler}, limited)
	announced := dial(t, addr)
	sendPart(announced, MaxFrame, 1)
	stalled := dial(t, addr)
	sendPart(stalled, 300<<10, 300<<10-1)
	awaitUsed(t, s, 300<<10)
	c := NewClient(addr)
	defer c.Close()
	want := line{1, strings.Repeat("x", 200<<10)}
	var got line
	if err := c.Call(testContext(t), echo, want, &got); err != nil || got != want {
		t.Fatalf("%v, %d bytes", err, len(got.Text))
	}
	if _, err := stalled.Read(make([]byte, 1)); err == nil {
		t.Error("the stalled call got a response")
	}
}

// While all memory is held by calls that are handled, a further one waits for it.
func TestLongCallWaitsForMemory(t *testing.T) {
	release := make(chan struct{})
	handled := make(chan struct{}, 2)
	handlers := map[Method]Handler{wait: func(context.Context, []byte) (any, error) {
		handled <- struct{}{}
		<-release
		return nil, nil
	}}
	_, addr := serveWith(t, handlers, func(s *Server) {
		s.Memory, s.BodyCost = membudget.New(membudget.Options{Limit: 400 << 10}), 3
	})
	text := line{1, strings.Repeat("x", 100<<10)}
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			c := NewClient(addr)
			defer c.Close()
			if err := c.Call(testContext(t), wait, text, nil); err != nil {
				t.Error(err)
			}
		})
	}
	<-handled
	time.AfterFunc(20*time.Millisecond, func() { close(release) })
	calls.Wait()
}

// What a handler draws is held until its response is written; a draw beyond the memory fails.
func TestHandlerDrawsMemory(t *testing.T) {
	var s *Server
	handlers := map[Method]Handler{
		echo: func(ctx context.Context, _ []byte) (any, error) {
			if err := Draw(ctx, 1000); err != nil {
				return nil, err
			}
			if used := s.Memory.Usage().Used; used != 1000 {
				t.Errorf("%d bytes are held", used)
			}
			return nil, nil
		},
		refuse: func(ctx context.Context, _ []byte) (any, error) { return nil, Draw(ctx, 2000) },
	}
	s, addr := serveWith(t, handlers, func(s *Server) { s.Memory = membudget.New(membudget.Options{Limit: 1500}) })
	c := NewClient(addr)
	defer c.Close()
	if err := c.Call(testContext(t), echo, nil, nil); err != nil {
		t.Error(err)
	}
	wantErrorClass(t, c.Call(testContext(t), refuse, nil, nil), ErrRemote, "memory")
	_ = s
}

// The connection on which no frame has come for the longest time gives way to a new one; its caller connects again.
func TestSilentConnectionGivesWay(t *testing.T) {
	_, addr := serveWith(t, map[Method]Handler{echo: echoHandler}, func(s *Server) { s.MaxConns = 2 })
	c := NewClient(addr)
	defer c.Close()
	silent := dial(t, addr)
	call := func() {
		t.Helper()
		var got line
		if err := c.Call(testContext(t), echo, line{N: 1}, &got); err != nil || got.N != 1 {
			t.Fatalf("%v, %+v", err, got)
		}
	}
	for range 3 {
		call()
		next := dial(t, addr)
		if _, err := silent.Read(make([]byte, 1)); err == nil {
			t.Error("the silent connection got a response")
		}
		silent = next
	}
	call()
}
