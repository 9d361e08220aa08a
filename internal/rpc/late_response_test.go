package rpc

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// acceptCall takes one connection and reads the number of its first call.
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
	_, _, number, _, err := readFrame(in)
	if err != nil {
		t.Fatal(err)
	}
	return nc, in, number
}

// startCall makes a call in the background.
func startCall(t *testing.T, c *Client, ctx context.Context) chan string {
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

// The numbers of calls begin anew with each connection, and so with each life of a process: an answer counts only on the
// connection of its call. One that a process writes to an earlier connection, in this life or another, is no answer to the
// call of the same number.
func TestResponseOnEarlierConnectionIsIgnored(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	defer c.Close()
	first := startCall(t, c, testContext(t))
	old, _, number := acceptCall(t, l)
	lost := frame(kindCall, echo, 1, nil)
	copy(lost, []byte{0, 0, 0, 1}) // no frame: the client leaves the connection
	_, _ = old.Write(lost)
	if got := <-first; got != "error" {
		t.Fatalf("the call on the connection that was lost ends in %q", got)
	}
	second := startCall(t, c, testContext(t))
	fresh, _, again := acceptCall(t, l)
	if again != number {
		t.Fatalf("the numbers are %d and %d: the test is about the same one", number, again)
	}
	_, _ = old.Write(frame(kindResponse, echo, number, Encode(line{1, "of the earlier connection"})))
	_, _ = fresh.Write(frame(kindResponse, echo, again, Encode(line{2, "own"})))
	if got := <-second; got != "2own" {
		t.Errorf("the call has %q", got)
	}
}

// A late answer to a call that was given up is not one to the next call on the same connection.
func TestLateResponseIsNotTakenForNextCall(t *testing.T) {
	l := listen(t)
	c := NewClient(l.Addr().String())
	defer c.Close()
	ctx, giveUp := context.WithCancel(testContext(t))
	first := startCall(t, c, ctx)
	nc, in, number := acceptCall(t, l)
	giveUp()
	if got := <-first; got != "error" {
		t.Fatalf("the call that was given up ends in %q", got)
	}
	second := startCall(t, c, testContext(t))
	_, _, next, _, err := readFrame(in)
	if err != nil || next == number {
		t.Fatalf("the second call has number %d, %v", next, err)
	}
	late := frame(kindResponse, echo, number, Encode(line{1, "late"}))
	_, _ = nc.Write(append(append(late, late...), frame(kindResponse, echo, next, Encode(line{2, "own"}))...))
	if got := <-second; got != "2own" {
		t.Errorf("the call has %q", got)
	}
}
