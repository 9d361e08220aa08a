package modelhost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// timeout ends a test that hangs.
const timeout = 20 * time.Second

func start(t *testing.T, o Options) *Host {
	t.Helper()
	h, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// caller is a connection to a host.
type caller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func dial(t *testing.T, h *Host) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", h.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(timeout))
	return &caller{c, t, bufio.NewReader(c)}
}

// send sends a request: "GET /path", an attempt's id, "" for none, a body, and headers.
func (c *caller) send(what, id, body string, headers ...string) {
	c.t.Helper()
	if id != "" {
		headers = append(headers, "X-Attempt-Id: "+id)
	}
	_, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n%s\r\n\r\n%s", what, len(body), strings.Join(append(headers, "Te: x"), "\r\n"), body)
	if err != nil {
		c.t.Fatal(err)
	}
}

// head reads the head of an answer.
func (c *caller) head() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

func (c *caller) answer() (*http.Response, string) {
	c.t.Helper()
	resp := c.head()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, string(b)
}

func wait(t *testing.T, l *RunLog, what string, ok func(runs []Run) bool) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), timeout)
	defer stop()
	if err := l.Wait(ctx, ok); err != nil {
		t.Fatalf("%s: %v; runs %+v", what, err, l.Runs())
	}
}

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s is %v, want %v", what, got, want)
	}
}

// eventually polls until a condition is met.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come true", what)
		}
	}
}
