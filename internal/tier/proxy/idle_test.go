package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/turnstore"
)

// virtual is a front with one client connection and hosts on pipes, in virtual time.
type virtual struct {
	*Server
	t      *testing.T
	source *source
	ledger *ledger
	client net.Conn
	in     *bufio.Reader
	oracle *oracle
	hosts  sync.WaitGroup
	host   func(c net.Conn, in *bufio.Reader, r *http.Request) bool // responds to each request; false closes the connection
}

func newVirtual(t *testing.T, wrap func(net.Conn) net.Conn) *virtual {
	t.Helper()
	cfg, err := routing.Parse([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	v := &virtual{t: t, source: newSource(), ledger: &ledger{}, oracle: &oracle{}}
	v.source.set(func(tb *feed.Tables) { tb.Config, tb.Placement = cfg, &turnstore.Placement{} })
	v.Server = New(Options{Zone: "z", Source: v.source, Ledger: v.ledger, Seed: 1, Dial: v.dial,
		NewOracle: func(time.Duration) balancer.Oracle { return v.oracle }})
	near, far := net.Pipe()
	v.client, v.in = near, bufio.NewReader(near)
	if wrap != nil {
		far = wrap(far)
	}
	c := newClient(v.Server, far)
	v.clients[c] = true
	v.wg.Go(c.serve)
	t.Cleanup(func() { near.Close(); v.Close(); v.hosts.Wait(); wantNothingHeld(t, v.Server) })
	return v
}

// dialing is how long a connection to a host takes to come up.
const dialing = 50 * time.Millisecond

// dial connects to a host that responds by v.host.
func (v *virtual) dial(string, time.Duration) (net.Conn, error) {
	time.Sleep(dialing)
	near, far := net.Pipe()
	v.hosts.Go(func() {
		defer far.Close()
		in := bufio.NewReader(far)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if !v.host(far, in, r) {
				return
			}
		}
	})
	return near, nil
}

// list sets a host list with n hosts, each for both services.
func (v *virtual) list(n int) {
	var all []*host
	for i := range n {
		all = append(all, &host{id: fmt.Sprint("i-", i+1), addr: fmt.Sprint("127.0.0.1:", i+1), capacity: 4})
	}
	(&front{source: v.source}).setHosts(all...)
	v.dispatcher.update(v.source.Tables(), time.Now())
}

// ask sends a request and returns the status of the response, 0 for the end of the connection.
func (v *virtual) ask(path, id, header string) int {
	go func() { _, _ = io.WriteString(v.client, requestText("POST", path, id, header, "x")) }()
	resp, err := http.ReadResponse(v.in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (v *virtual) idle(d time.Duration) {
	c := *v.source.Tables().Config
	c.Limits.IdleTimeout = d
	v.source.set(func(tb *feed.Tables) { tb.Config = &c })
}

// The idle time-out of a connection is that of the newest configuration, and no less than the last response advertised.
func TestIdleTimeoutFollowsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, nil)
		want(t, "status", v.ask("/none/", "a", ""), 404)
		time.Sleep(12 * time.Second) // four fifths
		want(t, "status after four fifths", v.ask("/none/", "b", ""), 404)
		time.Sleep(10 * time.Second)
		v.idle(40 * time.Second)
		time.Sleep(22 * time.Second) // four fifths of the new one
		want(t, "status after four fifths of a longer time-out", v.ask("/none/", "c", ""), 404)
		v.idle(5 * time.Second)
		time.Sleep(32 * time.Second)
		want(t, "status after the advertised time-out", v.ask("/none/", "d", ""), 404)
		begin := time.Now()
		_, err := v.in.ReadByte()
		want(t, "end", err, io.EOF)
		want(t, "it was idle for", time.Since(begin), 5*time.Second+finalPeekTimeout)
	})
}

// frozen is a connection of a process that does not run while a request is received: by the next read the idle time-out is past.
type frozen struct {
	net.Conn
	reads int
	until time.Duration
}

func (f *frozen) Read(p []byte) (int, error) {
	if f.reads++; f.reads == 2 {
		time.Sleep(f.until)
		return 0, os.ErrDeadlineExceeded
	}
	return f.Conn.Read(p)
}

func TestRequestAtIdleTimeoutIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, func(c net.Conn) net.Conn { return &frozen{Conn: c, until: 16 * time.Second} })
		want(t, "status", v.ask("/none/", "a", ""), 404)
		time.Sleep(12 * time.Second)
		want(t, "status of a request received in time", v.ask("/none/", "b", ""), 404)
	})
}

