package fencedcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// platform records the calls whose body it received completely, and responds with a fixed status.
type platform struct {
	mu     sync.Mutex
	calls  []string
	status int
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, strings.Join([]string{r.URL.Path, r.Header.Get(holderHeader), r.Header.Get(tokenHeader), string(body)}, " "))
	w.WriteHeader(p.status)
}

func (p *platform) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.calls, "; ")
}

func startPlatform(t *testing.T, status int) (*platform, string) {
	t.Helper()
	p := &platform{status: status}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, strings.TrimPrefix(server.URL, "http://")
}

func newTestClient(t *testing.T, addr string, fence Fence) *Client {
	t.Helper()
	c := NewClient(addr, "core-1", fence)
	t.Cleanup(c.Close)
	return c
}

func permitAll(int64) bool { return true }

func TestOutcomeFollowsResponseStatus(t *testing.T) {
	for status, want := range map[int]Outcome{200: Accepted, 204: Accepted, 409: Refused, 429: Busy, 503: Busy, 500: Unknown, 502: Unknown,
		400: Invalid, 404: Invalid} {
		p, addr := startPlatform(t, status)
		got, err := newTestClient(t, addr, permitAll).Post(context.Background(), "/scale", 12, []byte(`{"desired":6}`))
		if got != want || (err == nil) != (want == Accepted) {
			t.Errorf("status %d: outcome %s, %v; want %s", status, got, err, want)
		}
		if got, want := p.log(), `/scale core-1 12 {"desired":6}`; got != want {
			t.Errorf("the platform received %q, want %q", got, want)
		}
	}
}

func TestClosedFenceSendsNothing(t *testing.T) {
	p, addr := startPlatform(t, 200)
	got, err := newTestClient(t, addr, func(int64) bool { return false }).Post(context.Background(), "/usage", 1, nil)
	if got != NotSent || err == nil || p.log() != "" {
		t.Errorf("outcome %s, %v; the platform received %q", got, err, p.log())
	}
}

// A holder that is paused between its check of the lease and the write must not send the call once the lease has ended.
func TestFenceIsCheckedBeforeEachWrite(t *testing.T) {
	for name, permitted := range map[string]int64{"at the first write": 1, "within a long call": 2} {
		t.Run(name, func(t *testing.T) {
			p, addr := startPlatform(t, 200)
			var asked atomic.Int64
			fence := func(int64) bool { return asked.Add(1) <= permitted }
			long := []byte(`"` + strings.Repeat("x", 1<<20) + `"`)
			got, err := newTestClient(t, addr, fence).Post(context.Background(), "/usage", 1, long)
			if got == Accepted || err == nil || p.log() != "" {
				t.Errorf("outcome %s, %v; the platform received %d bytes", got, err, len(p.log()))
			}
			if permitted == 1 && got != NotSent {
				t.Errorf("outcome %s, want %s", got, NotSent)
			}
		})
	}
}

func TestFenceReceivesTokenOfCall(t *testing.T) {
	_, addr := startPlatform(t, 200)
	current := atomic.Int64{}
	c := newTestClient(t, addr, func(token int64) bool { return token == current.Load() })
	for token := range int64(3) {
		current.Store(token)
		if got, err := c.Post(context.Background(), "/usage", token, []byte("{}")); got != Accepted {
			t.Errorf("token %d: %s, %v", token, got, err)
		}
		if got, _ := c.Post(context.Background(), "/usage", token-1, []byte("{}")); got != NotSent {
			t.Errorf("the token before %d: %s", token, got)
		}
	}
}

func TestSilentPlatformLeavesOutcomeUnknown(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if got, err := newTestClient(t, listener.Addr().String(), permitAll).Post(ctx, "/usage", 1, []byte("{}")); got != Unknown || err == nil {
		t.Errorf("the outcome is %s, %v; want %s", got, err, Unknown)
	}
}

func TestUnreachablePlatformGetsNothing(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	if got, err := newTestClient(t, listener.Addr().String(), permitAll).Post(context.Background(), "/usage", 1, nil); got != NotSent || err == nil {
		t.Errorf("the outcome is %s, %v; want %s", got, err, NotSent)
	}
}

// Calls go to the configured address only, also if the platform responds with a redirect.
func TestRedirectIsNotFollowed(t *testing.T) {
	var elsewhere atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) }))
	defer other.Close()
	server := httptest.NewServer(http.RedirectHandler(other.URL+"/usage", http.StatusTemporaryRedirect))
	defer server.Close()
	got, err := newTestClient(t, strings.TrimPrefix(server.URL, "http://"), permitAll).Post(t.Context(), "/usage", 1, []byte("{}"))
	if got != Unknown || err == nil || elsewhere.Load() > 0 {
		t.Errorf("the outcome is %s, %v; %d calls went elsewhere", got, err, elsewhere.Load())
	}
}
