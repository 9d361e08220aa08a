package appliance_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/rig"
	"larchrouter/internal/standin"
)

// drains is the number of drains in TestMistakenDrains; a long run has 2000:
// go test ./internal/relay/appliance -run Mistaken -drains 2000
var drains = flag.Int("drains", 200, "random drains under load")

// underLoad runs a load until stop is called, or the test ends. stop waits for the responses.
func underLoad(t *testing.T, l *rig.Load, rate float64) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx, rate); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// waitForOutcomes waits until every message has an outcome, and checks these against the stand-ins' ledger.
func waitForOutcomes(t *testing.T, s *rig.Site, l *rig.Load) rig.Tally {
	t.Helper()
	var tally rig.Tally
	eventually(t, "every message has ended", func() bool {
		st, err := s.Control.Status(t.Context())
		return err == nil && st.Held == 0
	})
	tally, err := l.Count(t.Context(), l.Accepted(), s.Ledger)
	if err != nil {
		t.Fatal(err)
	}
	for _, why := range tally.Why {
		t.Log("failed: ", why)
	}
	if tally.Open+tally.Unknown > 0 || len(tally.Wrong) > 0 || len(l.Errors()) > 0 {
		t.Errorf("%v; wrong %v; errors %v", tally, tally.Wrong, l.Errors())
	}
	return tally
}

