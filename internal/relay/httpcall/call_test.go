package httpcall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
)

// A message that is withdrawn while its call dials is not in the request.
func TestLeaveWhileDialling(t *testing.T) {
	for name, c := range map[string]struct {
		leave []int
		path  string // of what the host gets; empty for nothing
		body  string
		ends  []choice.Outcome
	}{
		"the first": {[]int{0}, "/receive-many", "b - 1\r\n2\r\nc k 1\r\n3\r\n",
			[]choice.Outcome{choice.NotSent, choice.Served, choice.Served}},
		"the last": {[]int{2}, "/receive-many", "a - 1\r\n1\r\nb - 1\r\n2\r\n",
			[]choice.Outcome{choice.Served, choice.Served, choice.NotSent}},
		"all but one": {[]int{0, 1}, "/receive", "3",
			[]choice.Outcome{choice.NotSent, choice.NotSent, choice.Served}},
		"all of them": {[]int{2, 0, 1}, "", "",
			[]choice.Outcome{choice.NotSent, choice.NotSent, choice.NotSent}},
		"none": {nil, "/receive-many", "a - 1\r\n1\r\nb - 1\r\n2\r\nc k 1\r\n3\r\n",
			[]choice.Outcome{choice.Served, choice.Served, choice.Served}},
	} {
		t.Run(name, func(t *testing.T) {
			got := make(chan string, 10)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				b, _ := io.ReadAll(req.Body)
				got <- req.URL.Path + " " + req.Header.Get("X-Request-Id") + " " + req.Header.Get("Idempotency-Key") + "\n" + string(b)
				for line := range strings.SplitSeq(string(b), "\r\n") {
					if id, _, framed := strings.Cut(line, " "); framed {
						fmt.Fprintf(w, "%s ok\r\n", id)
					}
				}
			}))
			defer s.Close()
			p := newTestPool()
			defer p.CloseIdle()
			dialling, up := make(chan bool), make(chan bool)
			dial := p.dial
			p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				close(dialling)
				<-up
				return dial(ctx, network, addr)
			}
			out := NewCall(&Host{Addr: s.Listener.Addr().String()}, 20*time.Second,
				Message{ID: "a", Body: []byte("1")}, Message{ID: "b", Body: []byte("2")}, Message{ID: "c", Key: "k", Body: []byte("3")})
			ends := make(chan []End, 1)
			go func() { e, _, _ := p.Exchange(t.Context(), out); ends <- e }()
			wait(t, dialling, "dial")
			for _, i := range c.leave {
				want(t, "withdrawn in time", out.Leave(i), true)
			}
			close(up)
			var outcomes []choice.Outcome
			for _, e := range wait(t, ends, "ends") {
				outcomes = append(outcomes, e.Outcome)
			}
			if !slices.Equal(outcomes, c.ends) {
				t.Errorf("outcomes are %v, want %v", outcomes, c.ends)
			}
			switch c.path {
			case "":
				want(t, "calls", len(got), 0)
				want(t, "open connections", p.Open(), 1)
			case "/receive":
				want(t, "call", wait(t, got, "call"), "/receive c k\n"+c.body)
			default:
				want(t, "call", wait(t, got, "call"), c.path+"  \n"+c.body)
			}
			want(t, "further calls", len(got), 0)
		})
	}
}

// onWrite is a connection that calls do before each write, which fails with the error of do.
type onWrite struct {
	*net.TCPConn
	do func() error
}

func (c onWrite) Write(b []byte) (int, error) {
	if err := c.do(); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// A message that is withdrawn while its call is being written counts as sent, and Leave does not wait for the
// write. If that write fails on a reused connection that had ended, the call is written to another, without the
// message.
func TestLeaveDuringWrite(t *testing.T) {
	for name, fails := range map[string]bool{"written": false, "written again": true} {
		t.Run(name, func(t *testing.T) {
			got := make(chan string, 10)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				b, _ := io.ReadAll(req.Body)
				got <- string(b)
				io.WriteString(w, "a ok\r\nb ok\r\nc ok\r\n")
			}))
			defer s.Close()
			p := newTestPool()
			defer p.CloseIdle()
			host := &Host{Addr: s.Listener.Addr().String()}
			first := NewCall(host, 20*time.Second, Message{ID: "m0"})
			want(t, "outcome of the first", outcome(p, t.Context(), first), choice.Served)
			wait(t, got, "first call")
			out := NewCall(host, 20*time.Second,
				Message{ID: "a", Body: []byte("1")}, Message{ID: "b", Body: []byte("2")}, Message{ID: "c", Body: []byte("3")})
			dial := p.dial
			p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				want(t, "withdrawn in time between two writes", out.Leave(2), true)
				return dial(ctx, network, addr)
			}
			p.mu.Lock()
			kept := p.idle[host][0]
			kept.Conn = onWrite{kept.Conn.(*net.TCPConn), func() error {
				want(t, "withdrawn in time", out.Leave(0), false)
				if fails {
					return errors.New("broken before its first byte")
				}
				return nil
			}}
			p.mu.Unlock()
			ends, _, _ := p.Exchange(t.Context(), out)
			if fails {
				want(t, "call on the second connection", wait(t, got, "call"), "2")
				want(t, "end of the withdrawn message", ends[0].Outcome, choice.NotSent)
			} else {
				want(t, "call", wait(t, got, "call"), "a - 1\r\n1\r\nb - 1\r\n2\r\nc - 1\r\n3\r\n")
				want(t, "end of the message withdrawn too late", ends[0].Outcome, choice.Served)
			}
			want(t, "end of the remaining message", ends[1].Outcome, choice.Served)
			want(t, "further calls", len(got), 0)
		})
	}
}

// A retry is not sent if its idempotency key is forgotten while its connection comes up, or would be by the time it
// arrives: the first connection comes up late; the second is idle and took long to dial.
func TestRetryDoesNotOutlastItsIdempotencyKey(t *testing.T) {
	got := make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		got <- req.Header.Get("X-Request-Id")
	}))
	defer s.Close()
	p := newTestPool()
	defer p.CloseIdle()
	host := &Host{Addr: s.Listener.Addr().String()}
	late := Message{ID: "late", Key: "k", Until: time.Now().Add(time.Millisecond)}
	dial := p.dial
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		for time.Now().Before(late.Until) {
			time.Sleep(time.Millisecond)
		}
		return dial(ctx, network, addr)
	}
	onLate := NewCall(host, 20*time.Second, late)
	want(t, "outcome on a late connection", outcome(p, t.Context(), onLate), choice.NotSent)
	far := Message{ID: "far", Key: "k", Until: time.Now().Add(time.Hour)}
	ends, _, _ := p.Exchange(t.Context(), NewCall(host, 20*time.Second, late, far))
	want(t, "outcome of the late one", ends[0].Outcome, choice.NotSent)
	want(t, "outcome of the other message in its call", ends[1].Outcome, choice.Served)
	want(t, "sent", wait(t, got, "call"), "far")
	p.mu.Lock()
	p.idle[host][0].dialTime = 2 * time.Hour
	p.mu.Unlock()
	onFar := NewCall(host, 20*time.Second, far)
	want(t, "outcome on a connection that took long to dial", outcome(p, t.Context(), onFar), choice.NotSent)
	want(t, "further calls", len(got), 0)
}
