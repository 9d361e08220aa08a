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

// Proof is what the end of a call says about its host.
type Proof int

// The proofs.
const (
	Good      Proof = iota // a whole answer
	Full                   // it said that it had no room, and did not run the call
	Refused                // a connection was refused, or hung
	Broken                 // it broke off an answer, or sent bytes that are none
	Late                   // a call was cut without a byte of an answer
	Elsewhere              // 421: another host is at the address
	Unknown                // the call ended for reasons of its own
)

const (
	freshFor   = 2 * time.Second        // a reported load fades over this time
	fullFor    = 40 * time.Millisecond  // a host that said it is full gets no call for this long
	ejectLeast = 250 * time.Millisecond // doubled with each proof in a row
	ejectMost  = 4 * time.Second
	awayFor    = 5 * time.Second // a host whose address another one answered at is not asked
	refusedRow = 1               // proofs in a row, from which on a host is ejected
	brokenRow  = 2
	lateRow    = 3
	coldShare  = 0.5              // of its capacity that a cold host gets at first
	zoneGain   = 0.1              // by how much fuller a host in the own zone may be
	affinity   = 0.7              // of its capacity up to which a host gets calls for its cache's sake
	spill      = 1.5              // times the mean load up to which it does
	spillLeast = 6.0              // calls that are no load to speak of
	queueShare = 0.25             // of its capacity that a host queues beyond its slots
	most       = 3.0 / 4          // of the slots that one destination holds
	normally   = 1.0 / 2          // while others wait
	forget     = 10 * time.Second // proofs older than this do not add up
	leavingRow = 2                // answers in a row that close their connection, from which on a host may be leaving
	leavingFor = 2 * time.Second  // a host that may be leaving is asked again after this
)

// Host is one incarnation.
type Host struct {
	discovery.Host
	out      int // calls of this relay under way
	others   float64
	told     time.Time // when others was reported
	full     time.Time // it has no room until then
	ejected  time.Time // until then
	leaving  time.Time // it may be, until then
	strikes  int
	struck   time.Time
	listed   bool
	closes   int // answers in a row that closed their connection
	warm     time.Time
	cold     time.Duration
	draining bool
}

// Out is how many calls of this relay are under way at the host.
func (h *Host) Out() int { return h.out }

// Usable tells whether the list still lets new calls go there.
func (h *Host) Usable() bool { return h.listed && !h.draining }

// Load estimates the calls at the host: the own ones, and those of others as it reported them.
func (h *Host) Load(now time.Time) float64 {
	load := float64(h.out)
	if age := now.Sub(h.told); h.others > 0 && age < freshFor {
		load += h.others * (1 - float64(age)/float64(freshFor))
	}
	return load
}

// room is the capacity that counts at this time.
func (h *Host) room(now time.Time) float64 {
	c := float64(max(1, h.Capacity))
	if left := h.warm.Sub(now); left > 0 && h.cold > 0 {
		c = max(1, c*(1-coldShare*float64(left)/float64(h.cold)))
	}
	return c
}

// Balancer knows the hosts.
type Balancer struct {
	zone     string
	slots    int // calls that this relay has out at once, at most
	out      int
	seed     uint64
	byID     map[string]*Host
	services map[string][]*Host // listed or with calls under way
	outOf    map[string]int     // calls under way by service
	pricers  map[string]*pricer // by service, where generations go
	scratch  []*Host
}

// New makes a balancer for a relay in a zone that has at most so many calls out at once. The seed breaks ties.
func New(zone string, slots int, seed uint64) *Balancer {
	return &Balancer{zone: zone, slots: slots, seed: seed | 1, byID: map[string]*Host{}, services: map[string][]*Host{}, outOf: map[string]int{}, pricers: map[string]*pricer{}}
}