// Endpoints are drained by mistake, under load: no request whose first byte is later than 250 ms after the
// acknowledgement reaches the endpoint, by the stand-in's record. Once undrained it gets requests within a
// second, and is healthy as before.
func TestMistakenDrains(t *testing.T) {
	const workers = 20
	var partners []rig.Partner
	for i := range workers { // half of them with one endpoint, which must get messages again
		p := rig.Partner{Name: fmt.Sprint("p", i), Kind: "separate", Classes: []string{"job-order", "status-update", "payment"},
			Zones: []string{"taller"}, Behaviour: standin.Behaviour{Latency: 10 * time.Millisecond}}
		if i%2 == 1 {
			p.Zones = append(p.Zones, "oficinas")
		}
		partners = append(partners, p)
	}
	s, l := newSite(t, rig.Options{Partners: partners, Keep: true, Change: func(f *config.File) {
		f.Ends.Keep, f.Limits.DiskMB = 500_000, 2000
	}})
	stop := underLoad(t, l, 20*workers)
	type drainSpan struct{ acknowledged, undrain, undrained time.Time }
	var mu sync.Mutex
	spans := map[string][]drainSpan{}
	var wg sync.WaitGroup
	for w := range workers {
		seed := rand.Uint64()
		t.Logf("worker %d: seed %d", w, seed)
		rnd := rand.New(rand.NewPCG(seed, 0))
		wg.Go(func() {
			c := adminapi.Dial(s.App.Socket())
			defer c.Close()
			for range (*drains + workers - 1) / workers {
				time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
				ep := fmt.Sprintf("p%d-%d", w, 1+rnd.IntN(1+w%2))
				q := adminapi.DrainRequest{Target: "endpoint:" + ep, By: "test", AllowLast: true}
				if _, err := c.Drain(t.Context(), q); err != nil {
					t.Error(err)
					return
				}
				span := drainSpan{acknowledged: time.Now()}
				time.Sleep(300*time.Millisecond + time.Duration(rnd.IntN(100))*time.Millisecond)
				span.undrain = time.Now() // no request may arrive before this
				if _, err := c.Undrain(t.Context(), q); err != nil {
					t.Error(err)
					return
				}
				span.undrained = time.Now()
				mu.Lock()
				spans[ep] = append(spans[ep], span)
				mu.Unlock()
				for end := time.Now().Add(2 * time.Second); isSingle(ep) && time.Now().Before(end) && s.Hosts[ep].LastCallAt().Before(span.undrain); {
					time.Sleep(2 * time.Millisecond) // wait for its next request before the next drain
				}
			}
		})
	}
	wg.Wait()
	stop()
	n, worst, slowest := 0, time.Duration(0), time.Duration(0)
	for ep, endpointSpans := range spans {
		calls := s.Hosts[ep].Calls()
		for _, span := range endpointSpans {
			n++
			var first time.Time
			for _, c := range calls {
				if late := c.FirstByte.Sub(span.acknowledged); late > 0 && c.FirstByte.Before(span.undrain) {
					if worst = max(worst, late); late > 250*time.Millisecond {
						t.Errorf("%s got %s %v after the drain was acknowledged", ep, c.ID, late)
					}
				}
				if c.FirstByte.After(span.undrain) && (first.IsZero() || c.FirstByte.Before(first)) {
					first = c.FirstByte
				}
			}
			if isSingle(ep) {
				took := first.Sub(span.undrained)
				if slowest = max(slowest, took); first.IsZero() || took > time.Second {
					t.Errorf("%s got a request again after %v, 1 s is allowed", ep, took)
				}
			}
		}
	}
	all, err := s.Control.Partners(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range all {
		for _, e := range p.Endpoints {
			if e.Health != "healthy" || e.State != "open" {
				t.Errorf("%s is %s, %s (%s): it was never unhealthy", e.ID, e.State, e.Health, e.Why)
			}
		}
	}
	t.Logf("%d drains; the latest first byte came %v after an acknowledgement, the slowest return took %v; %v",
		n, worst, slowest, waitForOutcomes(t, s, l))
	if n < *drains {
		t.Errorf("%d drains, want %d", n, *drains)
	}
}

// isSingle reports whether an endpoint of TestMistakenDrains is its partner's only one.
func isSingle(ep string) bool {
	var p, e int
	fmt.Sscanf(ep, "p%d-%d", &p, &e)
	return p%2 == 0
}

// An endpoint that was unhealthy when it was drained is unhealthy when it is undrained.
func TestUndrainKeepsHealth(t *testing.T) {
	s, l := newSite(t, rig.Options{})
	s.Hosts["courier-1"].Down()
	submit(t, l, "a", "status-update", "courier")
	health := func() string {
		all, err := s.Control.Partners(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return all[1].Endpoints[0].Health
	}
	eventually(t, "the endpoint is suspect", func() bool { return health() == "suspect" })
	q := adminapi.DrainRequest{Target: "partner:courier", By: "test"}
	if _, err := s.Control.Drain(t.Context(), q); err != nil {
		t.Fatal(err)
	}
	if err := s.Hosts["courier-1"].Up(); err != nil {
		t.Fatal(err)
	}
	a, err := s.Control.Undrain(t.Context(), q)
	if err != nil || !a.Unhealthy {
		t.Fatalf("%+v, %v: want it to report that the endpoint is unhealthy", a, err)
	}
	if h := health(); h == "healthy" {
		t.Error("an unhealthy endpoint became healthy by a drain and an undrain")
	}
	waitForState(t, l, "a", adminapi.Delivered)
}

// Calls in flight at the time of a drain are completed, and each of their messages has one outcome.
func TestDrainCompletesCallsInFlight(t *testing.T) {
	s, l := newSite(t, rig.Options{Keep: true})
	for _, h := range []string{"pay-1", "pay-2"} {
		s.Hosts[h].Set(standin.Behaviour{Latency: 400 * time.Millisecond})
	}
	for i := range 5 {
		submit(t, l, fmt.Sprint("m", i), "payment", "pay")
	}
	eventually(t, "calls are in flight", func() bool { n, _ := s.Ledger.Total(); return n > 0 })
	before, _ := s.Ledger.Total()
	a, err := s.Control.Drain(t.Context(), adminapi.DrainRequest{Target: "partner:pay", By: "test"})
	if err != nil || a.Out == 0 {
		t.Fatalf("%+v, %v", a, err)
	}
	eventually(t, "the calls have ended", func() bool {
		all, err := s.Control.Partners(t.Context())
		return err == nil && all[0].Out == 0
	})
	delivered := 0
	for i := range 5 {
		m := messageState(t, l, fmt.Sprint("m", i))
		if m.State == adminapi.Delivered {
			delivered++
		}
		for _, at := range m.Attempts {
			if at.Outcome != "delivered" && at.Outcome != "not sent" {
				t.Errorf("%s: an attempt ended as %q", m.ID, at.Outcome)
			}
		}
	}
	if after, _ := s.Ledger.Total(); delivered != after || after < before {
		t.Errorf("%d delivered, %d took effect", delivered, after)
	}
	if _, err := s.Control.Undrain(t.Context(), adminapi.DrainRequest{Target: "partner:pay"}); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		waitForState(t, l, fmt.Sprint("m", i), adminapi.Delivered)
		if n := s.Ledger.Effects(fmt.Sprint("m", i)); n != 1 {
			t.Errorf("m%d took effect %d times", i, n)
		}
	}
}

// The results that the operator meets at the socket.
func TestDrainResults(t *testing.T) {
	s, _ := newSite(t, rig.Options{})
	for _, c := range []struct {
		undrain bool
		q       adminapi.DrainRequest
		result  string
		code    string
	}{
		{false, adminapi.DrainRequest{Target: "endpoint:courier-1"}, "", adminapi.Conflict},
		{false, adminapi.DrainRequest{Target: "endpoint:courier-1", DryRun: true}, "", ""},
		{false, adminapi.DrainRequest{Target: "endpoint:pay-1"}, "drained", ""},
		{false, adminapi.DrainRequest{Target: "endpoint:pay-1"}, "already drained", ""},
		{false, adminapi.DrainRequest{Target: "endpoint:pay-2"}, "", adminapi.Conflict},
		{false, adminapi.DrainRequest{Target: "partner:pay"}, "drained", ""},
		{true, adminapi.DrainRequest{Target: "endpoint:pay-1"}, "still drained", ""},
		{true, adminapi.DrainRequest{Target: "partner:pay", DryRun: true}, "", ""},
		{true, adminapi.DrainRequest{Target: "partner:pay"}, "undrained", ""},
		{true, adminapi.DrainRequest{Target: "partner:pay"}, "not drained", ""},
		{false, adminapi.DrainRequest{Target: "partner:nobody"}, "", adminapi.NotFound},
		{false, adminapi.DrainRequest{Target: "nonsense"}, "", adminapi.Invalid},
		{false, adminapi.DrainRequest{Target: "relay", WithinMs: 5}, "", adminapi.Invalid},
		{false, adminapi.DrainRequest{Target: "relay", By: strings.Repeat("x", 101)}, "", adminapi.Invalid},
		{false, adminapi.DrainRequest{Target: "relay"}, "drained", ""},
		{true, adminapi.DrainRequest{Target: "relay"}, "undrained", ""},
	} {
		do, name := s.Control.Drain, "drain"
		if c.undrain {
			do, name = s.Control.Undrain, "undrain"
		}
		a, err := do(t.Context(), c.q)
		if a.Result != c.result || (c.code == "") != (err == nil) || c.code != "" && !adminapi.IsCode(err, c.code) {
			t.Errorf("%s %+v: %q, %v; want %q, %q", name, c.q, a.Result, err, c.result, c.code)
		}
	}
}

// A drain of the relay with an unresponsive partner ends in bounded time and lists the pending messages. The
// relay delivers them after the next start, and is still drained.
func TestDrainOfRelay(t *testing.T) {
	s, l := newSite(t, rig.Options{})
	s.Hosts["courier-1"].Set(standin.Behaviour{Refuse: true, RetryAfter: 4 * time.Second})
	submit(t, l, "left", "status-update", "courier")
	submit(t, l, "done", "payment", "pay")
	eventually(t, "the courier asked for a wait", func() bool { return messageState(t, l, "left").Tries > 0 })
	begin := time.Now()
	if _, err := s.Control.Drain(t.Context(), adminapi.DrainRequest{Target: "relay", WithinMs: 1000, By: "test"}); err != nil {
		t.Fatal(err)
	}
	if got := submit(t, l, "new", "payment", "pay"); got != 503 {
		t.Errorf("a new message: status %d, want 503", got)
	}
	var st adminapi.Status
	eventually(t, "the drain is over", func() bool {
		var err error
		st, err = s.Control.Status(t.Context())
		return err == nil && st.Phase == "drained"
	})
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("over after %v, 1 s was allowed", took)
	}
	if st.Left == nil || st.Left.Messages != 1 || fmt.Sprint(st.Left.IDs) != "[left]" || st.Left.Partners["courier"] != 1 {
		t.Errorf("left: %+v", st.Left)
	}
	waitForState(t, l, "done", adminapi.Delivered)
	begin = time.Now()
	s.App.Stop("test")
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("the stop of a drained relay took %v", took)
	}
	s.Hosts["courier-1"].Set(standin.Behaviour{})
	if err := s.Start(nil); err != nil {
		t.Fatal(err)
	}
	l.Addr = s.App.Addr()
	waitForState(t, l, "left", adminapi.Delivered)
	if got := submit(t, l, "new", "payment", "pay"); got != 503 {
		t.Errorf("after the restart: status %d, want 503, as it is still drained", got)
	}
	if _, err := s.Control.Undrain(t.Context(), adminapi.DrainRequest{Target: "relay"}); err != nil {
		t.Fatal(err)
	}
	if got := submit(t, l, "new", "payment", "pay"); got != 202 {
		t.Errorf("after the undrain: status %d, want 202", got)
	}
}

