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

// fake is a relay that notes what it is told.
type fake struct {
	quiet atomic.Bool
	stuck atomic.Bool
}

func (f *fake) Serving(ctx context.Context) error {
	if f.stuck.Load() {
		<-ctx.Done()
		return errors.New("the loop does not answer")
	}
	return nil
}
func (f *fake) Quiesce() { f.quiet.Store(true) }
func (f *fake) Resume()  { f.quiet.Store(false) }

func serve(t *testing.T) (*fake, string) {
	t.Helper()
	s, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := new(fake)
	s.Serve(f)
	t.Cleanup(s.Close)
	return f, s.Addr()
}

// call makes one call as the platform does, and returns its status and how long it took.
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

func TestCalls(t *testing.T) {
	f, addr := serve(t)
	for _, c := range []struct {
		method, path string
		status       int
		quiet        bool
	}{
		{"GET", "/admin/health", 200, false},
		{"POST", "/admin/quiesce", 200, true},
		{"POST", "/admin/quiesce", 200, true}, // told twice
		{"GET", "/admin/health", 200, true},   // sending clients away is no ill health
		{"POST", "/admin/resume", 200, false},
		{"GET", "/admin/quiesce", 405, false}, // a look changes nothing
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

// Callers that send nothing or half a call are closed on, and others are answered meanwhile, however many they are.
func TestSilentCallers(t *testing.T) {
	_, addr := serve(t)
	var silent []net.Conn
	for i := range 3 * MostCalls {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "POST /admin/qui")
		}
		silent = append(silent, c)
	}
	if got, took := call(t, addr, "GET", "/admin/health"); got != 200 || took > time.Second {
		t.Errorf("beside %d silent callers: %d after %v, want 200 within 1 s", len(silent), got, took)
	}
	for _, c := range silent {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		if left, err := io.ReadAll(c); errors.Is(err, context.DeadlineExceeded) || strings.Contains(string(left), " 200 ") {
			t.Errorf("a silent caller got %q, %v; want a close", left, err)
		}
	}
}
