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
	health           *healthReporter
	admission        admission.Params

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
	host        *balancer.Host // guarded by dispatcher.mu
	service     string
	zone        string
	connections *upstream.Host
	latencies   *latencyTables
}

func newDispatcher(o Options) *dispatcher {
	return &dispatcher{connLimitDivisor: o.ConnLimitDivisor, newOracle: o.NewOracle, dial: o.Dial, health: newHealthReporter(o.ReportHealth), admission: o.Admission,
		balancer: balancer.NewWithParams(o.Zone, o.MaxInFlight, o.Seed, o.Balancing), endpoints: map[string]*endpoint{},
		latencies: map[endpointKey]*latencyTables{}, queues: map[string]*admission.Queue{}}
}

// update applies a new host list or configuration.
func (d *dispatcher) update(tables *feed.Tables, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if tables.Hosts == d.hosts && tables.Config == d.config || tables.Hosts == nil {
		return
	}
	d.hosts, d.config = tables.Hosts, tables.Config
	for _, h := range d.balancer.UpdateHosts(tables.Hosts.Hosts, now) {
		if endpoint := d.endpoints[h.ID]; endpoint != nil {
			endpoint.connections.SetDisabled(true)
		}
	}
	seen := make(map[endpointKey]bool, len(tables.Hosts.Hosts))
	for _, listed := range tables.Hosts.Hosts {
		seen[endpointKey{listed.Service, listed.Addr}] = true
		d.updateEndpoint(listed)
	}
	for id, endpoint := range d.endpoints {
		if d.balancer.Lookup(id) != endpoint.host {
			endpoint.connections.SetDisabled(true)
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
	current := d.endpoints[listed.ID]
	if current == nil || current.host != host {
		current = &endpoint{host: host, service: listed.Service, zone: listed.Zone, connections: d.newHost(listed.ID, listed.Addr, limit), latencies: d.latencies[key]}
		d.endpoints[listed.ID] = current
	}
	current.connections.SetConnLimit(limit)
	if host.Usable() {
		current.connections.SetDisabled(false)
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
	for _, endpoint := range d.endpoints {
		hosts = append(hosts, endpoint.connections)
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
	for _, endpoint := range d.endpoints {
		endpoint.connections.SetDisabled(true)
	}
}

// expectFirstEvent records that a generation goes to a host. The returned function records how long its first event took.
func (d *dispatcher) expectFirstEvent(endpoint *endpoint, generation *balancer.Generation) (observe func(took time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls, tokens := d.balancer.ExpectFirstEvent(endpoint.host, generation, time.Now())
	service := endpoint.service
	return func(took time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.balancer.ObserveFirstEvent(service, took, calls, tokens)
	}
}

// reportResponse records what the head of a response says about its host: its load, and whether it closes the connection.
func (d *dispatcher) reportResponse(endpoint *endpoint, response *upstream.Response) {
	running, waiting, _, ok := response.ReportedLoad()
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.ObserveClose(endpoint.host, response.ConnClose, now)
	if ok {
		d.balancer.ReportLoad(endpoint.host, running, waiting, now)
	}
}
