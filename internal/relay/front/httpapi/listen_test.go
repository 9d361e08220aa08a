package httpapi

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The connection to close is never one with a pending request.
func TestVictimConnection(t *testing.T) {
	now := time.Now()
	conn := func(age time.Duration, servedBefore, pending bool) *clientConn {
		return &clientConn{idleSince: now.Add(-age), servedBefore: servedBefore, requestPending: pending}
	}
	silent, idle, older, busy, young := conn(time.Second, false, false), conn(time.Second, true, false),
		conn(2*time.Second, true, false), conn(time.Minute, true, true), conn(time.Millisecond, false, false)
	newest := conn(0, false, false)
	s := &Listener{conns: map[*clientConn]bool{silent: true, idle: true, older: true, busy: true, young: true, newest: true}}
	for _, want := range []*clientConn{silent, older, idle, young, newest} {
		if got := s.victim(newest); got != want {
			t.Fatalf("closed is %+v, want %+v", got, want)
		}
		delete(s.conns, want)
	}
}

// Idle connections are closed when the first bytes of a request have been read from the kernel and not been recorded
// yet: the test holds the lock between the two. The request is read on, and net/http's deadline applies again.
func TestSendAwayDuringFirstRead(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 4)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := conn.(*clientConn)
	c.SetReadDeadline(time.Now().Add(time.Minute))
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	unread := func() (n int) {
		raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	peer.Write([]byte("PO"))
	for unread() != 2 {
		time.Sleep(time.Millisecond)
	}
	type readResult struct {
		n   int
		err error
	}
	read := make(chan readResult, 1)
	l.mu.Lock()
	go func() { n, err := c.Read(make([]byte, 8)); read <- readResult{n, err} }()
	for unread() != 0 {
		time.Sleep(time.Millisecond)
	}
	l.closeIdleLocked(true)
	l.mu.Unlock()
	if g := <-read; g.n != 2 || g.err != nil {
		t.Fatalf("read %d bytes, %v", g.n, g.err)
	}
	peer.Write([]byte("ST"))
	if n, err := c.Read(make([]byte, 8)); n != 2 || err != nil {
		t.Fatalf("read %d bytes of the rest, %v", n, err)
	}
	ClientState(c, http.StateIdle)
	l.SendAway(false)
	c.SetReadDeadline(time.Now().Add(time.Minute)) // as net/http does: it does not keep a closing connection open
	if n, err := c.Read(make([]byte, 8)); n != 0 || !os.IsTimeout(err) {
		t.Fatalf("read %d bytes, %v between two requests, want it to fail at once", n, err)
	}
}

// A byte that net/http reads while it checks for a disconnect during a request starts the next request.
func TestNextRequestStartsDuringPendingOne(t *testing.T) {
	s := &Listener{conns: map[*clientConn]bool{}}
	c := &clientConn{listener: s, requestStarted: true, requestPending: true, nextStarted: true}
	ClientState(c, http.StateIdle)
	if !c.requestStarted || c.nextStarted || c.requestPending {
		t.Fatalf("%+v", c)
	}
}
