package rpc

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// acceptCall takes one connection and returns it with its reader and the number of its first call.
func acceptCall(t *testing.T, l net.Listener) (net.Conn, *bufio.Reader, uint64) {
	t.Helper()
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(nc)
	f, err := readFrame(in)
	if err != nil {
		t.Fatal(err)
	}
	return nc, in, f.number
}

// startCall makes a call in another goroutine. The channel gets the response as text, or "error".
func startCall(ctx context.Context, c *Client) <-chan string {
	end := make(chan string, 1)
	go func() {
		var a line
		if err := c.Call(ctx, echo, line{}, &a); err != nil {
			end <- "error"
			return
		}
		end <- fmt.Sprint(a.N, a.Text)
	}()
	return end
}

// Numbers of calls start at 1 with each connection, so calls on two connections have the same number. A response on an
// earlier connection, from the same incarnation of the server or a former one, is not taken for that of the later call.
func TestResponseOnEarlierConnectionIsIgnored(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	defer c.Close()
	first := startCall(testContext(t), c)
	old, _, number := acceptCall(t, l)
	lost := frame{kindCall, echo, 1, nil}.encode()
	copy(lost, []byte{0, 0, 0, 1}) // an impossible length: the client closes the connection
	_, _ = old.Write(lost)
	if got := <-first; got != "error" {
		t.Fatalf("the call on the connection that was lost ends in %q", got)
	}
	second := startCall(testContext(t), c)
	fresh, _, again := acceptCall(t, l)
	if again != number {
		t.Fatalf("the numbers are %d and %d: the test is about the same one", number, again)
	}
	_, _ = old.Write(frame{kindResponse, echo, number, Encode(line{1, "of the earlier connection"})}.encode())
	_, _ = fresh.Write(frame{kindResponse, echo, again, Encode(line{2, "own"})}.encode())
	if got := <-second; got != "2own" {
		t.Errorf("the call has %q", got)
	}
}

// A late response to a call whose context ended is not taken for that of the next call on the same connection.
func TestLateResponseIsNotTakenForNextCall(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	defer c.Close()
	ctx, giveUp := context.WithCancel(testContext(t))
	first := startCall(ctx, c)
	nc, in, number := acceptCall(t, l)
	giveUp()
	if got := <-first; got != "error" {
		t.Fatalf("the call that was given up ends in %q", got)
	}
	second := startCall(testContext(t), c)
	next, err := readFrame(in)
	if err != nil || next.number == number {
		t.Fatalf("the second call has number %d, %v", next.number, err)
	}
	late := frame{kindResponse, echo, number, Encode(line{1, "late"})}.encode()
	_, _ = nc.Write(append(append(late, late...), frame{kindResponse, echo, next.number, Encode(line{2, "own"})}.encode()...))
	if got := <-second; got != "2own" {
		t.Errorf("the call has %q", got)
	}
}
