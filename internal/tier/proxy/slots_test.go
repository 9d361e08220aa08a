package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/routing"
)

// With all hosts at capacity calls are queued for a slot; a call that is queued for too long goes to the host's own queue, and
// beyond that is rejected early with Retry-After.
func TestLoadShedding(t *testing.T) {
	release := make(chan bool)
	h := newHost(t, "i-1", func(c *call) bool { <-release; c.respond(200, "", c.id()); return true })
	f := newFront(t, h)
	var busy []*conn
	for i := range 4 { // its capacity
		c := f.dial()
		c.send(requestText("POST", "/order/x", fmt.Sprint("busy", i), timeLeft, "x"))
		busy = append(busy, c)
	}
	eventually(t, "all slots taken", func() bool { return h.calls.Load() == 4 })
	over := f.dial() // goes to the host's own queue after its queue time-out
	over.send(requestText("POST", "/order/x", "over", timeLeft, "x"))
	eventually(t, "call beyond the slots", func() bool { return h.calls.Load() == 5 })
	begin := time.Now()
	a := f.do("POST", "/order/x", "refused", timeLeft, "x")
	want(t, "status", a.status, 503)
	if a.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if took := time.Since(begin); took < 80*time.Millisecond {
		t.Errorf("rejected after %v: it was not queued for a slot", took)
	}
	close(release)
	for _, c := range append(busy, over) {
		want(t, "status", c.read().status, 200)
	}
	want(t, "calls", h.calls.Load(), 5)
}

func TestQueueByPriority(t *testing.T) {
	release := make(chan bool)
	order := make(chan string, 10)
	h := newHost(t, "i-1", func(c *call) bool {
		order <- c.id()
		<-release
		c.respond(200, "", "")
		return true
	})
	f := newFront(t, h)
	var all []*conn
	send := func(path, id string) {
		c := f.dial()
		c.send(requestText("POST", path, id, "", "x"))
		all = append(all, c)
	}
	for i := range 4 {
		send("/calm/high/x", fmt.Sprint("busy", i))
	}
	for range 4 {
		wait(t, order, "call")
	}
	queued := func(n int) {
		eventually(t, "queue", func() bool {
			f.dispatcher.mu.Lock()
			defer f.dispatcher.mu.Unlock()
			q := f.dispatcher.queues["plain"]
			return q != nil && q.Len() == n
		})
	}
	send("/calm/low/x", "low") // priority 1
	queued(1)
	send("/calm/high/x", "high") // priority 0
	queued(2)
	release <- true
	want(t, "first", wait(t, order, "call"), "high")
	release <- true
	want(t, "second", wait(t, order, "call"), "low")
	close(release)
	for _, c := range all {
		want(t, "status", c.read().status, 200)
	}
}

// A released slot is granted to a queued call at once, not only at the next recheck.
func TestReleasedSlotIsGrantedAtOnce(t *testing.T) {
	h := newHost(t, "i-1", respondsOK(""))
	h.capacity = 1
	f := newFront(t, h)
	d := f.dispatcher
	d.mu.Lock()
	d.recheck = time.NewTimer(time.Hour) // no recheck
	d.mu.Unlock()
	q := balancer.PickInfo{Service: "plain"}
	first, _ := d.acquire(q, admissionRequest{latencyTarget: time.Second, queueTimeout: time.Second})
	got := make(chan *endpoint, 1)
	go func() {
		e, _ := d.acquire(q, admissionRequest{latencyTarget: time.Second, queueTimeout: time.Hour})
		got <- e
	}()
	eventually(t, "queued call", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.backlogged) == 1
	})
	d.release(first, balancer.Success)
	e := wait(t, got, "slot")
	want(t, "host", e, first)
	d.release(e, balancer.Success)
}

// A slot of a host that is no longer at capacity is granted to a queued call before a new one.
func TestQueuedCallGoesBeforeNewCall(t *testing.T) {
	h := newHost(t, "i-1", respondsOK(""))
	h.capacity = 1
	f := newFront(t, h)
	d := f.dispatcher
	d.mu.Lock()
	d.recheck = time.NewTimer(time.Hour) // no recheck
	d.mu.Unlock()
	q := balancer.PickInfo{Service: "plain"}
	full, _ := d.acquire(q, admissionRequest{latencyTarget: time.Second, queueTimeout: time.Second})
	d.release(full, balancer.AtCapacity)
	got := make(chan *endpoint, 1)
	go func() {
		e, _ := d.acquire(q, admissionRequest{latencyTarget: time.Second, queueTimeout: time.Hour})
		got <- e
	}()
	eventually(t, "queued call", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.backlogged) == 1
	})
	eventually(t, "capacity", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.balancer.Pick(q, time.Now()) != nil
	})
	newer, _ := d.acquire(q, admissionRequest{latencyTarget: time.Second, queueTimeout: time.Millisecond})
	e := wait(t, got, "slot")
	want(t, "host", e, full)
	want(t, "calls in flight", e.host.InFlight(), 2) // the newer one is in the host's own queue
	d.release(e, balancer.Success)
	d.release(newer, balancer.Success)
}

// Calls of programs are a class of their own, so that others on their route do not starve them.
func TestAdmissionClass(t *testing.T) {
	for header, c := range map[string]struct {
		retained    bool
		fromProgram bool
	}{"": {false, false}, "p": {false, true}, "turn": {true, false}} {
		r := &request{head: &head{header: http.Header{"Program": {header}}}, route: &routing.Route{Name: "r1", Retained: c.retained}}
		q := r.pickInfo()
		want(t, "class", q.Class, "r1")
		want(t, "from a program", q.FromProgram, c.fromProgram)
	}
}