// A stop while an endpoint hangs ends in bounded time. Pending messages are delivered after the next start.
func TestStopWithUnresponsivePartner(t *testing.T) {
	s, l := newSite(t, rig.Options{})
	s.Hosts["courier-1"].Set(standin.Behaviour{Hang: true})
	submit(t, l, "hung", "status-update", "courier")
	eventually(t, "its call is in flight", func() bool { return s.Ledger.Effects("hung") == 1 })
	begin := time.Now()
	a, err := s.Control.Stop(t.Context(), adminapi.StopRequest{By: "test", WithinMs: 1000})
	if err != nil || a.Left.Messages != 1 || a.Left.Calls != 1 {
		t.Fatalf("%+v, %v", a, err)
	}
	<-s.App.Done()
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("stopped after %v, 1 s was allowed", took)
	}
	s.Hosts["courier-1"].Set(standin.Behaviour{})
	if err := s.Start(nil); err != nil {
		t.Fatal(err)
	}
	l.Addr = s.App.Addr()
	if m := waitForState(t, l, "hung", adminapi.Delivered); len(m.Attempts) < 2 ||
		!strings.HasPrefix(m.Attempts[0].Outcome, "not recorded") {
		t.Errorf("%+v", m)
	}
}

// Clients of the control socket that hang, flood it and send garbage while the relay delivers messages: no
// message is late or lost, and operators get responses.
func TestHostileControlClients(t *testing.T) {
	s, l := newSite(t, rig.Options{})
	stop := underLoad(t, l, 50)
	eventually(t, "messages pass", func() bool { return len(l.Accepted()) > 50 })
	baseline, _ := l.Latency(0, 0.5, 0.99)
	from := len(l.Accepted())
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	raw := func() net.Conn {
		c, err := net.Dial("unix", s.App.Socket())
		if err != nil {
			t.Error(err)
			return nil
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
	for i := range 20 { // request everything and read nothing, send nothing, or disconnect during the response
		wg.Go(func() {
			c := raw()
			if c == nil {
				return
			}
			defer c.Close()
			if i%3 > 0 {
				fmt.Fprint(c, strings.Repeat("GET /v1/messages?ended=true&limit=500 HTTP/1.1\r\nHost: x\r\n\r\n", 20))
			}
			if i%3 == 2 {
				c.Read(make([]byte, 10))
				return
			}
			<-ctx.Done()
		})
	}
	var busy, served int
	var mu sync.Mutex
	for range 1000 { // all at once
		wg.Go(func() {
			c := raw()
			if c == nil {
				return
			}
			defer c.Close()
			fmt.Fprint(c, "GET /v1/partners HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			line, _ := bufio.NewReader(c).ReadString('\n')
			mu.Lock()
			defer mu.Unlock()
			switch {
			case strings.Contains(line, "200"):
				served++
			case strings.Contains(line, "429"):
				busy++
			}
		})
	}
	for _, text := range []string{"\x00\xff\xfe garbage\r\n\r\n",
		"POST /v1/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n{{{{{",
		"POST /v1/stop HTTP/1.1\r\nHost: x\r\nContent-Length: 14\r\n\r\n{\"unknown\":1}\n",
		"GET /v1/messages?limit=-1 HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /v2/status HTTP/1.1\r\nHost: x\r\n\r\n", "DELETE /v1/messages/m1 HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /v1/messages?partnr=pay HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /v1/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n{"} {
		wg.Go(func() {
			c := raw()
			if c == nil {
				return
			}
			defer c.Close()
			io.WriteString(c, text)
			line, _ := bufio.NewReader(c).ReadString('\n')
			if strings.Contains(line, " 200 ") || strings.Contains(line, " 202 ") {
				t.Errorf("%q was answered %q", text, line)
			}
		})
	}
	wg.Wait()
	if _, err := s.Control.Status(t.Context()); err != nil {
		t.Errorf("the operator: %v", err)
	}
	stop()
	worst, n := l.Latency(from, 0.5, 0.99, 1)
	t.Logf("202 before: median %v, p99 %v; under it: median %v, p99 %v, worst %v of %d; of 1000 at once %d were served, %d told to retry",
		baseline[0], baseline[1], worst[0], worst[1], worst[2], n, served, busy)
	if n < 100 || worst[2] > 400*time.Millisecond { // a client waits so long for the 202
		t.Errorf("of %d messages one was answered after %v", n, worst[2])
	}
	if served == 0 || served+busy < 900 {
		t.Errorf("of 1000 requests %d were served and %d told to retry", served, busy)
	}
	if tally := waitForOutcomes(t, s, l); tally.Delivered != len(l.Accepted()) {
		t.Errorf("%v of %d", tally, len(l.Accepted()))
	}
}
