package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const maxOverrun = 250 * time.Millisecond // past the deadline, by the operators' rules

// writeSlowly writes a text byte by byte until a write fails.
func writeSlowly(c net.Conn, text string, every time.Duration) bool {
	for i := range len(text) {
		if _, err := io.WriteString(c, text[i:i+1]); err != nil {
			return false
		}
		time.Sleep(every)
	}
	return true
}

// A slow host that sends byte by byte does not extend a request: its client gets the response, or the end of the connection,
// by the deadline of the route.
func TestSlowHostMeetsDeadline(t *testing.T) {
	const deadline = 8 * time.Second // of the routes
	long := strings.Repeat("x", 5000)
	for name, c := range map[string]struct {
		text func(id string) string
	}{
		"head": {text: func(id string) string { return streamOf(id) + "X-Long: " + long }},
		"body with its length": {text: func(id string) string {
			return streamOf(id) + "Content-Length: 5000\r\n\r\n" + long
		}},
		"body in chunks":              {text: func(id string) string { return streamOf(id) + chunked + strings.Repeat("1\r\nx\r\n", 2000) }},
		"interim responses":           {text: func(string) string { return strings.Repeat("HTTP/1.1 102 X\r\n\r\n", 300) }},
		"responses to other requests": {text: func(string) string { return strings.Repeat(fmt.Sprintf(forged200, "other"), 3) + long }},
		"a failure":                   {text: func(id string) string { return reply(id, 404, "", long) }},
	} {
		for _, r := range routes {
			t.Run(name+" "+r.path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					v := newVirtual(t, nil)
					v.host = func(c1 net.Conn, _ *bufio.Reader, q *http.Request) bool {
						return writeSlowly(c1, c.text(q.Header.Get("X-Attempt-Id")), 10*time.Millisecond)
					}
					v.list(2)
					begin := time.Now()
					v.ask(r.path, "a", "X-Time-Left-Ms: 60000\r\n")
					if took := time.Since(begin); took > deadline || took < deadline-2*responseMargin {
						t.Errorf("it took %v, want %v at most and not much less", took, deadline)
					}
				})
			})
		}
	}
}

func streamOf(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Host-Seal: s\r\nContent-Type: text/event-stream\r\n"
}

// Nor does a client that does not read.
func TestClientThatDoesNotReadMeetsDeadline(t *testing.T) {
	for _, r := range routes {
		t.Run(r.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, nil)
				v.host = func(c net.Conn, _ *bufio.Reader, q *http.Request) bool {
					_, _ = io.WriteString(c, streamOf(q.Header.Get("X-Attempt-Id"))+chunked+"4\r\nsome\r\n0\r\n\r\n")
					return true
				}
				v.list(1)
				_, _ = io.WriteString(v.client, requestText("POST", r.path, "a", "X-Time-Left-Ms: 1000\r\n", "x"))
				time.Sleep(time.Second + maxOverrun)
				_, err := v.in.ReadByte()
				want(t, "end", err, io.EOF)
			})
		})
	}
}

// X-Time-Left-Ms to a host is never more than what is left, after an opening, a queue, slow dials and other hosts.
func TestTimeLeftHeaderToHosts(t *testing.T) {
	for _, r := range routes {
		for name, header := range map[string]string{"a request": "", "a call of a program": "Program: p1\r\n"} {
			for _, first := range []string{"rejects", "hangs", "breaks off"} {
				t.Run(strings.Join([]string{name, r.path, first}, " "), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						v := newVirtual(t, nil)
						v.oracle.timeout = time.Second
						v.ledger.onOpen = func(context.Context) error { time.Sleep(700 * time.Millisecond); return nil }
						begin := time.Now()
						var calls atomic.Int32
						v.host = func(c net.Conn, in *bufio.Reader, q *http.Request) bool {
							nth := calls.Add(1)
							leftMs, err := strconv.Atoi(q.Header.Get("X-Time-Left-Ms"))
							if left := 4*time.Second - time.Since(begin); err != nil || leftMs < 1 || time.Duration(leftMs)*time.Millisecond > left {
								t.Errorf("call %d gets %d ms, want at most %v", nth, leftMs, left)
							}
							id := q.Header.Get("X-Attempt-Id")
							switch {
							case nth > 1:
								_, _ = io.WriteString(c, reply(id, 200, "", "yes"))
							case first == "declines":
								time.Sleep(300 * time.Millisecond)
								_, _ = io.WriteString(c, reply(id, 503, "X-Not-Executed: 1\r\n", ""))
							case first == "hangs":
								_, _ = in.Peek(1)
								return false
							default:
								time.Sleep(300 * time.Millisecond)
								return false
							}
							return true
						}
						v.list(2)
						v.ask(r.path, "a", header+"X-Time-Left-Ms: 4000\r\n")
						if again := first == "declines" || r.kind == "idempotent"; again != (calls.Load() == 2) {
							t.Errorf("%d hosts were asked", calls.Load())
						}
					})
				})
			}
		}
	}
}