// Hosts takes in the platform's list and tells which incarnations are no longer on it, and which drain.
func (b *Balancer) Hosts(list []discovery.Host, now time.Time) (closed []*Host) {
	seen := make(map[string]bool, len(list))
	for _, g := range list {
		seen[g.ID] = true
		h := b.byID[g.ID]
		if h == nil {
			h = &Host{cold: time.Duration(g.WarmupMs) * time.Millisecond}
			h.warm = now.Add(h.cold)
			b.byID[g.ID] = h
		}
		usable := h.Usable()
		h.Host, h.listed, h.draining = g, true, g.Phase != discovery.Ready
		if usable && !h.Usable() {
			closed = append(closed, h)
		}
	}
	for id, h := range b.byID {
		if !seen[id] {
			if h.Usable() {
				closed = append(closed, h)
			}
			if h.listed = false; h.out == 0 {
				delete(b.byID, id)
			}
		}
	}
	b.forgetHosts()
	clear(b.services)
	for _, h := range b.byID {
		b.services[h.Service] = append(b.services[h.Service], h)
	}
	for _, all := range b.services { // one order, whatever that of the map
		slices.SortFunc(all, func(a, b *Host) int { return cmp.Compare(a.ID, b.ID) })
	}
	return closed
}

// Of gives the incarnation of an id, nil if it is not known.
func (b *Balancer) Of(id string) *Host { return b.byID[id] }

// Places is how many slots the usable hosts of a service have, and how many calls are estimated at them.
func (b *Balancer) Places(service string, now time.Time) (places, taken float64) {
	for _, h := range b.services[service] {
		if h.Usable() {
			places += h.room(now)
			taken += min(h.Load(now), h.room(now))
		}
	}
	return places, taken
}

// Query is what is asked for.
type Query struct {
	Service string
	Kind    string   // of request; for admission, which serves no kind much less often than all
	Called  bool     // by a program, as a tool: such calls are a kind of their own
	Program string   // calls of one program go to one host, for its cache
	Prefix  string   // the shared part of the prompt, where no program is named
	Tried   []string // ids of hosts that had the call
	Work    *Work    // of a generation, nil for other calls
	Over    bool     // also to the queue of a host, beyond its slots
	Waiting bool     // other calls wait for a slot
}

// Pick chooses the host for a call. It gives nil while all are at capacity, or none is known.
func (b *Balancer) Pick(q Query, now time.Time) *Host {
	if b.out >= b.slots {
		return nil
	}
	only := b.alone(q.Service)
	ready := slices.DeleteFunc(b.candidates(q, now), func(h *Host) bool { return !b.open(h, q, now, only) })
	if len(ready) == 0 {
		return nil
	}
	if q.Work != nil {
		return b.cheapest(ready, q, now)
	}
	if key := cmp.Or(q.Program, q.Prefix); key != "" && !q.Over {
		if h := b.affine(ready, key, now); h != nil {
			return h
		}
	}
	return b.least(ready, now)
}

// candidates are the hosts that may be asked: those in good standing that did not have the call; where there is none, one
// in doubt is better than nothing, and then one that had it.
func (b *Balancer) candidates(q Query, now time.Time) []*Host {
	ready := b.scratch[:0]
	for pass := 0; pass < 3 && len(ready) == 0; pass++ {
		for _, h := range b.services[q.Service] {
			if h.Usable() && (pass > 0 || !now.Before(h.ejected) && !now.Before(h.leaving)) && (pass > 1 || !slices.Contains(q.Tried, h.ID)) {
				ready = append(ready, h)
			}
		}
	}
	b.scratch = ready
	return ready
}

// alone tells whether a service has one host only.
func (b *Balancer) alone(service string) bool {
	n := 0
	for _, h := range b.services[service] {
		if h.Usable() {
			n++
		}
	}
	return n < 2
}

// open tells whether a host has a slot for a call, and the relay one for the host.
func (b *Balancer) open(h *Host, q Query, now time.Time, only bool) bool {
	room := h.room(now)
	if q.Over {
		room += max(1, queueShare*room)
	}
	if h.Load(now) >= room || now.Before(h.full) && !q.Over {
		return false
	}
	with := float64(h.out + 1)
	switch {
	case only || with <= 1:
		return true
	case q.Waiting:
		return with <= normally*float64(b.slots)
	}
	return with < most*float64(b.slots)
}

