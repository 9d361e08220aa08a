// Package balancer is load balancing with prefix-cache affinity: it keeps what this front knows of each incarnation of a
// host and picks one for a call.
//
// Policies. A generation (PickInfo.Generation) goes to the host at which a cost model expects the first event soonest. A
// call with an affinity key goes by bounded-load rendezvous hashing. All other calls go to the least loaded host.
// Before any policy, hosts are avoided that are ejected as outliers (CallEnded) or that announce a graceful shutdown by
// closing connections (ObserveClose); if no other is left, they get calls too. A host is excluded at its capacity, which
// rises during slow start (Host.effectiveCapacity).
//
// Contract. The package is pure: it reads no clock and starts no goroutine; the same calls with the same seed give the same
// hosts. Nothing in it is safe for concurrent use; the caller serializes all calls to a Balancer and its hosts. For
// each call to a host the caller calls CallStarted, any of ExpectFirstEvent, ObserveFirstEvent, ObserveClose and
// ReportLoad, and then CallEnded exactly once. What is learnt of a host without a call needs a method of its own.
package balancer

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/discovery"
)

// Oracle is the latency table of one destination and deadline: it learns from the latencies of calls and decides when an
// attempt that may be restarted is cut. Implementations need not be safe for concurrent use.
type Oracle interface {
	// Timeout returns the time-out of the next attempt. left is the time until the deadline of the request, lastTry the
	// time-out of the attempt before (0 if this is the first). canRestart reports whether another attempt may follow.
	Timeout(left, lastTry time.Duration, canRestart bool) time.Duration
	// Served records the latency of a complete response.
	Served(took time.Duration)
	// Cut records an attempt that ended by time-out or whose connection failed.
	Cut()
}

// Outcome is what the end of a call says about its host.
type Outcome int

const (
	// Success is a complete response. It ends an ejection.
	Success Outcome = iota
	// AtCapacity is a rejection by the host, which has not run the call. The host gets no call for LoadParams.FullBackoff.
	AtCapacity
	// ConnectFailed is a connection that was refused or timed out. The first ejects the host.
	ConnectFailed
	// ResponseBroken is a response that broke off, or bytes that are none. The second in a row ejects the host.
	ResponseBroken
	// TimedOut is a call that was cut before the first byte of a response. The third in a row ejects the host.
	TimedOut
	// Misdirected is a 421 response: another host has the address. It ejects the host for EjectionParams.Misdirected.
	Misdirected
	// Inconclusive is a call whose end says nothing about the host, such as one that was cancelled.
	Inconclusive
)

// Balancer keeps the hosts of all services.
type Balancer struct {
	params            Params
	zone              string // of this front
	maxInFlight       int    // calls of this front at once, at most
	inFlight          int
	seed              uint64 // state of random
	byID              map[string]*Host
	services          map[string][]*Host    // by service, sorted by id: hosts that are listed or have calls in flight
	inFlightByService map[string]int        // calls in flight
	costModels        map[string]*costModel // by service, for those that get generations
	candidateBuffer   []*Host               // reused by candidates
}

// New returns a balancer without hosts for a front in a zone. maxInFlight bounds the calls of the front at once; seed
// breaks ties between hosts. The parameters are DefaultParams.
func New(zone string, maxInFlight int, seed uint64) *Balancer {
	return NewWithParams(zone, maxInFlight, seed, DefaultParams())
}

// NewWithParams is New with parameters, which must pass Params.Check.
func NewWithParams(zone string, maxInFlight int, seed uint64, params Params) *Balancer {
	return &Balancer{params: params, zone: zone, maxInFlight: maxInFlight, seed: seed | 1, byID: map[string]*Host{},
		services: map[string][]*Host{}, inFlightByService: map[string]int{}, costModels: map[string]*costModel{}}
}

