package proxy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"larchrouter/internal/tier/admission"
	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/upstream"
)

// dispatch gives calls their hosts: the driver of load balancing and admission.
type dispatch struct {
	share     int
	newOracle func(time.Duration) balancer.Oracle
	dial      upstream.Dial // nil for TCP

	mu       sync.Mutex
	balancer *balancer.Balancer
	hosts    *discovery.List
	config   *routing.Config
	dests    map[string]*dest // by host id
	tables   map[place]*table
	queues   map[string]*admission.Queue
	waiting  []string    // services that calls wait for
	again    *time.Timer // while calls wait
	closed   bool
}

type place struct{ service, addr string }

// table is the latency table of a destination, one for each deadline of its routes.
type table struct {
	mu sync.Mutex
	by map[time.Duration]balancer.Oracle
}

// dest is a host as a call has it.
type dest struct {
	host  *balancer.Host
	calls *upstream.Host
	table *table
}

// pumpEvery is how often calls that wait are looked at though no call ended: loads fade.
const pumpEvery = 10 * time.Millisecond

func newDispatch(c Config) *dispatch {
	return &dispatch{share: c.ConnShare, newOracle: c.NewOracle, dial: c.Dial, balancer: balancer.New(c.Zone, c.Slots, c.Seed), dests: map[string]*dest{},
		tables: map[place]*table{}, queues: map[string]*admission.Queue{}}
}

// update takes in new tables.
func (d *dispatch) update(t *feed.Tables, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.Hosts == d.hosts && t.Config == d.config || t.Hosts == nil {
		return
	}
	d.hosts, d.config = t.Hosts, t.Config
	for _, h := range d.balancer.UpdateHosts(t.Hosts.Hosts, now) {
		if e := d.dests[h.ID]; e != nil {
			e.calls.SetClosed(true)
		}
	}
	seen := make(map[place]bool, len(t.Hosts.Hosts))
	for _, g := range t.Hosts.Hosts {
		h, at := d.balancer.Lookup(g.ID), place{g.Service, g.Addr}
		seen[at] = true
		if d.tables[at] == nil {
			d.tables[at] = &table{by: map[time.Duration]balancer.Oracle{}}
		}
		limit := 64
		if t.Config != nil && t.Config.Services[g.Service].ConnLimit > 0 {
			limit = max(4, t.Config.Services[g.Service].ConnLimit/d.share)
		}
		e := d.dests[g.ID]
		if e == nil || e.host != h {
			e = &dest{host: h, calls: d.newHost(g.ID, g.Addr, limit), table: d.tables[at]}
			d.dests[g.ID] = e
		}
		e.calls.SetLimit(limit)
		if h.Usable() {
			e.calls.SetClosed(false)
		}
	}
	for id, e := range d.dests {
		if d.balancer.Lookup(id) != e.host {
			e.calls.SetClosed(true)
			delete(d.dests, id)
		}
	}
	for at := range d.tables {
		if !seen[at] {
			delete(d.tables, at)
		}
	}
	d.pumpAll(now)
}

func (d *dispatch) newHost(id, addr string, limit int) *upstream.Host {
	if d.dial != nil {
		return upstream.NewHostWith(d.dial, id, addr, limit)
	}
	return upstream.NewHost(id, addr, limit)
}

func (d *dispatch) sweep(now time.Time) {
	d.mu.Lock()
	all := make([]*upstream.Host, 0, len(d.dests))
	for _, e := range d.dests {
		all = append(all, e.calls)
	}
	d.mu.Unlock()
	for _, h := range all {
		h.Sweep(now)
	}
}

func (d *dispatch) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.again != nil {
		d.again.Stop()
	}
	for _, e := range d.dests {
		e.calls.SetClosed(true)
	}
}

// oracle is the latency table for calls of a deadline.
func (d *dispatch) oracle(e *dest, deadline time.Duration) balancer.Oracle {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	o := e.table.by[deadline]
	if o == nil {
		o = &guarded{o: d.newOracle(deadline)}
		e.table.by[deadline] = o
	}
	return o
}

// guarded is an Oracle for concurrent use.
type guarded struct {
	mu sync.Mutex
	o  balancer.Oracle
}

func (g *guarded) Timeout(left, lastTry time.Duration, canRestart bool) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.o.Timeout(left, lastTry, canRestart)
}
func (g *guarded) Served(took time.Duration) { g.mu.Lock(); defer g.mu.Unlock(); g.o.Served(took) }
func (g *guarded) Cut()                      { g.mu.Lock(); defer g.mu.Unlock(); g.o.Cut() }