// affine is bounded-load rendezvous hashing: the first host in the key's order that is not loaded beyond the others.
func (b *Balancer) affine(ready []*Host, key string, now time.Time) *Host {
	load, room := 0.0, 0.0
	for _, h := range ready {
		load += h.Load(now)
		room += h.room(now)
	}
	var best *Host
	bestOwn, bestRank := false, uint64(0)
	for _, h := range ready {
		bound := min(affinity*h.room(now), max(spillLeast, spill*(load+1)*h.room(now)/room))
		if h.Load(now) >= bound {
			continue
		}
		own, r := h.Zone == b.zone, rank(key, h.ID)
		if best == nil || own && !bestOwn || own == bestOwn && r > bestRank {
			best, bestOwn, bestRank = h, own, r
		}
	}
	return best
}

func rank(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// least takes the host with the smallest part of its slots taken; the own zone's may be a little fuller.
func (b *Balancer) least(ready []*Host, now time.Time) *Host {
	var best *Host
	low, ties := math.Inf(1), uint64(0)
	for _, h := range ready {
		part := (h.Load(now) + 1) / h.room(now)
		if h.Zone != b.zone {
			part += zoneGain
		}
		switch {
		case part < low-1e-9:
			best, low, ties = h, part, 1
		case part < low+1e-9:
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

// Begin notes a call that goes to a host.
func (b *Balancer) Begin(h *Host) {
	h.out++
	b.out++
	b.outOf[h.Service]++
}

// Out is how many calls are under way to the hosts of a service.
func (b *Balancer) Out(service string) int { return b.outOf[service] }

// Report takes in the load that a host told with an answer, while the call it answered still counts as out.
func (b *Balancer) Report(h *Host, running, waiting int, now time.Time) {
	h.others, h.told = max(0, float64(running+waiting-h.out)), now
}

// Closed notes whether an answer of a host closed its connection. Hosts that leave do so with each answer, others now and
// then: one that does so again and again is leaving, before the list says so.
func (b *Balancer) Closed(h *Host, closed bool, now time.Time) {
	if !closed {
		h.closes = 0
		return
	}
	if h.closes++; h.closes >= leavingRow {
		h.leaving = now.Add(leavingFor)
	}
}

// End notes the end of a call and what it proves.
func (b *Balancer) End(h *Host, p Proof, now time.Time) {
	h.out--
	b.out--
	b.outOf[h.Service]--
	switch p {
	case Good:
		h.strikes = 0
		h.ejected = time.Time{}
	case Full:
		h.full = now.Add(fullFor)
		h.others, h.told = max(h.others, h.room(now)-float64(h.out)), now
	case Refused:
		h.strike(now, refusedRow)
	case Broken:
		h.strike(now, brokenRow)
	case Late:
		h.strike(now, lateRow)
	case Elsewhere:
		h.ejected = now.Add(awayFor)
	}
	if !h.listed && h.out == 0 {
		delete(b.byID, h.ID)
		b.services[h.Service] = slices.DeleteFunc(b.services[h.Service], func(o *Host) bool { return o == h })
	}
}

func (h *Host) strike(now time.Time, row int) {
	if now.Sub(h.struck) > forget {
		h.strikes = 0
	}
	h.strikes++
	h.struck = now
	if n := h.strikes - row; n >= 0 {
		if until := now.Add(min(ejectMost, ejectLeast<<min(n, 8))); until.After(h.ejected) {
			h.ejected = until
		}
	}
}

// Target picks among weighted ones by a key: the same key goes the same way.
func Target(shares []int, key string) int {
	sum := 0
	for _, s := range shares {
		sum += s
	}
	if sum <= 0 {
		return 0
	}
	at := int(xxhash.Sum64String(key) % uint64(sum))
	for i, s := range shares {
		if at -= s; at < 0 {
			return i
		}
	}
	return len(shares) - 1
}
