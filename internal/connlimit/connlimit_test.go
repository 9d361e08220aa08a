package connlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testTimeout    = 10 * time.Second
	maxIdleReports = 16 // of one test
)

// server is a limited server whose requests for /wait are answered once release is closed.
type server struct {
	t       *testing.T
	addr    string
	release chan struct{}
	serving chan struct{} // gets a value for each request for /wait
	idle    chan struct{} // gets a value for each connection that has become idle, once the limiter knows
}

func newServer(t *testing.T, max int) *server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, addr: listener.Addr().String(), release: make(chan struct{}), serving: make(chan struct{}, max),
		idle: make(chan struct{}, maxIdleReports)}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/wait", func(http.ResponseWriter, *http.Request) { s.serving <- struct{}{}; <-s.release })
	h := &http.Server{Handler: mux}
	Apply(h, max)
	limit := h.ConnState
	h.ConnState = func(c net.Conn, state http.ConnState) {
		limit(c, state)
		if state == http.StateIdle {
			s.idle <- struct{}{}
		}
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = h.Serve(listener) }()
	t.Cleanup(func() { h.Close(); <-done })
	return s
}

// dial opens a connection.
func (s *server) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// get sends a request and returns the status, 0 if the connection has ended.
func (s *server) get(c net.Conn, path string) int {
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// serveAndRest sends a request on a connection and waits until the limiter takes the connection for idle: a client may have its response
// before.
func (s *server) serveAndRest(c net.Conn) {
	s.t.Helper()
	if status := s.get(c, "/"); status != http.StatusOK {
		s.t.Fatalf("status %d", status)
	}
	select {
	case <-s.idle:
	case <-time.After(testTimeout):
		s.t.Fatal("the connection does not become idle")
	}
}

// ended waits for the end of a connection, and reports whether it came.
func ended(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// The connection that has not been served for the longest time gives way, whether it has sent nothing, part of a request or a complete
// one, but never one that is served.
func TestIdleConnectionsGiveWay(t *testing.T) {
	s := newServer(t, 3)
	served := s.dial()
	_, _ = io.WriteString(served, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.serving
	begun, idle := s.dial(), s.dial()
	_, _ = io.WriteString(begun, "GET /")
	s.serveAndRest(idle)
	for _, oldest := range []net.Conn{begun, idle} {
		s.serveAndRest(s.dial())
		if !ended(oldest) {
			t.Error("the oldest idle connection did not give way")
		}
	}
	close(s.release)
	if response, err := http.ReadResponse(bufio.NewReader(served), nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the request that was served got %v, %v", response, err)
	}
}

// If all connections are served, a new one is closed.
func TestNewConnectionIsClosedWhileAllAreServed(t *testing.T) {
	s := newServer(t, 1)
	served := s.dial()
	_, _ = io.WriteString(served, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.serving
	if !ended(s.dial()) {
		t.Error("a connection beyond the limit stays open")
	}
	close(s.release)
	if response, err := http.ReadResponse(bufio.NewReader(served), nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the request that was served got %v, %v", response, err)
	}
}
