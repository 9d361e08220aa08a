package cloudapi

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/modelhost"
)

// starter starts hosts with ids in sequence.
type starter struct {
	mu    sync.Mutex
	count int
}

func (s *starter) start(service, zone string) (*modelhost.Host, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	return modelhost.New(modelhost.Options{ID: fmt.Sprint("i-", s.count), Service: service, Zone: zone})
}

func (s *starter) started() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

func order(service, zone string, desired int) string {
	return fmt.Sprintf(`{"target_service":%q,"zone_name":%q,"desired":%d}`, service, zone, desired)
}

// wantHosts fails unless the list has the hosts, as "ID:PHASE".
func wantHosts(t *testing.T, p *Platform, hosts string) {
	t.Helper()
	got, _ := readAll(t, p, "")
	want(t, "list", got, hosts)
}

func health(t *testing.T, h *modelhost.Host) int {
	t.Helper()
	resp, err := client.Get("http://" + h.Addr() + "/health")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func scale(t *testing.T, p *Platform, service, zone string, desired int) {
	t.Helper()
	want(t, "status", call(t, p, "scale", "front-1", "1", order(service, zone, desired)), 200)
}

func TestScale(t *testing.T) {
	c := &clock{now: time.Unix(100, 0)}
	s := new(starter)
	p := platform(t, Options{Now: c.Now, StartHost: s.start, BootTime: 2 * time.Second, DrainTime: time.Second})
	scale(t, p, "draft", "pier", 2)
	scale(t, p, "draft", "hill", 1)
	scale(t, p, "draft", "pier", 2) // the same again
	c.advance(2*time.Second - time.Millisecond)
	wantHosts(t, p, "")
	c.advance(time.Millisecond)
	wantHosts(t, p, "i-1:ready i-2:ready i-3:ready")
	want(t, "zones", p.Host("i-1").Options().Zone+p.Host("i-2").Options().Zone+p.Host("i-3").Options().Zone, "pierpierhill")
	want(t, "health", health(t, p.Host("i-2")), http.StatusOK)

	scale(t, p, "draft", "pier", 1)
	wantHosts(t, p, "i-1:ready i-2:draining i-3:ready")
	want(t, "health of one that drains", health(t, p.Host("i-2")), http.StatusServiceUnavailable)
	want(t, "health of one that does not", health(t, p.Host("i-1")), http.StatusOK)
	c.advance(time.Second - time.Millisecond)
	scale(t, p, "draft", "pier", 2) // the one that drains does not count
	wantHosts(t, p, "i-1:ready i-2:draining i-3:ready")
	c.advance(time.Millisecond)
	wantHosts(t, p, "i-1:ready i-3:ready")
	want(t, "the drained host is known", p.Host("i-2") != nil, false)
	scale(t, p, "draft", "hill", 0)
	scale(t, p, "draft", "pier", 1) // gives up the one that boots
	c.advance(time.Hour)
	wantHosts(t, p, "i-1:ready")
	want(t, "hosts started", s.started(), 3)
	p.Crash("i-1")
	scale(t, p, "draft", "pier", 1) // a host that crashed does not run
	c.advance(2 * time.Second)
	wantHosts(t, p, "i-1:ready i-4:ready")
	want(t, "error", p.StartErr(), nil)
}

func TestDrainingHostsAreReplaced(t *testing.T) {
	c := &clock{now: time.Unix(100, 0)}
	p := platform(t, Options{Now: c.Now, StartHost: new(starter).start, DrainTime: time.Second})
	scale(t, p, "draft", "pier", 2)
	wantHosts(t, p, "i-1:ready i-2:ready")
	scale(t, p, "draft", "pier", 1)
	scale(t, p, "draft", "pier", 2)
	wantHosts(t, p, "i-1:ready i-2:draining i-3:ready")
	p.Drain("i-1") // by the test, without an end
	scale(t, p, "draft", "pier", 2)
	c.advance(time.Second)
	wantHosts(t, p, "i-1:draining i-3:ready i-4:ready")
}

func TestScaleIsKeptWithinBounds(t *testing.T) {
	s := new(starter)
	p := platform(t, Options{StartHost: s.start, Scaling: map[string]ScaleBounds{"draft": {1, 3}, "proof": {MinCount: 1}}})
	for _, step := range []struct {
		service, zone string
		desired       int
		hosts         string
	}{
		{"draft", "pier", 9, "i-1:ready i-2:ready i-3:ready"},
		{"draft", "pier", 0, "i-1:ready"},
		{"draft", "hill", 0, "i-1:ready i-4:ready"},
		{"proof", "hill", 4, "i-1:ready i-4:ready i-5:ready i-6:ready i-7:ready i-8:ready"},
		{"proof", "hill", 0, "i-1:ready i-4:ready i-5:ready"},
		{"other", "hill", 1, "i-1:ready i-4:ready i-5:ready i-9:ready"},
		{"other", "hill", 0, "i-1:ready i-4:ready i-5:ready"},
	} {
		scale(t, p, step.service, step.zone, step.desired)
		wantHosts(t, p, step.hosts)
	}
}

func TestOrdersThatChangeNothing(t *testing.T) {
	s := new(starter)
	c := &clock{now: time.Unix(100, 0)}
	p := platform(t, Options{StartHost: s.start, FenceChecks: true, Now: c.Now})
	scale(t, p, "draft", "pier", 1)
	want(t, "a lower token", call(t, p, "scale", "front-2", "0", order("draft", "pier", 5)), 409)
	wantHosts(t, p, "i-1:ready")
	want(t, "a malformed order", call(t, p, "scale", "front-2", "2", order("draft", "pier", -5)), 400)
	wantHosts(t, p, "i-1:ready")
	p.SetDutyFault(DutyFault{Kind: DutyDown})
	want(t, "platform down", call(t, p, "scale", "front-2", "2", order("draft", "pier", 5)), 500)
	wantHosts(t, p, "i-1:ready")
	want(t, "hosts started", s.started(), 1)
	p.SetDutyFault(DutyFault{Kind: DutyLostAnswers})
	_, err := send(dutyRequest(t.Context(), p, "scale", "front-2", "2", order("draft", "pier", 2)))
	want(t, "the answer is lost", err != nil, true)
	wantHosts(t, p, "i-1:ready i-2:ready")

	none := platform(t, Options{Scaling: map[string]ScaleBounds{"draft": {1, 3}}})
	scale(t, none, "draft", "pier", 2)
	wantHosts(t, none, "")
	want(t, "record", outcomes(none), "200:true")
	want(t, "host-seconds", none.HostSeconds("draft"), 0)
}

func TestHostSeconds(t *testing.T) {
	c := &clock{now: time.Unix(100, 0)}
	s := &starter{count: 10}
	p := platform(t, Options{Now: c.Now, StartHost: s.start, BootTime: 2 * time.Second, DrainTime: time.Second})
	for _, zone := range []string{"pier", "hill"} {
		h, err := modelhost.New(modelhost.Options{ID: "i-" + zone, Service: "draft", Zone: zone})
		if err != nil {
			t.Fatal(err)
		}
		p.Add(h)
	}
	total := 0.0
	// step advances the clock, and checks that a number of hosts was paid meanwhile.
	step := func(d time.Duration, paid int) {
		t.Helper()
		c.advance(d)
		total += float64(paid) * d.Seconds()
		want(t, "host-seconds", p.HostSeconds("draft"), total)
		_, _ = list(t, p, "")
		want(t, "host-seconds after a call", p.HostSeconds("draft"), total)
	}
	step(10*time.Second, 2) // those from the start
	p.Add(p.Host("i-pier")) // again
	step(time.Second, 2)
	scale(t, p, "draft", "pier", 3)
	step(time.Second, 4) // two that boot
	scale(t, p, "draft", "pier", 2)
	step(time.Second, 3)
	step(time.Second, 3) // one serves
	scale(t, p, "draft", "pier", 0)
	step(time.Second, 3) // two drain
	step(time.Second, 1)
	p.Crash("i-hill")
	step(time.Second, 0)
	want(t, "host-seconds of another service", p.HostSeconds("proof"), 0)
	scale(t, p, "draft", "hill", 1)
	step(5*time.Second, 1)
	p.Close()
	c.advance(time.Hour)
	want(t, "host-seconds after Close", p.HostSeconds("draft"), total)
}

func TestHostFailsToStart(t *testing.T) {
	s := new(starter)
	failing := true
	c := &clock{now: time.Unix(100, 0)}
	p := platform(t, Options{Now: c.Now, BootTime: 2 * time.Second, StartHost: func(service, zone string) (*modelhost.Host, error) {
		if failing {
			return nil, errors.New("no memory")
		}
		return s.start(service, "moor")
	}})
	scale(t, p, "draft", "pier", 1)
	c.advance(3 * time.Second)
	wantHosts(t, p, "")
	want(t, "host-seconds", p.HostSeconds("draft"), 2)
	want(t, "error", p.StartErr().Error(), "start a host of draft in pier: no memory")
	failing = false
	scale(t, p, "draft", "pier", 1)
	c.advance(3 * time.Second)
	wantHosts(t, p, "")
	want(t, "error of another zone", strings.Contains(p.StartErr().Error(), "host i-1 is of draft in moor"), true)
}

func TestStartedHostMayBeAddedBefore(t *testing.T) {
	c := &clock{now: time.Unix(100, 0)}
	s := new(starter)
	var p *Platform
	p = platform(t, Options{Now: c.Now, BootTime: time.Second, StartHost: func(service, zone string) (*modelhost.Host, error) {
		h, err := s.start(service, zone)
		if err == nil {
			p.Add(h)
		}
		return h, err
	}})
	scale(t, p, "draft", "pier", 1)
	c.advance(3 * time.Second)
	wantHosts(t, p, "i-1:ready")
	want(t, "host-seconds", p.HostSeconds("draft"), 3)
}

func TestOrderedHostIsListedAfterLag(t *testing.T) {
	c := &clock{now: time.Unix(100, 0)}
	p := platform(t, Options{Now: c.Now, Lag: time.Second, BootTime: 2 * time.Second, StartHost: new(starter).start})
	scale(t, p, "draft", "pier", 1)
	c.advance(3*time.Second - time.Millisecond)
	wantHosts(t, p, "")
	c.advance(time.Millisecond)
	wantHosts(t, p, "i-1:ready")
}

func TestConcurrentOrdersDoNotStartTooManyHosts(t *testing.T) {
	s := new(starter)
	p := platform(t, Options{StartHost: s.start})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			_, _ = send(dutyRequest(t.Context(), p, "scale", "front-1", "1", order("draft", "pier", 3)))
			_, _ = send(dutyRequest(t.Context(), p, "instances", "front-1", "1", ""))
		})
	}
	wg.Wait()
	wantHosts(t, p, "i-1:ready i-2:ready i-3:ready")
	want(t, "hosts started", s.started(), 3)
}
