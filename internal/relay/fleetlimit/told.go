package fleetlimit

import (
	"time"

	"larchrouter/internal/relay/faultinject"
	"larchrouter/internal/relay/quota"
)

// A limit that was told (share.Limit) holds for all routes of a destination together, beside what is found out of each. Its
// steward grants on the part of it that was pledged, so that all sides of a cut keep to it: in any span the calls granted
// are at most what the limit gives in it, and one burst.

// contract counts what of a told limit may be granted here.
type contract struct {
	limit  quota.Limit
	part   float64
	tokens float64
	at     time.Duration
}

// told makes the contract of a destination; nil where no limit was told. It begins empty: a steward before this one may have
// used the burst up.
func (f *Fleet) told(dest int) *contract {
	l, ok := f.set.Limits[dest]
	if !ok {
		return nil
	}
	return &contract{limit: l, at: f.now}
}

// Tell takes in which limits are told from now on.
func (f *Fleet) Tell(limits map[int]quota.Limit) {
	f.set.Limits = limits
	for dest, k := range f.desks {
		switch next := f.told(dest); {
		case next == nil || k.told == nil:
			k.told = next
		default:
			k.told.limit, k.told.tokens = next.limit, min(k.told.tokens, next.limit.Burst*k.told.part)
		}
	}
}

// settle brings the tokens up to date. Between two instants the part was no less than the smaller of what it was and is.
func (b *contract) settle(now time.Duration, part float64) {
	if plant.Is(plant.Contract) {
		part = 1
	}
	b.tokens += b.limit.Rate * min(b.part, part) * max(0, now-b.at).Seconds()
	b.tokens = min(b.tokens, max(1, b.limit.Burst*part))
	if part == 0 {
		b.tokens = 0
	}
	b.part, b.at = part, now
}

// most is how many calls may be under way by what is granted here. A part of less than one call is one call: a relay that is
// alone would otherwise starve.
func (b *contract) most() int { return max(1, int(float64(b.limit.AtOnce)*b.part)) }

// take takes leave for one call, if there is any, while so many are under way.
func (b *contract) take(out int) bool {
	if b.tokens < 1-1e-9 || b.part == 0 || b.limit.AtOnce > 0 && out >= b.most() {
		return false
	}
	b.tokens--
	return true
}

// again is when there may be leave, after settle. What frees a place is told, and needs no waking.
func (b *contract) again(now time.Duration, part float64, out int) time.Duration {
	if part <= 0 || b.limit.AtOnce > 0 && out >= b.most() {
		return never
	}
	return now + max(time.Millisecond, time.Duration((1-b.tokens)/(b.limit.Rate*part)*float64(time.Second)))
}

// out are the calls that were granted here and whose end has not been told.
func (k *desk) out() (n int) {
	for _, p := range k.routes {
		n += len(p.out)
	}
	return n
}
