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

// dispatcher gives calls their hosts: the driver of load balancing and admission.
type dispatcher struct {
	connLimitDivisor int
	newOracle        func(time.Duration) balancer.Oracle
	dial             upstream.Dial // nil for TCP

	mu         sync.Mutex
	balancer   *balancer.Balancer
	hosts      *discovery.List
	config     *routing.Config
	endpoints  map[string]*endpoint // by host id
	latencies  map[endpointKey]*latencyTables
	queues     map[string]*admission.Queue
	backlogged []string    // services that calls wait for
	recheck    *time.Timer // while calls wait
	closed     bool
}

type endpointKey struct{ service, addr string }

// latencyTables is the latency latencyTables of a destination, one for each deadline of its routes.
type latencyTables struct {
	mu         sync.Mutex
	byDeadline map[time.Duration]balancer.Oracle
}

// endpoint is a host as a call has it.
type endpoint struct {
	host        *balancer.Host
	connections *upstream.Host
	latencies   *latencyTables
}

// recheckInterval is how often calls that wait are looked at though no call ended: loads fade.
const recheckInterval = 10 * time.Millisecond

func newDispatcher(c Options) *dispatcher {
	return &dispatcher{connLimitDivisor: c.ConnLimitDivisor, newOracle: c.NewOracle, dial: c.Dial, balancer: balancer.New(c.Zone, c.MaxInFlight, c.Seed), endpoints: map[string]*endpoint{},
		latencies: map[endpointKey]*latencyTables{}, queues: map[string]*admission.Queue{}}
}

// update takes in new tables.
func (d *dispatcher) update(t *feed.Tables, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.Hosts == d.hosts && t.Config == d.config || t.Hosts == nil {
		return
	}
	d.hosts, d.config = t.Hosts, t.Config
	for _, h := range d.balancer.UpdateHosts(t.Hosts.Hosts, now) {
		if e := d.endpoints[h.ID]; e != nil {
			e.connections.SetDisabled(true)
		}
	}
	seen := make(map[endpointKey]bool, len(t.Hosts.Hosts))
	for _, g := range t.Hosts.Hosts {
		h, at := d.balancer.Lookup(g.ID), endpointKey{g.Service, g.Addr}
		seen[at] = true
		if d.latencies[at] == nil {
			d.latencies[at] = &latencyTables{byDeadline: map[time.Duration]balancer.Oracle{}}
		}
		limit := 64
		if t.Config != nil && t.Config.Services[g.Service].ConnLimit > 0 {
			limit = max(4, t.Config.Services[g.Service].ConnLimit/d.connLimitDivisor)
		}
		e := d.endpoints[g.ID]
		if e == nil || e.host != h {
			e = &endpoint{host: h, connections: d.newHost(g.ID, g.Addr, limit), latencies: d.latencies[at]}
			d.endpoints[g.ID] = e
		}
		e.connections.SetConnLimit(limit)
		if h.Usable() {
			e.connections.SetDisabled(false)
		}
	}
	for id, e := range d.endpoints {
		if d.balancer.Lookup(id) != e.host {
			e.connections.SetDisabled(true)
			delete(d.endpoints, id)
		}
	}
	for at := range d.latencies {
		if !seen[at] {
			delete(d.latencies, at)
		}
	}
	d.grantAll(now)
}

func (d *dispatcher) newHost(id, addr string, limit int) *upstream.Host {
	if d.dial != nil {
		return upstream.NewHostWithDial(d.dial, id, addr, limit)
	}
	return upstream.NewHost(id, addr, limit)
}

func (d *dispatcher) sweep(now time.Time) {
	d.mu.Lock()
	all := make([]*upstream.Host, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		all = append(all, e.connections)
	}
	d.mu.Unlock()
	for _, h := range all {
		h.CloseExpiredConns(now)
	}
}

func (d *dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.recheck != nil {
		d.recheck.Stop()
	}
	for _, e := range d.endpoints {
		e.connections.SetDisabled(true)
	}
}

// oracle is the latency table for calls of a deadline.
func (d *dispatcher) oracle(e *endpoint, deadline time.Duration) balancer.Oracle {
	e.latencies.mu.Lock()
	defer e.latencies.mu.Unlock()
	o := e.latencies.byDeadline[deadline]
	if o == nil {
		o = &lockedOracle{oracle: d.newOracle(deadline)}
		e.latencies.byDeadline[deadline] = o
	}
	return o
}

// lockedOracle is an Oracle for concurrent use.
type lockedOracle struct {
	mu     sync.Mutex
	oracle balancer.Oracle
}

func (g *lockedOracle) Timeout(left, lastTry time.Duration, canRestart bool) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.oracle.Timeout(left, lastTry, canRestart)
}
func (g *lockedOracle) Served(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.oracle.Served(took)
}
func (g *lockedOracle) Cut() { g.mu.Lock(); defer g.mu.Unlock(); g.oracle.Cut() }

