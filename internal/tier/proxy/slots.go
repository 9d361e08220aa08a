package proxy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/internal/tier/admission"
	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/discovery"
)

// recheckInterval is how often queued calls are offered to the balancer although no call ended: reported loads fade, and
// ejections end.
const recheckInterval = 10 * time.Millisecond

// waiter is the value of an admission.Entry: a queued call.
type waiter struct {
	info    balancer.PickInfo
	granted chan *endpoint // of capacity 1; gets the endpoint with the slot
}

// admissionRequest is what a call brings to the admission queue.
type admissionRequest struct {
	priority        int           // 0 is the highest
	programDeadline time.Time     // zero for none
	latencyTarget   time.Duration // of the route
	queueTimeout    time.Duration
	cancelled       <-chan struct{} // closed when the client has disconnected
}

// acquire takes a slot at a host, and queues the call for one until the queue time-out or its cancellation. The caller must
// release the slot. If there is none, acquire returns nil and the time for Retry-After, 0 if the call was cancelled.
func (d *dispatcher) acquire(info balancer.PickInfo, params admissionRequest) (e *endpoint, retryAfter time.Duration) {
	now := time.Now()
	d.mu.Lock()
	queue := d.queues[info.Service]
	if queue == nil {
		queue = admission.NewQueue(&d.admission)
		d.queues[info.Service] = queue
	}
	if queue.Len() == 0 {
		if e := d.tryAcquire(info, now); e != nil {
			d.mu.Unlock()
			return e, 0
		}
	}
	waiting := &waiter{info: info, granted: make(chan *endpoint, 1)}
	entry := &admission.Entry{Class: admissionClass(info), Priority: params.priority, ProgramDeadline: params.programDeadline,
		QueueDeadline: now.Add(params.queueTimeout), Value: waiting}
	queue.Push(entry)
	if !slices.Contains(d.backlogged, info.Service) {
		d.backlogged = append(d.backlogged, info.Service)
	}
	d.grantAll(now)
	d.scheduleRecheck()
	d.mu.Unlock()
	timer := time.NewTimer(params.queueTimeout)
	defer timer.Stop()
	select {
	case e := <-waiting.granted:
		return e, 0
	case <-timer.C:
	case <-params.cancelled:
	}
	return d.leaveQueue(queue, entry, waiting, params)
}

// admissionClass returns the class of a call for fairness: its route, with calls of programs as a class of their own.
func admissionClass(info balancer.PickInfo) string {
	if info.FromProgram {
		return info.Class + " called"
	}
	return info.Class
}

// leaveQueue removes a call from its queue and offers it to the hosts' own queues, with the results of acquire.
func (d *dispatcher) leaveQueue(queue *admission.Queue, entry *admission.Entry, waiting *waiter, params admissionRequest) (
	endpoint *endpoint, retryAfter time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	queue.Remove(entry)
	select {
	case endpoint := <-waiting.granted: // since the select of acquire
		return endpoint, 0
	default:
	}
	select {
	case <-params.cancelled:
		return nil, 0
	default:
	}
	info := waiting.info
	info.AllowHostQueue = true
	if endpoint := d.tryAcquire(info, now); endpoint != nil {
		queue.CountAdmitted(entry)
		return endpoint, 0
	}
	capacity, _ := d.balancer.Capacity(info.Service, now)
	if capacity == 0 { // no host is known: this front has just started, or all hosts are down
		return nil, restartDelay()
	}
	return nil, admission.RetryAfter(params.latencyTarget, queue.Len(), capacity, rand.Float64())
}

// tryAcquire takes a slot if there is one, else returns nil. d.mu must be held.
func (d *dispatcher) tryAcquire(info balancer.PickInfo, now time.Time) *endpoint {
	info.Connected = func(h *balancer.Host) bool {
		endpoint := d.endpoints[h.ID]
		return endpoint != nil && endpoint.connections.HasIdle(info.PreferNewConn, now)
	}
	h := d.balancer.Pick(info, now)
	if h == nil || d.endpoints[h.ID] == nil {
		return nil
	}
	d.balancer.CallStarted(h)
	return d.endpoints[h.ID]
}

// release gives a slot back with the outcome of its call, and grants free slots to queued calls.
func (d *dispatcher) release(endpoint *endpoint, outcome balancer.Outcome) {
	if outcome == balancer.Misdirected {
		endpoint.connections.CloseIdleConns()
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.CallEnded(endpoint.host, outcome, now)
	d.health.record(endpoint.host.ID, outcome, endpoint.host.Phase == discovery.Probation, now)
	d.grantAll(now)
}

// grantAll grants free slots to the backlogged services, the one with the fewest calls in flight first. d.mu must be held.
func (d *dispatcher) grantAll(now time.Time) {
	slices.SortFunc(d.backlogged, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.balancer.InFlight(a), d.balancer.InFlight(b)), cmp.Compare(a, b))
	})
	for _, service := range d.backlogged {
		d.grantService(service, now)
	}
	d.backlogged = slices.DeleteFunc(d.backlogged, func(service string) bool { return d.queues[service].Len() == 0 })
}

// grantService grants free slots to the queued calls of a service in the order of the queue. d.mu must be held.
func (d *dispatcher) grantService(service string, now time.Time) {
	queue := d.queues[service]
	for entry := queue.Next(now); entry != nil; entry = queue.Next(now) {
		waiting := entry.Value.(*waiter)
		info := waiting.info
		info.Contended = queue.Len() > 1
		endpoint := d.tryAcquire(info, now)
		if endpoint == nil {
			return
		}
		queue.Admit(entry)
		waiting.granted <- endpoint
	}
}

// scheduleRecheck calls grantAll every recheckInterval while calls are queued. d.mu must be held.
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
