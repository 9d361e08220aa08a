package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"larchrouter/choice"
)

func newTestPool() *Pool { return NewPool(time.Second, time.Minute, 64) }

func oneCall(addr, body string) *Call {
	return NewCall(&Host{Addr: addr}, 20*time.Second, Message{ID: "m1", Key: "k", Body: []byte(body)})
}

func outcome(p *Pool, ctx context.Context, c *Call) choice.Outcome {
	ends, _, _ := p.Exchange(ctx, c)
	return ends[0].Outcome
}

func wait[T any](t *testing.T, ch chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(30 * time.Second):
		t.Fatalf("no %s came", what)
		panic("unreachable")
	}
}

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s is %v, want %v", what, got, want)
	}
}

// rawHost starts a host that reads each request completely and writes the next of the given responses, byte by byte
// as given. It returns its address and a channel that gets a value for each connection that the client closed.
func rawHost(t *testing.T, responses ...string) (addr string, ended chan bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan bool, 100) // connections that the relay closed
	left := make(chan string, len(responses))
	for _, response := range responses {
		left <- response
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for in := bufio.NewReader(conn); ; {
					req, err := http.ReadRequest(in)
					if err != nil {
						ended <- true
						return
					}
					io.Copy(io.Discard, req.Body)
					io.WriteString(conn, <-left)
				}
			}()
		}
	}()
	return l.Addr().String(), ended
}

const (
	okResponse    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	errorResponse = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
)