type waiter struct {
	query balancer.PickInfo
	got   chan *dest
}

// acquire takes a slot at a host, and waits for one for so long. It gives nil when none is to be had; wait then says
// when to come back.
func (d *dispatch) acquire(q balancer.PickInfo, rank int, finish time.Time, objective, patience time.Duration, gone <-chan struct{}) (e *dest, wait time.Duration) {
	now := time.Now()
	d.mu.Lock()
	queue := d.queues[q.Service]
	if queue == nil {
		queue = admission.NewQueue()
		d.queues[q.Service] = queue
	}
	if queue.Len() == 0 {
		if e := d.pick(q, now); e != nil {
			d.mu.Unlock()
			return e, 0
		}
	}
	w := &waiter{query: q, got: make(chan *dest, 1)}
	kind := q.Class
	if q.FromProgram {
		kind += " called"
	}
	call := &admission.Entry{Class: kind, Priority: rank, ProgramDeadline: finish, QueueDeadline: now.Add(patience), Value: w}
	queue.Push(call)
	if !slices.Contains(d.waiting, q.Service) {
		d.waiting = append(d.waiting, q.Service)
	}
	d.pumpAll(now)
	d.arm()
	d.mu.Unlock()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case e := <-w.got:
		return e, 0
	case <-timer.C:
	case <-gone:
	}
	now = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	queue.Remove(call)
	select {
	case e := <-w.got: // just now
		return e, 0
	default:
	}
	select {
	case <-gone:
		return nil, 0
	default:
	}
	q.AllowHostQueue = true // it was not offered yet: to the queue of a host
	if e := d.pick(q, now); e != nil {
		queue.CountAdmitted(call)
		return e, 0
	}
	places, _ := d.balancer.Capacity(q.Service, now)
	if places == 0 {
		return nil, startsAgain() // no host is known: this relay has just started, or all have gone
	}
	return nil, admission.RetryAfter(objective, queue.Len(), places, rand.Float64())
}

// pick takes a slot now. The lock is held.
func (d *dispatch) pick(q balancer.PickInfo, now time.Time) *dest {
	h := d.balancer.Pick(q, now)
	if h == nil || d.dests[h.ID] == nil {
		return nil
	}
	d.balancer.CallStarted(h)
	return d.dests[h.ID]
}

// pumpAll gives free slots to the services that calls wait for, in turns: the one with the fewest calls out first. The
// lock is held.
func (d *dispatch) pumpAll(now time.Time) {
	slices.SortFunc(d.waiting, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.balancer.InFlight(a), d.balancer.InFlight(b)), cmp.Compare(a, b))
	})
	for _, service := range d.waiting {
		d.pump(service, now)
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(service string) bool { return d.queues[service].Len() == 0 })
}

// pump gives free slots to calls that wait, in their turn. The lock is held.
func (d *dispatch) pump(service string, now time.Time) {
	queue := d.queues[service]
	for c := queue.Next(now); c != nil; c = queue.Next(now) {
		w := c.Value.(*waiter)
		q := w.query
		q.Contended = queue.Len() > 1
		e := d.pick(q, now)
		if e == nil {
			return
		}
		queue.Admit(c)
		w.got <- e
	}
}

// arm has the queues looked at again while calls wait. The lock is held.
func (d *dispatch) arm() {
	if d.again != nil || d.closed {
		return
	}
	d.again = time.AfterFunc(pumpEvery, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.again = nil
		if d.pumpAll(time.Now()); len(d.waiting) > 0 {
			d.arm()
		}
	})
}

// release gives a slot back, with what the call proved.
func (d *dispatch) release(e *dest, p balancer.Outcome) {
	if p == balancer.Misdirected {
		e.calls.CloseIdle()
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.CallEnded(e.host, p, now)
	d.pumpAll(now)
}

// expect notes that a piece of work goes to a host; what it gives takes in how long the first event took.
func (d *dispatch) expect(e *dest, w *balancer.Generation) func(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls, tokens := d.balancer.ExpectFirstEvent(e.host, w, time.Now())
	service := e.host.Service
	return func(took time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.balancer.ObserveFirstEvent(service, took, calls, tokens)
	}
}

// report takes in what an answer told of its host.
func (d *dispatch) report(e *dest, a *upstream.Response) {
	running, waiting, _, ok := a.Load()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.ObserveClose(e.host, a.Close, now)
	if ok {
		d.balancer.ReportLoad(e.host, running, waiting, now)
	}
}
