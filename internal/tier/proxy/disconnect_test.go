package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/tier/balancer"
)

// course records what hosts observe of one request, whose client may disconnect at any time.
type course struct {
	begin time.Time
	mu    sync.Mutex
	calls []time.Duration // when a host got it
	ends  []time.Duration // when a host saw the end of its connection
}

func (c *course) note(to *[]time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*to = append(*to, time.Since(c.begin))
}

const step = 50 * time.Millisecond // of a course

// newCourse has a request opened, queued, rejected by one host and served in pieces by another, one step for each.
func newCourse(v *virtual) *course {
	c := &course{begin: time.Now()}
	v.ledger.onOpen = func(ctx context.Context) error { return pause(ctx, step) }
	v.ledger.onClose = func(ctx context.Context) error { return pause(ctx, step) }
	v.host = func(nc net.Conn, in *bufio.Reader, r *http.Request) bool {
		c.mu.Lock()
		number := len(c.calls)
		c.mu.Unlock()
		c.note(&c.calls)
		closed := make(chan struct{})
		go func() {
			_, _ = in.Peek(1)
			c.note(&c.ends)
			close(closed)
		}()
		id := r.Header.Get("X-Attempt-Id")
		pieces := []string{streamOf(id) + chunked, "4\r\nsome\r\n", "4\r\nmore\r\n", "0\r\n\r\n"}
		if number == 0 {
			pieces = []string{"HTTP/1.1 503 X\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\n", "full"}
		}
		for _, piece := range pieces {
			select {
			case <-time.After(step):
			case <-closed:
				return false
			}
			_, _ = io.WriteString(nc, piece)
		}
		<-closed
		return false
	}
	v.list(2)
	v.dispatcher.mu.Lock() // all slots are taken at first
	for _, id := range []string{"i-1", "i-2", "i-1-e", "i-2-e"} {
		for range 12 {
			v.dispatcher.balancer.CallStarted(v.dispatcher.balancer.Lookup(id))
		}
	}
	v.dispatcher.mu.Unlock()
	time.AfterFunc(step+step/2, func() {
		for _, id := range []string{"i-1", "i-2", "i-1-e", "i-2-e"} {
			for range 12 {
				v.dispatcher.mu.Lock()
				e := v.dispatcher.endpoints[id]
				v.dispatcher.mu.Unlock()
				v.dispatcher.release(e, balancer.Success)
			}
		}
	})
	return c
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// After a disconnect at any time no host gets the request, the host that runs it sees the end of its connection at once, and
// the slot is released.
func TestDisconnectAtAnyTime(t *testing.T) {
	const every, last = 10 * time.Millisecond, 900 * time.Millisecond
	for _, r := range routes {
		most := 0
		for disconnectAfter := every / 2; disconnectAfter < last; disconnectAfter += every {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, nil)
				c := newCourse(v)
				done := make(chan struct{})
				go func() { defer close(done); _, _ = io.Copy(io.Discard, v.client) }()
				_, _ = io.WriteString(v.client, requestText("POST", r.path, "a", turnHeader, "x"))
				time.Sleep(disconnectAfter)
				v.client.Close()
				<-done
				time.Sleep(2 * time.Second)
				c.mu.Lock()
				defer c.mu.Unlock()
				for _, at := range c.calls {
					if at > disconnectAfter {
						t.Errorf("%s: disconnect after %v, a host gets the request after %v", r.path, disconnectAfter, at)
					}
				}
				for _, at := range c.ends {
					if at > disconnectAfter && at-disconnectAfter > time.Millisecond {
						t.Errorf("%s: disconnect after %v, the host sees it after %v", r.path, disconnectAfter, at)
					}
				}
				most = max(most, len(c.calls))
				v.dispatcher.mu.Lock()
				out := v.dispatcher.balancer.InFlight("plain") + v.dispatcher.balancer.InFlight("engine")
				v.dispatcher.mu.Unlock()
				want(t, "slots taken after "+disconnectAfter.String(), out, 0)
				if r.path == "/turn/x" && disconnectAfter > step { // it was opened
					ended := strings.Count(v.ledger.log(), "settle") + strings.Count(v.ledger.log(), "close")
					want(t, "turns ended after "+disconnectAfter.String(), ended > 0, true)
				}
			})
		}
		want(t, "hosts of the longest course, "+r.path, most, 2)
	}
}