// After a drain no connection is read: a client whose connection is closed unread may safely retry elsewhere.
func TestNoConnectionIsReadAfterDrain(t *testing.T) {
	f := newFront(t, newHost(t, "i-1", respondsOK("yes")))
	drained := make(chan struct{})
	f.mu.Lock()
	f.Server.drained = drained
	f.notifyDrained()
	f.mu.Unlock()
	wait(t, drained, "end of the drain")
	c := f.dial()
	_, _ = io.WriteString(c, requestText("POST", "/order/x", "a", timeLeft, "x"))
	want(t, "status", c.read().status, 0)
}

// A request gets its final response by the earlier of the deadlines of its route and its client, in whatever phase it is delayed.
func TestDeadlineIsMetInEveryPhase(t *testing.T) {
	hang := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	for name, c := range map[string]struct {
		path, header string
		within       time.Duration
		hold         func(v *virtual)
	}{
		"the stores do not respond":              {"/turn/x", "X-Time-Left-Ms: 60000\r\n", 8 * time.Second, func(v *virtual) { v.ledger.onOpen = hang }},
		"the stores do not respond, little time": {"/turn/x", "X-Time-Left-Ms: 900\r\n", 900 * time.Millisecond, func(v *virtual) { v.ledger.onOpen = hang }},
		"all hosts at capacity":                  {"/calm/high/x", "X-Time-Left-Ms: 60000\r\n", 40 * time.Second, (*virtual).fill},
		"all hosts at capacity, little time":     {"/calm/high/x", "X-Time-Left-Ms: 700\r\n", 700 * time.Millisecond, (*virtual).fill},
		"all hosts at capacity, stream":          {"/stream/x", "X-Time-Left-Ms: 60000\r\n", 8 * time.Second, (*virtual).fill},
		"no host is known":                       {"/tool/x", "X-Time-Left-Ms: 60000\r\n", 8 * time.Second, func(*virtual) {}},
		"the stores take nearly all the time": {"/turn/x", "X-Time-Left-Ms: 60000\r\n", 8 * time.Second, func(v *virtual) {
			v.ledger.onOpen = func(context.Context) error { time.Sleep(7900 * time.Millisecond); return nil }
			v.fill()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, nil)
				c.hold(v)
				begin := time.Now()
				want(t, "status", v.ask(c.path, "a", c.header), 503)
				if took := time.Since(begin); took > c.within {
					t.Errorf("answered after %v, want at most %v", took, c.within)
				}
			})
		})
	}
}

// fill lists one host for each service, with all its slots and its queue taken.
func (v *virtual) fill() {
	(&front{source: v.source}).setHosts(&host{id: "i-1", addr: "127.0.0.1:1", capacity: 1})
	v.dispatcher.update(v.source.Tables(), time.Now())
	v.dispatcher.mu.Lock()
	defer v.dispatcher.mu.Unlock()
	for _, id := range []string{"i-1", "i-1-e"} {
		for range 3 {
			v.dispatcher.balancer.CallStarted(v.dispatcher.balancer.Lookup(id))
		}
	}
}

// A disconnect cancels the opening of a turn.
func TestDisconnectDuringOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, nil)
		ended := make(chan error, 1)
		v.ledger.onOpen = func(ctx context.Context) error { <-ctx.Done(); ended <- ctx.Err(); return ctx.Err() }
		go func() { _, _ = io.WriteString(v.client, requestText("POST", "/turn/x", "a", "", "x")) }()
		begin := time.Now()
		time.Sleep(time.Second)
		v.client.Close()
		want(t, "end of the opening", <-ended, context.Canceled)
		want(t, "after", time.Since(begin), time.Second)
	})
}

// With tables that the core has not confirmed for a while, an unknown route may have been added since: 503, not 404.
func TestUnknownRouteOfStaleConfiguration(t *testing.T) {
	for age, status := range map[time.Duration]int{0: 404, time.Second: 404, 2 * time.Second: 503, time.Minute: 503} {
		synctest.Test(t, func(t *testing.T) {
			v := newVirtual(t, nil)
			v.source.set(func(tb *feed.Tables) { tb.ConfirmedAt = time.Now().Add(-age) })
			want(t, "status at "+age.String(), v.ask("/none/", "a", ""), status)
		})
	}
}
