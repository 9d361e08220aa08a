package netdial

import (
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"
)

// listen listens at an address of the loopback network.
func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// An outgoing connection of a node has drawn the port at which a role listens, which then cannot start.
func TestListenerStartsAtPortOfOutgoingConnection(t *testing.T) {
	peer := listen(t, "127.0.0.1:0")
	own := net.IPv4(127, byte(1+rand.N(250)), byte(rand.N(256)), byte(1+rand.N(250))) // of which no other program has connections
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: own}}
	conn, err := DialContext(t.Context(), dialer, "tcp4", peer.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	listen(t, conn.LocalAddr().String())
}

// A dial to a port that nobody listens at connects to itself, and keeps the listener that is to start there away.
func TestDialDoesNotConnectToItself(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	addr := l.Addr().(*net.TCPAddr)
	l.Close()
	conn, err := DialContext(t.Context(), net.Dialer{Timeout: time.Second, LocalAddr: addr}, "tcp4", addr.String())
	if err == nil {
		conn.Close()
		t.Fatalf("connected %v to %v", conn.LocalAddr(), conn.RemoteAddr())
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("%v, want a refused connection", err)
	}
}

func TestDialKeepsControlOfDialer(t *testing.T) {
	peer := listen(t, "127.0.0.1:0")
	called := false
	dialer := net.Dialer{Timeout: time.Second, Control: func(string, string, syscall.RawConn) error { called = true; return nil }}
	conn, err := DialContext(t.Context(), dialer, "tcp4", peer.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if !called {
		t.Error("the dialer's Control was not called")
	}
}