// A half-close by the client is a disconnect, since a full close looks the same: the connection to the host is closed, and
// nothing is written. A request before it that was served by then has its response.
func TestHalfCloseIsDisconnect(t *testing.T) {
	for _, r := range routes {
		t.Run(r.path, func(t *testing.T) {
			got, ended := make(chan bool, 1), make(chan bool, 1)
			f := newFront(t, newHost(t, "i-1", func(c *call) bool {
				if c.id() == "ahead" {
					return streams(c, event(1, "x"))
				}
				got <- true
				_, err := c.in.Peek(1)
				ended <- err != nil
				return false
			}))
			c := f.dial()
			c.send(requestText("POST", "/stream/x", "ahead", timeLeft, "x") + requestText("POST", r.path, "a", turnHeader, "x"))
			want(t, "status of the one before", c.read().status, 200)
			wait(t, got, "request at its host")
			_ = c.Conn.(*net.TCPConn).CloseWrite()
			want(t, "end of the host's connection", wait(t, ended, "end"), true)
			_, err := c.in.ReadByte()
			want(t, "end of the client's connection", err, io.EOF)
		})
	}
}

// A disconnect, or the end of the process, while a request is served and another is pipelined: the host of the first sees it at
// once, and the second is not forwarded.
func TestDisconnectWithPipelinedRequest(t *testing.T) {
	for name, end := range map[string]func(v *virtual){
		"disconnect":          func(v *virtual) { v.client.Close() },
		"close of the server": func(v *virtual) { v.Close() },
	} {
		for _, r := range routes {
			t.Run(name+" "+r.path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					v := newVirtual(t, nil)
					var calls atomic.Int32
					ended := make(chan time.Duration, 2)
					begin := time.Now()
					v.host = func(_ net.Conn, in *bufio.Reader, _ *http.Request) bool {
						calls.Add(1)
						_, _ = in.Peek(1)
						ended <- time.Since(begin)
						return false
					}
					v.list(2)
					go func() {
						_, _ = io.WriteString(v.client, requestText("POST", r.path, "a", turnHeader, "x")+requestText("POST", r.path, "b", turnHeader, "x"))
					}()
					time.Sleep(time.Second)
					end(v)
					time.Sleep(10 * time.Second)
					want(t, "calls", calls.Load(), 1)
					want(t, "end at the host", <-ended, time.Second)
				})
			})
		}
	}
}

// Pipelined requests are served in their order, in whatever pieces they are received.
func TestPipelinedRequestsInPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, nil)
		v.host = func(c net.Conn, _ *bufio.Reader, q *http.Request) bool {
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(c, reply(q.Header.Get("X-Attempt-Id"), 200, "", q.Header.Get("X-Attempt-Id")))
			return true
		}
		v.list(2)
		const all, piece = 40, 37
		var text strings.Builder
		for i := range all {
			text.WriteString(requestText("POST", "/order/x", fmt.Sprint("r", i), timeLeft, strings.Repeat("x", 37*i)))
		}
		go func() {
			for rest := text.String(); rest != ""; rest = rest[min(len(rest), piece):] {
				_, _ = io.WriteString(v.client, rest[:min(len(rest), piece)])
				time.Sleep(time.Millisecond)
			}
		}()
		for i := range all {
			response, err := http.ReadResponse(v.in, nil)
			if err != nil {
				t.Fatalf("response %d: %v", i, err)
			}
			body, err := io.ReadAll(response.Body)
			want(t, "error", err, nil)
			want(t, "body", string(body), fmt.Sprint("r", i))
		}
	})
}
