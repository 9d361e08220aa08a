// Package balancer is load balancing with prefix affinity: it keeps what this relay knows of each incarnation of a host and
// picks one for a call. It is pure: time and events go in, a host comes out. It is not safe for concurrent use.
package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"larchrouter/internal/tier/discovery"
)

// Oracle is the latency table of one destination: how long a call there may run before it is cut.
type Oracle interface {
	// Timeout for the next try, with so much time left, after a try that was given lastTry (0 for none).
	Timeout(left, lastTry time.Duration, canRestart bool) time.Duration
	Served(took time.Duration) // a served latency
	Cut()                      // a time-out or a failed connection
}

// Outcome is what the end of a call says about its host.
type Outcome int

// The proofs.
const (
	Success      Outcome = iota // a whole answer
	AtCapacity                   // it said that it had no room, and did not run the call
	ConnectFailed                // a connection was refused, or hung
	ResponseBroken                 // it broke off an answer, or sent bytes that are none
	TimedOut                   // a call was cut without a byte of an answer
	Misdirected              // 421: another host is at the address
	Inconclusive                // the call ended for reasons of its own
)

const (
	loadFadeTime   = 2 * time.Second        // a reported load fades over this time
	fullBackoff    = 40 * time.Millisecond  // a host that said it is full gets no call for this long
	minEjection = 250 * time.Millisecond // doubled with each proof in a row
	maxEjection  = 4 * time.Second
	misdirectedEjection    = 5 * time.Second // a host whose address another one answered at is not asked
	connectFailedThreshold = 1               // proofs in a row, from which on a host is ejected
	responseBrokenThreshold  = 2
	timedOutThreshold    = 3
	slowStartReduction  = 0.5              // of its capacity that a cold host gets at first
	otherZonePenalty   = 0.1              // by how much fuller a host in the own zone may be
	affinityMaxLoad   = 0.7              // of its capacity up to which a host gets calls for its cache's sake
	affinityLoadFactor      = 1.5              // times the mean load up to which it does
	affinityMinBound = 6.0              // calls that are no load to speak of
	hostQueueShare = 0.25             // of its capacity that a host queues beyond its slots
	maxHostShare       = 3.0 / 4          // of the slots that one destination holds
	contendedHostShare   = 1.0 / 2          // while others wait
	failureMemory     = 10 * time.Second // proofs older than this do not add up
	closeThreshold = 2                // answers in a row that close their connection, from which on a host may be leaving
	closeAvoidTime = 2 * time.Second  // a host that may be leaving is asked again after this
)

// Host is one incarnation.
type Host struct {
	discovery.Host
	inFlight      int // calls of this relay under way
	othersLoad   float64
	reportedAt     time.Time // when others was reported
	fullUntil     time.Time // it has no room until then
	ejectedUntil  time.Time // until then
	avoidUntil  time.Time // it may be, until then
	failures  int
	lastFailureAt   time.Time
	listed   bool
	consecutiveCloses   int // answers in a row that closed their connection
	warmAt     time.Time
	warmup     time.Duration
	draining bool
}

// InFlight is how many calls of this relay are under way at the host.
func (h *Host) InFlight() int { return h.inFlight }

// Usable tells whether the list still lets new calls go there.
func (h *Host) Usable() bool { return h.listed && !h.draining }

// Load estimates the calls at the host: the own ones, and those of others as it reported them.
func (h *Host) Load(now time.Time) float64 {
	load := float64(h.inFlight)
	if age := now.Sub(h.reportedAt); h.othersLoad > 0 && age < loadFadeTime {
		load += h.othersLoad * (1 - float64(age)/float64(loadFadeTime))
	}
	return load
}

// effectiveCapacity is the capacity that counts at this time.
func (h *Host) effectiveCapacity(now time.Time) float64 {
	capacity := float64(max(1, h.Capacity))
	if left := h.warmAt.Sub(now); left > 0 && h.warmup > 0 {
		capacity = max(1, capacity*(1-slowStartReduction*float64(left)/float64(h.warmup)))
	}
	return capacity
}

// Balancer knows the hosts.
type Balancer struct {
	zone     string
	maxInFlight    int // calls that this relay has out at once, at most
	inFlight      int
	seed     uint64
	byID     map[string]*Host
	services map[string][]*Host // listed or with calls under way
	inFlightByService    map[string]int     // calls under way by service
	costModels  map[string]*costModel // by service, where generations go
	candidateBuffer  []*Host
}

// New makes a balancer for a relay in a zone that has at most so many calls out at once. The seed breaks ties.
func New(zone string, slots int, seed uint64) *Balancer {
	return &Balancer{zone: zone, maxInFlight: slots, seed: seed | 1, byID: map[string]*Host{}, services: map[string][]*Host{}, inFlightByService: map[string]int{}, costModels: map[string]*costModel{}}
}

