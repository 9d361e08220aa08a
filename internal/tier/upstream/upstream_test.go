package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patient = 10 * time.Second

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

func wait[T any](t *testing.T, ch <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(patient):
		t.Fatalf("%s does not come", what)
	}
	return v
}

// line is a request that a stand-in got, with its connection.
type line struct {
	net.Conn
	in   *bufio.Reader
	id   string
	body string
	conn int // the connection's number, from 1
	nth  int // on its connection, from 1
}

func (l *line) raw(s string) { _, _ = io.WriteString(l.Conn, s) }

func (l *line) ok(body string) { l.raw(ok(l.id, "", body)) }

func (l *line) reset() { _ = l.Conn.(*net.TCPConn).SetLinger(0) }

func ok(id, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, header, len(body), body)
}

// standin is a host whose script responds to each request, and returns false to close the connection.
type standin struct {
	*Host
	conns, calls atomic.Int32
	closed       chan int // numbers of connections that have ended
}

func newStandin(t *testing.T, script func(l *line) bool) *standin {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standin{Host: NewHost("i-1", l.Addr().String(), 8), closed: make(chan int, 100)}
	var wg sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	wg.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			number := int(s.conns.Add(1))
			mu.Lock()
			open[nc] = true
			mu.Unlock()
			wg.Go(func() {
				defer func() { nc.Close(); s.closed <- number }()
				in := bufio.NewReader(nc)
				for nth := 1; ; nth++ {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					b, err := io.ReadAll(req.Body)
					if err != nil {
						return
					}
					s.calls.Add(1)
					if !script(&line{nc, in, req.Header.Get("X-Attempt-Id"), string(b), number, nth}) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		s.SetDisabled(true)
		l.Close()
		mu.Lock()
		for nc := range open {
			nc.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return s
}

func get(id string) *Request {
	return &Request{Method: "GET", URI: "/x", Host: "shop.example", ID: id, Header: http.Header{"X-Attempt-Id": {id}}, Deadline: time.Now().Add(time.Hour)}
}

// make1 makes a call and reads its complete response.
func make1(h *Host, r *Request, within time.Duration) (res Result, body string, err error) {
	var k Call
	res = k.Do(h, r, time.Now().Add(within))
	if res.Response == nil {
		return res, "", res.Err
	}
	if res.Outcome == NotRun {
		return res, string(res.Response.RefusalBody), nil
	}
	b, err := io.ReadAll(res.Response)
	res.Response.Finish()
	return res, string(b), err
}
