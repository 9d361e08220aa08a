package fleetlimit

import (
	"time"

	"larchrouter/internal/relay/faultinject"
	"larchrouter/internal/relay/quota"
)

// A limit that was told (share.Limit) holds for all routes of a destination together, beside what is found out of each. Its
// steward grants on the part of it that was pledged, so that all sides of a cut keep to it: in any span the calls granted
// are at most what the limit gives in it, and one burst.

// configuredLimit counts what of a told limit may be granted here.
type configuredLimit struct {
	limit     quota.Limit
	share     float64
	tokens    float64
	updatedAt time.Duration
}

// newConfiguredLimit makes the contract of a destination; nil where no limit was newConfiguredLimit. It begins empty: a steward before this one may have
// used the burst up.
func (f *Limiter) newConfiguredLimit(dest int) *configuredLimit {
	l, ok := f.settings.Limits[dest]
	if !ok {
		return nil
	}
	return &configuredLimit{limit: l, updatedAt: f.now}
}

// SetLimits takes in which limits are told from now on.
func (f *Limiter) SetLimits(limits map[int]quota.Limit) {
	f.settings.Limits = limits
	for dest, k := range f.coordinated {
		switch next := f.newConfiguredLimit(dest); {
		case next == nil || k.configured == nil:
			k.configured = next
		default:
			k.configured.limit, k.configured.tokens = next.limit, min(k.configured.tokens, next.limit.Burst*k.configured.share)
		}
	}
}

// advance brings the tokens up to date. Between two instants the part was no less than the smaller of what it was and is.
func (b *configuredLimit) advance(now time.Duration, part float64) {
	if plant.Is(plant.Contract) {
		part = 1
	}
	b.tokens += b.limit.Rate * min(b.share, part) * max(0, now-b.updatedAt).Seconds()
	b.tokens = min(b.tokens, max(1, b.limit.Burst*part))
	if part == 0 {
		b.tokens = 0
	}
	b.share, b.updatedAt = part, now
}

// maxConcurrent is how many calls may be under way by what is granted here. A part of less than one call is one call: a relay that is
// alone would otherwise starve.
func (b *configuredLimit) maxConcurrent() int {
	return max(1, int(float64(b.limit.MaxConcurrent)*b.share))
}

// take takes leave for one call, if there is any, while so many are under way.
func (b *configuredLimit) take(out int) bool {
	if b.tokens < 1-1e-9 || b.share == 0 || b.limit.MaxConcurrent > 0 && out >= b.maxConcurrent() {
		return false
	}
	b.tokens--
	return true
}

// nextAt is when there may be leave, after settle. What frees a place is told, and needs no waking.
func (b *configuredLimit) nextAt(now time.Duration, part float64, out int) time.Duration {
	if part <= 0 || b.limit.MaxConcurrent > 0 && out >= b.maxConcurrent() {
		return never
	}
	return now + max(time.Millisecond, time.Duration((1-b.tokens)/(b.limit.Rate*part)*float64(time.Second)))
}

// inFlight are the calls that were granted here and whose end has not been told.
func (k *coordinatorState) inFlight() (n int) {
	for _, p := range k.routes {
		n += len(p.inFlight)
	}
	return n
}