// UpdateHosts takes in the platform's list and tells which incarnations are no longer on it, and which drain.
func (b *Balancer) UpdateHosts(list []discovery.Host, now time.Time) (closed []*Host) {
	seen := make(map[string]bool, len(list))
	for _, listed := range list {
		seen[listed.ID] = true
		host := b.byID[listed.ID]
		if host == nil {
			host = &Host{warmup: time.Duration(listed.WarmupMs) * time.Millisecond}
			host.warmAt = now.Add(host.warmup)
			b.byID[listed.ID] = host
		}
		usable := host.Usable()
		host.Host, host.listed, host.draining = listed, true, listed.Phase != discovery.Ready
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
	for _, hosts := range b.services { // one order, whatever that of the map
		slices.SortFunc(hosts, func(a, b *Host) int { return cmp.Compare(a.ID, b.ID) })
	}
	return closed
}

// Lookup gives the incarnation of an id, nil if it is not known.
func (b *Balancer) Lookup(id string) *Host { return b.byID[id] }

// Capacity is how many slots the usable hosts of a service have, and how many calls are estimated at them.
func (b *Balancer) Capacity(service string, now time.Time) (capacity, load float64) {
	for _, h := range b.services[service] {
		if h.Usable() {
			capacity += h.effectiveCapacity(now)
			load += min(h.Load(now), h.effectiveCapacity(now))
		}
	}
	return capacity, load
}

// PickInfo is what is asked for.
type PickInfo struct {
	Service string
	Class    string   // of request; for admission, which serves no kind much less often than all
	FromProgram  bool     // by a program, as a tool: such calls are a kind of their own
	Program string   // calls of one program go to one host, for its cache
	PromptPrefix  string   // the shared part of the prompt, where no program is named
	Tried   []string // ids of hosts that had the call
	Generation    *Generation    // of a generation, nil for other calls
	AllowHostQueue    bool     // also to the queue of a host, beyond its slots
	Contended bool     // other calls wait for a slot
}

// Pick chooses the host for a call. It gives nil while all are at capacity, or none is known.
func (b *Balancer) Pick(info PickInfo, now time.Time) *Host {
	if b.inFlight >= b.maxInFlight {
		return nil
	}
	singleHost := b.hasSingleHost(info.Service)
	candidates := slices.DeleteFunc(b.candidates(info, now), func(h *Host) bool { return !b.hasSlot(h, info, now, singleHost) })
	if len(candidates) == 0 {
		return nil
	}
	if info.Generation != nil {
		return b.pickCheapest(candidates, info, now)
	}
	if key := cmp.Or(info.Program, info.PromptPrefix); key != "" && !info.AllowHostQueue {
		if h := b.pickByAffinity(candidates, key, now); h != nil {
			return h
		}
	}
	return b.pickLeastLoaded(candidates, now)
}

// candidates are the hosts that may be asked: those in good standing that did not have the call; where there is none, one
// in doubt is better than nothing, and then one that had it.
func (b *Balancer) candidates(info PickInfo, now time.Time) []*Host {
	candidates := b.candidateBuffer[:0]
	for pass := 0; pass < 3 && len(candidates) == 0; pass++ {
		for _, h := range b.services[info.Service] {
			if h.Usable() && (pass > 0 || !now.Before(h.ejectedUntil) && !now.Before(h.avoidUntil)) && (pass > 1 || !slices.Contains(info.Tried, h.ID)) {
				candidates = append(candidates, h)
			}
		}
	}
	b.candidateBuffer = candidates
	return candidates
}

// hasSingleHost tells whether a service has one host only.
func (b *Balancer) hasSingleHost(service string) bool {
	n := 0
	for _, h := range b.services[service] {
		if h.Usable() {
			n++
		}
	}
	return n < 2
}

// hasSlot tells whether a host has a slot for a call, and the relay one for the host.
func (b *Balancer) hasSlot(h *Host, info PickInfo, now time.Time, singleHost bool) bool {
	capacity := h.effectiveCapacity(now)
	if info.AllowHostQueue {
		capacity += max(1, hostQueueShare*capacity)
	}
	if h.Load(now) >= capacity || now.Before(h.fullUntil) && !info.AllowHostQueue {
		return false
	}
	callsWithThis := float64(h.inFlight + 1)
	switch {
	case singleHost || callsWithThis <= 1:
		return true
	case info.Contended:
		return callsWithThis <= contendedHostShare*float64(b.maxInFlight)
	}
	return callsWithThis < maxHostShare*float64(b.maxInFlight)
}

// pickByAffinity is bounded-load rendezvous hashing: the first host in the key's order that is not loaded beyond the others.
func (b *Balancer) pickByAffinity(candidates []*Host, key string, now time.Time) *Host {
	totalLoad, capacity := 0.0, 0.0
	for _, h := range candidates {
		totalLoad += h.Load(now)
		capacity += h.effectiveCapacity(now)
	}
	var best *Host
	bestSameZone, bestScore := false, uint64(0)
	for _, h := range candidates {
		bound := min(affinityMaxLoad*h.effectiveCapacity(now), max(affinityMinBound, affinityLoadFactor*(totalLoad+1)*h.effectiveCapacity(now)/capacity))
		if h.Load(now) >= bound {
			continue
		}
		sameZone, score := h.Zone == b.zone, rendezvousScore(key, h.ID)
		if best == nil || sameZone && !bestSameZone || sameZone == bestSameZone && score > bestScore {
			best, bestSameZone, bestScore = h, sameZone, score
		}
	}
	return best
}

func rendezvousScore(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// pickLeastLoaded takes the host with the smallest part of its slots taken; the own zone's may be a little fuller.
func (b *Balancer) pickLeastLoaded(candidates []*Host, now time.Time) *Host {
	var best *Host
	lowest, ties := math.Inf(1), uint64(0)
	for _, h := range candidates {
		utilization := (h.Load(now) + 1) / h.effectiveCapacity(now)
		if h.Zone != b.zone {
			utilization += otherZonePenalty
		}
		switch {
		case utilization < lowest-1e-9:
			best, lowest, ties = h, utilization, 1
		case utilization < lowest+1e-9:
			if ties++; b.random()%ties == 0 {
				best = h
			}
		}
	}
	return best
}

func (b *Balancer) random() uint64 { // xorshift
	b.seed ^= b.seed << 13
	b.seed ^= b.seed >> 7
	b.seed ^= b.seed << 17
	return b.seed >> 11
}

// CallStarted notes a call that goes to a host.
func (b *Balancer) CallStarted(h *Host) {
	h.inFlight++
	b.inFlight++
	b.inFlightByService[h.Service]++
}

// InFlight is how many calls are under way to the hosts of a service.
func (b *Balancer) InFlight(service string) int { return b.inFlightByService[service] }

// ReportLoad takes in the load that a host told with an answer, while the call it answered still counts as out.
func (b *Balancer) ReportLoad(h *Host, running, waiting int, now time.Time) {
	h.othersLoad, h.reportedAt = max(0, float64(running+waiting-h.inFlight)), now
}

// ObserveClose notes whether an answer of a host closed its connection. Hosts that leave do so with each answer, others now and
// then: one that does so again and again is leaving, before the list says so.
func (b *Balancer) ObserveClose(h *Host, closed bool, now time.Time) {
	if !closed {
		h.consecutiveCloses = 0
		return
	}
	if h.consecutiveCloses++; h.consecutiveCloses >= closeThreshold {
		h.avoidUntil = now.Add(closeAvoidTime)
	}
}

// CallEnded notes the end of a call and what it proves.
func (b *Balancer) CallEnded(h *Host, outcome Outcome, now time.Time) {
	h.inFlight--
	b.inFlight--
	b.inFlightByService[h.Service]--
	switch outcome {
	case Success:
		h.failures = 0
		h.ejectedUntil = time.Time{}
	case AtCapacity:
		h.fullUntil = now.Add(fullBackoff)
		h.othersLoad, h.reportedAt = max(h.othersLoad, h.effectiveCapacity(now)-float64(h.inFlight)), now
	case ConnectFailed:
		h.recordFailure(now, connectFailedThreshold)
	case ResponseBroken:
		h.recordFailure(now, responseBrokenThreshold)
	case TimedOut:
		h.recordFailure(now, timedOutThreshold)
	case Misdirected:
		h.ejectedUntil = now.Add(misdirectedEjection)
	}
	if !h.listed && h.inFlight == 0 {
		delete(b.byID, h.ID)
		b.services[h.Service] = slices.DeleteFunc(b.services[h.Service], func(other *Host) bool { return other == h })
	}
}

func (h *Host) recordFailure(now time.Time, threshold int) {
	if now.Sub(h.lastFailureAt) > failureMemory {
		h.failures = 0
	}
	h.failures++
	h.lastFailureAt = now
	if excess := h.failures - threshold; excess >= 0 {
		if until := now.Add(min(maxEjection, minEjection<<min(excess, 8))); until.After(h.ejectedUntil) {
			h.ejectedUntil = until
		}
	}
}

// PickTarget picks among weighted ones by a key: the same key goes the same way.
func PickTarget(weights []int, key string) int {
	sum := 0
	for _, weight := range weights {
		sum += weight
	}
	if sum <= 0 {
		return 0
	}
	remaining := int(xxhash.Sum64String(key) % uint64(sum))
	for i, weight := range weights {
		if remaining -= weight; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}