type waiter struct {
	info    balancer.PickInfo
	granted chan *endpoint
}

// acquire takes a slot at a host, and waits for one for so long. It gives nil when none is to be had; wait then says
// when to come back.
func (d *dispatcher) acquire(q balancer.PickInfo, rank int, finish time.Time, objective, patience time.Duration, gone <-chan struct{}) (e *endpoint, wait time.Duration) {
	now := time.Now()
	d.mu.Lock()
	queue := d.queues[q.Service]
	if queue == nil {
		queue = admission.NewQueue()
		d.queues[q.Service] = queue
	}
	if queue.Len() == 0 {
		if e := d.tryAcquire(q, now); e != nil {
			d.mu.Unlock()
			return e, 0
		}
	}
	w := &waiter{info: q, granted: make(chan *endpoint, 1)}
	kind := q.Class
	if q.FromProgram {
		kind += " called"
	}
	call := &admission.Entry{Class: kind, Priority: rank, ProgramDeadline: finish, QueueDeadline: now.Add(patience), Value: w}
	queue.Push(call)
	if !slices.Contains(d.backlogged, q.Service) {
		d.backlogged = append(d.backlogged, q.Service)
	}
	d.grantAll(now)
	d.scheduleRecheck()
	d.mu.Unlock()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case e := <-w.granted:
		return e, 0
	case <-timer.C:
	case <-gone:
	}
	now = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	queue.Remove(call)
	select {
	case e := <-w.granted: // just now
		return e, 0
	default:
	}
	select {
	case <-gone:
		return nil, 0
	default:
	}
	q.AllowHostQueue = true // it was not offered yet: to the queue of a host
	if e := d.tryAcquire(q, now); e != nil {
		queue.CountAdmitted(call)
		return e, 0
	}
	places, _ := d.balancer.Capacity(q.Service, now)
	if places == 0 {
		return nil, restartDelay() // no host is known: this relay has just started, or all have gone
	}
	return nil, admission.RetryAfter(objective, queue.Len(), places, rand.Float64())
}

// tryAcquire takes a slot now. The lock is held.
func (d *dispatcher) tryAcquire(q balancer.PickInfo, now time.Time) *endpoint {
	h := d.balancer.Pick(q, now)
	if h == nil || d.endpoints[h.ID] == nil {
		return nil
	}
	d.balancer.CallStarted(h)
	return d.endpoints[h.ID]
}

// grantAll gives free slots to the services that calls wait for, in turns: the one with the fewest calls out first. The
// lock is held.
func (d *dispatcher) grantAll(now time.Time) {
	slices.SortFunc(d.backlogged, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.balancer.InFlight(a), d.balancer.InFlight(b)), cmp.Compare(a, b))
	})
	for _, service := range d.backlogged {
		d.grantService(service, now)
	}
	d.backlogged = slices.DeleteFunc(d.backlogged, func(service string) bool { return d.queues[service].Len() == 0 })
}

// grantService gives free slots to calls that wait, in their turn. The lock is held.
func (d *dispatcher) grantService(service string, now time.Time) {
	queue := d.queues[service]
	for c := queue.Next(now); c != nil; c = queue.Next(now) {
		w := c.Value.(*waiter)
		q := w.info
		q.Contended = queue.Len() > 1
		e := d.tryAcquire(q, now)
		if e == nil {
			return
		}
		queue.Admit(c)
		w.granted <- e
	}
}

// scheduleRecheck has the queues looked at again while calls wait. The lock is held.
func (d *dispatcher) scheduleRecheck() {
	if d.recheck != nil || d.closed {
		return
	}
	d.recheck = time.AfterFunc(recheckInterval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.recheck = nil
		if d.grantAll(time.Now()); len(d.backlogged) > 0 {
			d.scheduleRecheck()
		}
	})
}

// release gives a slot back, with what the call proved.
func (d *dispatcher) release(e *endpoint, p balancer.Outcome) {
	if p == balancer.Misdirected {
		e.connections.CloseIdleConns()
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.CallEnded(e.host, p, now)
	d.grantAll(now)
}

// expectFirstEvent notes that a piece of work goes to a host; what it gives takes in how long the first event took.
func (d *dispatcher) expectFirstEvent(e *endpoint, w *balancer.Generation) func(took time.Duration) {
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

// reportResponse takes in what an answer told of its host.
func (d *dispatcher) reportResponse(e *endpoint, a *upstream.Response) {
	running, waiting, _, ok := a.ReportedLoad()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.ObserveClose(e.host, a.ConnClose, now)
	if ok {
		d.balancer.ReportLoad(e.host, running, waiting, now)
	}
}
