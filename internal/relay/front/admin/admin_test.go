package admin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeRelay records whether it is quiesced, and can be made unresponsive.
type fakeRelay struct {
	quiet atomic.Bool
	stuck atomic.Bool
}

func (f *fakeRelay) Serving(ctx context.Context) error {
	if f.stuck.Load() {
		<-ctx.Done()
		return errors.New("the loop does not respond")
	}
	return nil
}
func (f *fakeRelay) Quiesce() { f.quiet.Store(true) }
func (f *fakeRelay) Resume()  { f.quiet.Store(false) }

// serve starts a server for a fake relay, and returns both the relay and the server's address.
func serve(t *testing.T) (*fakeRelay, string) {
	t.Helper()
	s, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := new(fakeRelay)
	s.Serve(f)
	t.Cleanup(s.Close)
	return f, s.Addr()
}

// call sends one request as the platform does, and returns its status and duration.
func call(t *testing.T, addr, method, path string) (int, time.Duration) {
	t.Helper()
	begin := time.Now()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
	req, _ := http.NewRequest(method, "http://"+addr+path, nil)
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode, time.Since(begin)
}

func TestRequests(t *testing.T) {
	f, addr := serve(t)
	for _, c := range []struct {
		method, path string
		status       int
		quiet        bool
	}{
		{"GET", "/admin/health", 200, false},
		{"POST", "/admin/quiesce", 200, true},
		{"POST", "/admin/quiesce", 200, true}, // idempotent
		{"GET", "/admin/health", 200, true},   // a drained relay is healthy
		{"POST", "/admin/resume", 200, false},
		{"GET", "/admin/quiesce", 405, false}, // GET changes nothing
		{"POST", "/admin/stop", 404, false},
		{"GET", "/up", 404, false},
	} {
		if got, _ := call(t, addr, c.method, c.path); got != c.status || f.quiet.Load() != c.quiet {
			t.Errorf("%s %s: status %d, quiet %v; want %d, %v", c.method, c.path, got, f.quiet.Load(), c.status, c.quiet)
		}
	}
	f.stuck.Store(true)
	if got, took := call(t, addr, "GET", "/admin/health"); got != 503 || took > 900*time.Millisecond {
		t.Errorf("health of a stuck relay: %d after %v, want 503 within 900 ms", got, took)
	}
}

// Connections without a complete request are closed, and other requests are answered meanwhile, however many
// there are.
func TestIncompleteRequestsDoNotDelayOthers(t *testing.T) {
	_, addr := serve(t)
	var incomplete []net.Conn
	for i := range 3 * MostCalls {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "POST /admin/qui")
		}
		incomplete = append(incomplete, c)
	}
	if got, took := call(t, addr, "GET", "/admin/health"); got != 200 || took > time.Second {
		t.Errorf("with %d incomplete requests: %d after %v, want 200 within 1 s", len(incomplete), got, took)
	}
	for _, c := range incomplete {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		if left, err := io.ReadAll(c); errors.Is(err, context.DeadlineExceeded) || strings.Contains(string(left), " 200 ") {
			t.Errorf("an incomplete request got %q, %v; want a close", left, err)
		}
	}
}
