package cloudapi

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/reservedport"
)

// controlNode is a stand-in for a node that serves the operators' API. A script answers its requests.
type controlNode struct {
	addr string
	mu   sync.Mutex
	got  []string
}

func newControlNode(t *testing.T, script func(w http.ResponseWriter, r *http.Request, nth int)) *controlNode {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &controlNode{addr: l.Addr().String()}
	ctx, stop := context.WithCancel(context.Background())
	s := &http.Server{BaseContext: func(net.Listener) context.Context { return ctx }, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		node.mu.Lock()
		node.got = append(node.got, fmt.Sprintf("%s %s %s %s", r.Method, r.URL, r.Header.Get("If-Match"), body))
		nth := len(node.got)
		node.mu.Unlock()
		script(w, r, nth)
	})}
	var served sync.WaitGroup
	served.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() { stop(); s.Close(); served.Wait() })
	return node
}

func (n *controlNode) requests() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.got
}

// operator returns an operator that records its backoffs and does not sleep.
func operator(addrs ...string) (*Operator, *[]time.Duration) {
	o := NewOperator(addrs...)
	o.timeout = 20 * time.Second
	var backoffs []time.Duration
	o.sleep = func(ctx context.Context, d time.Duration) error { backoffs = append(backoffs, d); return ctx.Err() }
	return o, &backoffs
}

func status(codes ...int) func(w http.ResponseWriter, r *http.Request, nth int) {
	return func(w http.ResponseWriter, _ *http.Request, nth int) {
		code := codes[min(nth, len(codes))-1]
		w.WriteHeader(code)
		fmt.Fprintf(w, "because of %d", code)
	}
}

func TestRequestIsRetriedUntilAcknowledged(t *testing.T) {
	dead, err := reservedport.Reserve() // an address on which nothing listens
	if err != nil {
		t.Fatal(err)
	}
	defer dead.Close()
	a := newControlNode(t, status(500, 429, 408, 403, 200))
	o, backoffs := operator(dead.Addr(), a.addr)
	if err := o.Put(t.Context(), []byte(`{"config_version":7}`), 5); err != nil {
		t.Fatal(err)
	}
	want(t, "attempts", len(a.requests()), 5)
	for _, got := range a.requests() {
		want(t, "request", got, `PUT /api/config 5 {"config_version":7}`)
	}
	if len(*backoffs) < 8 || (*backoffs)[0] != initialBackoff || (*backoffs)[1] != 2*initialBackoff || (*backoffs)[7] != maxBackoff {
		t.Fatal("backoffs", *backoffs)
	}
}

func TestRequestIsRejected(t *testing.T) {
	for code, attempts := range map[int]int{400: 1, 409: 1, 412: 1, 413: 1, 422: 1, 404: 3, 403: 3} {
		a := newControlNode(t, status(code))
		o, _ := operator(a.addr)
		err := o.Retire(t.Context(), "store/1", 10*time.Second)
		if !errors.Is(err, ErrRejected) || !strings.Contains(err.Error(), fmt.Sprintf("POST /api/retire/store%%2F1: status %d: because of %d", code, code)) {
			t.Fatalf("%d: %v", code, err)
		}
		want(t, fmt.Sprint("attempts on ", code), len(a.requests()), attempts)
		want(t, "request", a.requests()[0], `POST /api/retire/store%2F1  {"within_s":10}`)
	}
}

func TestTwoRedirectsAreFollowed(t *testing.T) {
	to := func(addr *string) func(w http.ResponseWriter, r *http.Request, nth int) {
		return func(w http.ResponseWriter, r *http.Request, _ int) {
			w.Header().Set("Location", "http://"+*addr+r.URL.String())
			w.WriteHeader(http.StatusTemporaryRedirect)
		}
	}
	head := newControlNode(t, status(200))
	second := newControlNode(t, to(&head.addr))
	first := newControlNode(t, to(&second.addr))
	o, backoffs := operator(first.addr)
	if err := o.Put(t.Context(), []byte("x"), 0); err != nil {
		t.Fatal(err)
	}
	want(t, "requests at the head", strings.Join(head.requests(), "; "), "PUT /api/config 0 x")
	want(t, "backoffs", len(*backoffs), 0)

	again := newControlNode(t, to(&first.addr)) // one redirect too many
	third := newControlNode(t, status(200))
	o, backoffs = operator(third.addr, again.addr)
	if err := o.Put(t.Context(), []byte("x"), 0); err != nil {
		t.Fatal(err)
	}
	want(t, "requests at the head", len(head.requests()), 1)
	want(t, "backoffs", len(*backoffs), 1)
	want(t, "requests at the other node", len(third.requests()), 1)
}

func TestUnresponsiveAddressTimesOut(t *testing.T) {
	unresponsive := newControlNode(t, func(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	responsive := newControlNode(t, func(w http.ResponseWriter, _ *http.Request, _ int) { fmt.Fprint(w, `{"phase":"complete"}`) })
	o, _ := operator(responsive.addr, unresponsive.addr)
	o.timeout = 20 * time.Millisecond
	for { // until the unresponsive address was tried, and another one after it
		got, err := o.Phase(t.Context(), "store-1")
		if err != nil {
			t.Fatal(err)
		}
		want(t, "phase", got, "complete")
		if len(unresponsive.requests()) > 0 {
			break
		}
	}
	want(t, "request", responsive.requests()[0], "GET /api/retire/store-1  ")
}

func TestNoClearAnswerUntilContextEnds(t *testing.T) {
	a := newControlNode(t, status(503))
	o, _ := operator(a.addr)
	ctx, stop := context.WithCancel(t.Context())
	o.sleep = func(ctx context.Context, _ time.Duration) error {
		if len(a.requests()) == 4 {
			stop()
		}
		return ctx.Err()
	}
	_, err := o.Config(ctx)
	if !errors.Is(err, context.Canceled) || errors.Is(err, ErrRejected) || !strings.Contains(err.Error(), "status 503") {
		t.Fatal(err)
	}
	o.SetAddrs()
	if _, err := o.Config(t.Context()); err == nil || !strings.Contains(err.Error(), "no control address") {
		t.Fatal(err)
	}
}

func TestSleepEndsWithContext(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if err := sleep(t.Context(), time.Nanosecond); err != nil {
		t.Fatal(err)
	}
}

func TestConfigReturnsNewest(t *testing.T) {
	a := newControlNode(t, func(w http.ResponseWriter, _ *http.Request, _ int) { fmt.Fprint(w, `{"config_version":7}`) })
	o, _ := operator()
	o.SetAddrs(a.addr)
	got, err := o.Config(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	want(t, "configuration", string(got), `{"config_version":7}`)
	want(t, "request", a.requests()[0], "GET /api/config  ")
}
