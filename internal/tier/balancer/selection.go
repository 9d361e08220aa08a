package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PickInfo describes the call for which a host is picked.
type PickInfo struct {
	Service string
	// Class is the class of the request, for fairness of admission. Pick does not read it.
	Class string
	// FromProgram reports whether a program makes the call, as a tool; for admission, where such calls are a class of
	// their own. Pick does not read it.
	FromProgram bool
	// Program is the affinity key: calls of one program go to one host, for its prefix cache.
	Program string
	// PromptPrefix is the shared part of the prompt: the affinity key if there is no Program.
	PromptPrefix string
	// Tried has the ids of the hosts that had the request before. They are picked only if there is no other host.
	Tried []string
	// Generation is the work of a generation; nil for other calls.
	Generation *Generation
	// AllowHostQueue lets the call go to the host's own queue: up to HostQueueShare beyond its slots, at least one.
	AllowHostQueue bool
	// PreferNewConn reports whether the call prefers a new connection to one that was idle for long. Pick does not read it.
	PreferNewConn bool
	// Connected reports whether a call to a host would go out on a connection that is open; nil for none.
	Connected func(h *Host) bool
	// Contended reports whether other calls are queued for a slot.
	Contended bool
}

// Pick returns the host for a call, or nil if no host is known or none has a slot.
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
	return b.pickLeastLoaded(b.drawChoices(candidates, info), info, now)
}

// candidates returns the usable hosts that are neither ejected nor avoided nor tried. If there is none, ejected and avoided
// hosts count, too; if there is still none, tried ones as well. The result is valid until the next call.
func (b *Balancer) candidates(info PickInfo, now time.Time) []*Host {
	candidates := b.candidateBuffer[:0]
	for pass := 0; pass < 3 && len(candidates) == 0; pass++ {
		for _, h := range b.services[info.Service] {
			if h.Usable() && (pass > 0 || h.healthy(now)) && (pass > 1 || !slices.Contains(info.Tried, h.ID)) {
				candidates = append(candidates, h)
			}
		}
	}
	b.candidateBuffer = candidates
	return candidates
}

// hasSingleHost reports whether a service has at most one usable host.
func (b *Balancer) hasSingleHost(service string) bool {
	n := 0
	for _, h := range b.services[service] {
		if h.Usable() {
			n++
		}
	}
	return n < 2
}

// hasSlot reports whether a host has a slot for a call and the front has one for the host. The bound on a host's share of
// maxInFlight does not apply to the only host of a service, nor to the first call at a host.
func (b *Balancer) hasSlot(h *Host, info PickInfo, now time.Time, singleHost bool) bool {
	capacity := h.effectiveCapacity(now)
	if info.AllowHostQueue && b.params.Selection.HostQueueShare >= 0 {
		capacity += max(1, b.params.Selection.HostQueueShare*capacity)
	}
	if h.Load(now) >= capacity || now.Before(h.fullUntil) && !info.AllowHostQueue {
		return false
	}
	callsWithThis := float64(h.inFlight + 1)
	switch {
	case singleHost || callsWithThis <= 1:
		return true
	case info.Contended:
		return callsWithThis <= b.params.Selection.ContendedHostShare*float64(b.maxInFlight)
	}
	return callsWithThis < b.params.Selection.MaxHostShare*float64(b.maxInFlight)
}

// pickByAffinity is bounded-load rendezvous hashing: it returns the host with the highest score for the key among those
// below their load bound, own zone first, or nil if all are at their bound.
func (b *Balancer) pickByAffinity(candidates []*Host, key string, now time.Time) *Host {
	params := &b.params.Selection
	totalLoad, capacity := 0.0, 0.0
	for _, h := range candidates {
		totalLoad += h.Load(now)
		capacity += h.effectiveCapacity(now)
	}
	var best *Host
	bestSameZone, bestScore := false, uint64(0)
	for _, h := range candidates {
		byMeanLoad := params.AffinityLoadFactor * (totalLoad + 1) * h.effectiveCapacity(now) / capacity
		bound := min(params.AffinityMaxLoad*h.effectiveCapacity(now), max(params.AffinityMinBound, byMeanLoad))
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

// rendezvousScore returns the weight of a host for a key.
func rendezvousScore(key, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// drawChoices draws SelectionParams.Choices candidates each of four groups: the hosts of the own zone and the others, with an open
// connection and without one. It reorders candidates.
func (b *Balancer) drawChoices(candidates []*Host, info PickInfo) []*Host {
	choices := b.params.Selection.Choices
	if choices == 0 {
		return candidates
	}
	own := moveToFront(candidates, func(h *Host) bool { return h.Zone == b.zone })
	drawn := candidates[:0]
	for _, group := range [][]*Host{candidates[:own], candidates[own:]} {
		connected := moveToFront(group, func(h *Host) bool { return info.connected(h) })
		drawn = append(drawn, group[:b.draw(group[:connected], choices)]...)
		drawn = append(drawn, group[connected:connected+b.draw(group[connected:], choices)]...)
	}
	return drawn
}

func (info *PickInfo) connected(h *Host) bool { return info.Connected != nil && info.Connected(h) }

// moveToFront moves the hosts that are in a group to the beginning and returns how many those are.
func moveToFront(hosts []*Host, in func(h *Host) bool) int {
	n := 0
	for i, h := range hosts {
		if in(h) {
			hosts[n], hosts[i] = hosts[i], hosts[n]
			n++
		}
	}
	return n
}

// draw moves n hosts drawn at random, or all if there are fewer, to the beginning and returns how many those are.
func (b *Balancer) draw(hosts []*Host, n int) int {
	n = min(n, len(hosts))
	for i := range n {
		j := i + int(b.random()%uint64(len(hosts)-i))
		hosts[i], hosts[j] = hosts[j], hosts[i]
	}
	return n
}

// pickLeastLoaded returns the host with the lowest utilization, with OtherZonePenalty for hosts in other zones. Ties are
// broken at random.
func (b *Balancer) pickLeastLoaded(candidates []*Host, info PickInfo, now time.Time) *Host {
	var best *Host
	lowest, ties := math.Inf(1), uint64(0)
	for _, h := range candidates {
		utilization := (h.Load(now) + 1) / h.effectiveCapacity(now)
		if h.Zone != b.zone {
			utilization += b.params.Selection.OtherZonePenalty
		}
		if !info.connected(h) {
			utilization += b.params.Selection.NewConnPenalty
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

// random returns the next number of an xorshift generator.
func (b *Balancer) random() uint64 {
	b.seed ^= b.seed << 13
	b.seed ^= b.seed >> 7
	b.seed ^= b.seed << 17
	return b.seed >> 11
}

// PickTarget returns the index of one of several weighted targets. The same key always gives the same target.
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