// UpdateHosts replaces the host list. It returns the incarnations that were usable and no longer are: those that are no
// longer listed and those that drain. An unlisted host is kept until its last call has ended.
func (b *Balancer) UpdateHosts(list []discovery.Host, now time.Time) (closed []*Host) {
	seen := make(map[string]bool, len(list))
	for _, listed := range list {
		seen[listed.ID] = true
		host := b.byID[listed.ID]
		if host == nil {
			host = &Host{params: &b.params, warmup: time.Duration(listed.WarmupMs) * time.Millisecond}
			host.warmAt = now.Add(host.warmup)
			b.byID[listed.ID] = host
		}
		usable := host.Usable()
		host.setListed(listed, now)
		if usable && !host.Usable() {
			closed = append(closed, host)
		}
	}
	for id, host := range b.byID {
		if !seen[id] {
			if host.Usable() {
				closed = append(closed, host)
			}
			if host.listed = false; host.inFlight == 0 {
				delete(b.byID, id)
			}
		}
	}
	b.dropUnknownHosts()
	clear(b.services)
	for _, host := range b.byID {
		b.services[host.Service] = append(b.services[host.Service], host)
	}
	for _, hosts := range b.services { // sorted, since the order of byID is random
		slices.SortFunc(hosts, func(a, b *Host) int { return cmp.Compare(a.ID, b.ID) })
	}
	return closed
}

// Lookup returns the incarnation with an id, or nil if it is not known.
func (b *Balancer) Lookup(id string) *Host { return b.byID[id] }

// Capacity returns the slots of the usable hosts of a service and the estimated calls in them.
func (b *Balancer) Capacity(service string, now time.Time) (capacity, load float64) {
	for _, h := range b.services[service] {
		if h.Usable() {
			capacity += h.effectiveCapacity(now)
			load += min(h.Load(now), h.effectiveCapacity(now))
		}
	}
	return capacity, load
}

// InFlight returns the number of calls of this front to the hosts of a service.
func (b *Balancer) InFlight(service string) int { return b.inFlightByService[service] }

// CallStarted counts a call that goes to a host.
func (b *Balancer) CallStarted(h *Host) {
	h.inFlight++
	b.inFlight++
	b.inFlightByService[h.Service]++
}

// CallEnded counts the end of a call and applies its outcome to the host.
func (b *Balancer) CallEnded(h *Host, outcome Outcome, now time.Time) {
	h.inFlight--
	b.inFlight--
	b.inFlightByService[h.Service]--
	switch outcome {
	case Success:
		h.failures = 0
		h.ejectedUntil = time.Time{}
	case AtCapacity:
		h.fullUntil = now.Add(b.params.Load.FullBackoff)
		h.othersLoad, h.reportedAt = max(h.othersLoad, h.effectiveCapacity(now)-float64(h.inFlight)), now
	case ConnectFailed:
		h.recordFailure(now, b.params.Ejection.ConnectFailed)
	case ResponseBroken:
		h.recordFailure(now, b.params.Ejection.ResponseBroken)
	case TimedOut:
		h.recordFailure(now, b.params.Ejection.TimedOut)
	case Misdirected:
		h.ejectedUntil = now.Add(b.params.Ejection.Misdirected)
	}
	if !h.listed && h.inFlight == 0 {
		delete(b.byID, h.ID)
		b.services[h.Service] = slices.DeleteFunc(b.services[h.Service], func(other *Host) bool { return other == h })
	}
}

// ReportLoad records the load that a host reported with a response: the calls it runs and those in its queue. It is to be
// called while the call of the response still counts as in flight.
func (b *Balancer) ReportLoad(h *Host, running, waiting int, now time.Time) {
	h.othersLoad, h.reportedAt = max(0, float64(running+waiting-h.inFlight)), now
}

// ObserveClose records whether a response of a host closed its connection. A host in graceful shutdown closes with every
// response, others now and then: after EjectionParams.Closes in a row the host is avoided before the list says that it drains.
func (b *Balancer) ObserveClose(h *Host, closed bool, now time.Time) {
	if !closed {
		h.consecutiveCloses = 0
		return
	}
	if h.consecutiveCloses++; h.consecutiveCloses >= b.params.Ejection.Closes {
		h.avoidUntil = now.Add(b.params.Ejection.CloseAvoidance)
	}
}
