package httpapi

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against closing a connection whose request is not answered yet.
func TestSpareConnection(t *testing.T) {
	now := time.Now()
	conn := func(age time.Duration, asked, open bool) *clientConn {
		return &clientConn{idleSince: now.Add(-age), servedBefore: asked, requestPending: open}
	}
	silent, idle, older, busy, young := conn(time.Second, false, false), conn(time.Second, true, false),
		conn(2*time.Second, true, false), conn(time.Minute, true, true), conn(time.Millisecond, false, false)
	newest := conn(0, false, false)
	s := &Listener{conns: map[*clientConn]bool{silent: true, idle: true, older: true, busy: true, young: true, newest: true}}
	for _, next := range []*clientConn{silent, older, idle, young, newest} {
		if got := s.victim(newest); got != next {
			t.Fatalf("closed is %+v, want %+v", got, next)
		}
		delete(s.conns, next)
	}
}

// Clients are sent away as the first bytes of a request have been read and nobody has been told of them yet: they are held
// between the two, by the lock. The request is read on; and the deadline that net/http had set holds again.
func TestClientIsSentAwayAsItsRequestIsRead(t *testing.T) {
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
	type got struct {
		n   int
		err error
	}
	read := make(chan got, 1)
	l.mu.Lock()
	go func() { n, err := c.Read(make([]byte, 8)); read <- got{n, err} }()
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
	c.SetReadDeadline(time.Now().Add(time.Minute)) // net/http's: it keeps nobody who was sent away
	if n, err := c.Read(make([]byte, 8)); n != 0 || !os.IsTimeout(err) {
		t.Fatalf("read %d bytes, %v between two requests, want it to fail at once", n, err)
	}
}

// A byte of the next request that net/http reads while it looks whether the client is still there is its beginning.
func TestNextRequestBeginsEarly(t *testing.T) {
	s := &Listener{conns: map[*clientConn]bool{}}
	c := &clientConn{listener: s, requestStarted: true, requestPending: true, nextStarted: true}
	ClientState(c, http.StateIdle)
	if !c.requestStarted || c.nextStarted || c.requestPending {
		t.Fatalf("%+v", c)
	}
}
