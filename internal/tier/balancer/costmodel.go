package balancer

import (
	"math"
	"time"
)

// Generation is the work that a call is for an engine: prefill of its prompt, then decode. Counts are in tokens.
type Generation struct {
	// PromptTokens is the length of the prompt: what a host without any of it in its prefix cache has to prefill.
	PromptTokens int
	// CacheHost is the id of the host that has the beginning of the prompt in its prefix cache; empty for none.
	CacheHost string
	// CachedTokens is the length of that beginning.
	CachedTokens int
	// SharedPrefix identifies the prefix that the prompt has in common with many others; empty for none.
	SharedPrefix string
	// SharedTokens is its length.
	SharedTokens int
}

// costModel predicts the time to the first event of a generation, for the hosts of one service:
//
//	baseMs + perCallMs * (other calls at the host) + perTokenMs * (tokens of the prompt to prefill)
//
// It learns the three by least squares with normalized gradient steps, so that old observations fade.
type costModel struct {
	params                        *CostParams
	baseMs, perCallMs, perTokenMs float64
	samples                       int                             // observations so far
	sharedPrefixSent              map[string]map[string]time.Time // by host id and shared prefix: when it was sent there last
}

func newCostModel(params *CostParams) *costModel {
	return &costModel{params: params, baseMs: params.InitialBaseMs, perCallMs: params.InitialPerCallMs, perTokenMs: params.InitialPerTokenMs,
		sharedPrefixSent: map[string]map[string]time.Time{}}
}

// observe learns from the time that a first event took at a host with so many other calls, for so many tokens of prefill.
func (m *costModel) observe(took time.Duration, calls float64, tokens int) {
	ms := took.Seconds() * 1000
	scaledCalls, scaledTokens := calls/10, float64(tokens)/1000
	predicted := m.baseMs + m.perCallMs*calls + m.perTokenMs*float64(tokens)
	residual := ms - predicted
	residual = max(-m.params.MaxResidualMs, min(m.params.MaxResidualMs, residual))
	norm := 1 + scaledCalls*scaledCalls + scaledTokens*scaledTokens
	step := m.params.LearningRate * residual / norm
	m.baseMs = max(0, m.baseMs+step)
	m.perCallMs = max(m.params.MinPerCallMs, m.perCallMs+step*scaledCalls/10)
	m.perTokenMs = max(m.params.MinPerTokenMs, m.perTokenMs+step*scaledTokens/1000)
	m.samples++
}

// prefillTokens returns how many tokens of the prompt a host has to prefill, as far as this front knows.
func (m *costModel) prefillTokens(h *Host, generation *Generation, now time.Time) int {
	if h.ID == generation.CacheHost {
		return max(0, generation.PromptTokens-generation.CachedTokens)
	}
	if sentAt, ok := m.sharedPrefixSent[h.ID][generation.SharedPrefix]; ok && now.Sub(sentAt) < m.params.SharedPrefixTTL {
		return max(0, generation.PromptTokens-generation.SharedTokens)
	}
	return generation.PromptTokens
}

// recordSharedPrefix records that a host gets the shared prefix of a generation.
func (m *costModel) recordSharedPrefix(h *Host, generation *Generation, now time.Time) {
	if generation.SharedPrefix == "" {
		return
	}
	sentAt := m.sharedPrefixSent[h.ID]
	if sentAt == nil {
		sentAt = map[string]time.Time{}
		m.sharedPrefixSent[h.ID] = sentAt
	}
	sentAt[generation.SharedPrefix] = now
	if len(sentAt) > m.params.MaxSharedPrefixes {
		for prefix, at := range sentAt {
			if now.Sub(at) >= m.params.SharedPrefixTTL {
				delete(sentAt, prefix)
			}
		}
	}
}

// estimatedCalls estimates the calls at a host: those of this front, and those of others, which move from the last report
// towards the mean over all hosts with OthersLoadHalfLife.
func (h *Host) estimatedCalls(now time.Time, meanLoad float64) float64 {
	weight := math.Exp2(-float64(now.Sub(h.reportedAt)) / float64(h.params.Cost.OthersLoadHalfLife))
	if h.reportedAt.IsZero() {
		weight = 0
	}
	return float64(h.inFlight) + h.othersLoad*weight + meanLoad*(1-weight)
}

// meanOthersLoad returns the mean of othersLoad over the usable hosts of a service that have reported.
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

// pickCheapest returns the host with the lowest predicted time to the first event, plus OtherZoneMs in other zones.
func (b *Balancer) pickCheapest(candidates []*Host, info PickInfo, now time.Time) *Host {
	model := b.costModelOf(info.Service)
	meanLoad := b.meanOthersLoad(info.Service)
	var best *Host
	lowest := math.Inf(1)
	for _, h := range candidates {
		jitter := b.params.Cost.JitterCalls * float64(b.random()%1024) / 1024
		prefill := float64(model.prefillTokens(h, info.Generation, now))
		cost := model.perCallMs*(h.estimatedCalls(now, meanLoad)+jitter) + model.perTokenMs*prefill
		if h.Zone != b.zone {
			cost += b.params.Cost.OtherZoneMs
		}
		if !info.connected(h) {
			cost += b.params.Cost.NewConnMs
		}
		if cost < lowest {
			best, lowest = h, cost
		}
	}
	return best
}

// costModelOf returns the cost model of a service.
func (b *Balancer) costModelOf(service string) *costModel {
	if b.costModels[service] == nil {
		b.costModels[service] = newCostModel(&b.params.Cost)
	}
	return b.costModels[service]
}

// ExpectFirstEvent records that a generation goes to a host. It returns what ObserveFirstEvent needs once the first event
// has come: the other calls at the host and the tokens of prefill. The call has to be counted by CallStarted before.
func (b *Balancer) ExpectFirstEvent(h *Host, generation *Generation, now time.Time) (calls float64, tokens int) {
	model := b.costModelOf(h.Service)
	calls, tokens = h.estimatedCalls(now, b.meanOthersLoad(h.Service))-1, model.prefillTokens(h, generation, now)
	model.recordSharedPrefix(h, generation, now)
	return max(0, calls), tokens
}

// ObserveFirstEvent records how long the first event of a generation took, with the results of ExpectFirstEvent.
func (b *Balancer) ObserveFirstEvent(service string, took time.Duration, calls float64, tokens int) {
	b.costModelOf(service).observe(took, calls, tokens)
}

// dropUnknownHosts drops the shared prefixes of hosts that are no longer known.
func (b *Balancer) dropUnknownHosts() {
	for _, model := range b.costModels {
		for id := range model.sharedPrefixSent {
			if b.byID[id] == nil {
				delete(model.sharedPrefixSent, id)
			}
		}
	}
}
