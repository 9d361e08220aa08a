package proxy

import (
	"sync"
	"time"

	"larchrouter/internal/tier/admission"
	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/upstream"
)

const (
	defaultConnLimit = 64 // connections to a host, for services without conn_limit
	minConnLimit     = 4  // for services with one
)

// dispatcher gives calls their hosts: it drives load balancing and admission. It is safe for concurrent use.
type dispatcher struct {
	connLimitDivisor int
	newOracle        func(time.Duration) balancer.Oracle
	dial             upstream.Dial // nil for TCP

	mu         sync.Mutex
	balancer   *balancer.Balancer
	hosts      *discovery.List      // last applied
	config     *routing.Config      // last applied
	endpoints  map[string]*endpoint // by host id
	latencies  map[endpointKey]*latencyTables
	queues     map[string]*admission.Queue // by service
	backlogged []string                    // services whose queue is not empty
	recheck    *time.Timer                 // of scheduleRecheck; nil if none is scheduled
	closed     bool
}

// endpointKey identifies a destination across incarnations, whose latencies stay valid.
type endpointKey struct{ service, addr string }

// endpoint is one incarnation of a host to which calls may go.
type endpoint struct {
	host        *balancer.Host
	connections *upstream.Host
	latencies   *latencyTables
}

func newDispatcher(o Options) *dispatcher {
	return &dispatcher{connLimitDivisor: o.ConnLimitDivisor, newOracle: o.NewOracle, dial: o.Dial,
		balancer: balancer.New(o.Zone, o.MaxInFlight, o.Seed), endpoints: map[string]*endpoint{},
		latencies: map[endpointKey]*latencyTables{}, queues: map[string]*admission.Queue{}}
}

// update applies a new host list or configuration.
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
	for _, listed := range t.Hosts.Hosts {
		seen[endpointKey{listed.Service, listed.Addr}] = true
		d.updateEndpoint(listed)
	}
	for id, e := range d.endpoints {
		if d.balancer.Lookup(id) != e.host {
			e.connections.SetDisabled(true)
			delete(d.endpoints, id)
		}
	}
	for key := range d.latencies {
		if !seen[key] {
			delete(d.latencies, key)
		}
	}
	d.grantAll(now)
}

// updateEndpoint applies a host of the list, which the balancer has. d.mu must be held.
func (d *dispatcher) updateEndpoint(listed discovery.Host) {
	host, key := d.balancer.Lookup(listed.ID), endpointKey{listed.Service, listed.Addr}
	if d.latencies[key] == nil {
		d.latencies[key] = &latencyTables{byDeadline: map[time.Duration]balancer.Oracle{}}
	}
	limit := defaultConnLimit
	if d.config != nil && d.config.Services[listed.Service].ConnLimit > 0 {
		limit = max(minConnLimit, d.config.Services[listed.Service].ConnLimit/d.connLimitDivisor)
	}
	e := d.endpoints[listed.ID]
	if e == nil || e.host != host {
		e = &endpoint{host: host, connections: d.newHost(listed.ID, listed.Addr, limit), latencies: d.latencies[key]}
		d.endpoints[listed.ID] = e
	}
	e.connections.SetConnLimit(limit)
	if host.Usable() {
		e.connections.SetDisabled(false)
	}
}

func (d *dispatcher) newHost(id, addr string, connLimit int) *upstream.Host {
	if d.dial != nil {
		return upstream.NewHostWithDial(d.dial, id, addr, connLimit)
	}
	return upstream.NewHost(id, addr, connLimit)
}

// sweep closes idle connections to hosts that have expired.
func (d *dispatcher) sweep(now time.Time) {
	d.mu.Lock()
	hosts := make([]*upstream.Host, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		hosts = append(hosts, e.connections)
	}
	d.mu.Unlock()
	for _, h := range hosts {
		h.CloseExpiredConns(now)
	}
}

// close ends all connections to hosts that are idle and schedules no recheck any more.
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

// expectFirstEvent records that a generation goes to a host. The returned function records how long its first event took.
func (d *dispatcher) expectFirstEvent(e *endpoint, generation *balancer.Generation) (observe func(took time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls, tokens := d.balancer.ExpectFirstEvent(e.host, generation, time.Now())
	service := e.host.Service
	return func(took time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.balancer.ObserveFirstEvent(service, took, calls, tokens)
	}
}

// reportResponse records what the head of a response says about its host: its load, and whether it closes the connection.
func (d *dispatcher) reportResponse(e *endpoint, response *upstream.Response) {
	running, waiting, _, ok := response.ReportedLoad()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.ObserveClose(e.host, response.ConnClose, now)
	if ok {
		d.balancer.ReportLoad(e.host, running, waiting, now)
	}
}
