package balancer

import (
	"math"
	"time"
)

// Generation is what a generation asks of an engine, in tokens.
type Generation struct {
	PromptTokens  int    // to be read, if the host has nothing of it
	CacheHost    string // id of the host that has the prompt's beginning in its cache, empty for none
	CachedTokens int    // tokens of that beginning
	SharedPrefix  string // id of the part that many prompts begin with
	SharedTokens  int    // its tokens
}

// costModel learns what the first event of a generation waits for: a time of its own, one for each call at the host, and
// one for each token that is read anew. Least squares by normalised gradient steps; forgets slowly. One for a service.
type costModel struct {
	baseMs, perCallMs, perTokenMs float64 // ms
	samples              int
	sharedPrefixSent            map[string]map[string]time.Time // by host, by part: sent there last
}

const (
	initialBaseMs   = 60.0 // ms, before anything was seen
	initialPerCallMs   = 8.0
	initialPerTokenMs  = 0.03
	learningRate   = 0.05
	minPerCallMs   = 0.5 // ms: a host with more calls is never the better for it
	minPerTokenMs  = 0.001
	sharedPrefixTTL  = 20 * time.Second // a shared part that was sent to a host within it is taken to be kept there
	otherZoneMs      = 15.0             // by which another zone's host has to be better: bytes between zones are paid
	othersLoadHalfLife    = 1500 * time.Millisecond
	jitterCalls = 1.0 // chance that keeps relays that see the same from all choosing the same, in calls
)

func newCostModel() *costModel {
	return &costModel{baseMs: initialBaseMs, perCallMs: initialPerCallMs, perTokenMs: initialPerTokenMs, sharedPrefixSent: map[string]map[string]time.Time{}}
}

// observe takes in how long a first event took, at a host with so many other calls, for so many tokens read anew.
func (m *costModel) observe(took time.Duration, calls float64, tokens int) {
	ms := took.Seconds() * 1000
	scaledCalls, scaledTokens := calls/10, float64(tokens)/1000
	predicted := m.baseMs + m.perCallMs*calls + m.perTokenMs*float64(tokens)
	residual := ms - predicted
	residual = max(-300, min(300, residual)) // one stall must not teach much
	norm := 1 + scaledCalls*scaledCalls + scaledTokens*scaledTokens
	step := learningRate * residual / norm
	m.baseMs = max(0, m.baseMs+step)
	m.perCallMs = max(minPerCallMs, m.perCallMs+step*scaledCalls/10)
	m.perTokenMs = max(minPerTokenMs, m.perTokenMs+step*scaledTokens/1000)
	m.samples++
}

// prefillTokens is how many tokens a host has to read, as far as this relay can tell.
func (m *costModel) prefillTokens(h *Host, generation *Generation, now time.Time) int {
	if h.ID == generation.CacheHost {
		return max(0, generation.PromptTokens-generation.CachedTokens)
	}
	if at, ok := m.sharedPrefixSent[h.ID][generation.SharedPrefix]; ok && now.Sub(at) < sharedPrefixTTL {
		return max(0, generation.PromptTokens-generation.SharedTokens)
	}
	return generation.PromptTokens
}

// recordSharedPrefix notes that a host reads a shared part.
func (p *costModel) recordSharedPrefix(h *Host, generation *Generation, now time.Time) {
	if generation.SharedPrefix == "" {
		return
	}
	sentAt := p.sharedPrefixSent[h.ID]
	if sentAt == nil {
		sentAt = map[string]time.Time{}
		p.sharedPrefixSent[h.ID] = sentAt
	}
	sentAt[generation.SharedPrefix] = now
	if len(sentAt) > 256 {
		for id, at := range sentAt {
			if now.Sub(at) >= sharedPrefixTTL {
				delete(sentAt, id)
			}
		}
	}
}

// estimatedCalls estimates the calls at a host: the own ones and those of others, which were told a while ago and go towards the
// mean of all hosts since, not towards none.
func (h *Host) estimatedCalls(now time.Time, meanLoad float64) float64 {
	weight := math.Exp2(-float64(now.Sub(h.reportedAt)) / float64(othersLoadHalfLife))
	if h.reportedAt.IsZero() {
		weight = 0
	}
	return float64(h.inFlight) + h.othersLoad*weight + meanLoad*(1-weight)
}

// meanOthersLoad of the others' calls at the hosts of a service, as they told them last.
func (b *Balancer) meanOthersLoad(service string) float64 {
	sum, n := 0.0, 0
	for _, h := range b.services[service] {
		if h.Usable() && !h.reportedAt.IsZero() {
			sum += h.othersLoad
			n++
		}
	}
	return sum / float64(max(1, n))
}

// pickCheapest is the host at which the first event is expected soonest, with what is paid for another zone.
func (b *Balancer) pickCheapest(candidates []*Host, info PickInfo, now time.Time) *Host {
	model := b.costModelOf(info.Service)
	meanLoad := b.meanOthersLoad(info.Service)
	var best *Host
	lowest := math.Inf(1)
	for _, h := range candidates {
		jitter := jitterCalls * float64(b.random()%1024) / 1024
		cost := model.perCallMs*(h.estimatedCalls(now, meanLoad)+jitter) + model.perTokenMs*float64(model.prefillTokens(h, info.Generation, now))
		if h.Zone != b.zone {
			cost += otherZoneMs
		}
		if cost < lowest {
			best, lowest = h, cost
		}
	}
	return best
}

func (b *Balancer) costModelOf(service string) *costModel {
	if b.costModels[service] == nil {
		b.costModels[service] = newCostModel()
	}
	return b.costModels[service]
}

// ExpectFirstEvent tells what First needs once a call for a piece of work is at a host.
func (b *Balancer) ExpectFirstEvent(h *Host, generation *Generation, now time.Time) (calls float64, tokens int) {
	model := b.costModelOf(h.Service)
	calls, tokens = h.estimatedCalls(now, b.meanOthersLoad(h.Service))-1, model.prefillTokens(h, generation, now)
	model.recordSharedPrefix(h, generation, now)
	return max(0, calls), tokens
}

// ObserveFirstEvent takes in how long the first event of a piece of work took, with what Expect told.
func (b *Balancer) ObserveFirstEvent(service string, took time.Duration, calls float64, tokens int) {
	b.costModelOf(service).observe(took, calls, tokens)
}

// dropUnknownHosts drops what is known of hosts that are gone.
func (b *Balancer) dropUnknownHosts() {
	for _, model := range b.costModels {
		for id := range model.sharedPrefixSent {
			if b.byID[id] == nil {
				delete(model.sharedPrefixSent, id)
			}
		}
	}
}
