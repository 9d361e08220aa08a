package fleetlimit

import (
	"time"

	"larchrouter/internal/relay/faultinject"
	"larchrouter/internal/relay/quota"
)

// A configured limit (quota.Limit) is one for all routes of a destination together, in addition to the limits
// that are estimated for each route. Its coordinator grants on the share of it that was pledged, so that all
// sides of a partition keep to it: in any time span the granted calls are at most what the limit allows in it,
// and one burst.

// configuredLimit counts the tokens of a configured limit that may be granted here.
type configuredLimit struct {
	limit     quota.Limit
	share     float64 // that may be granted here
	tokens    float64 // calls
	updatedAt time.Duration
}

// newConfiguredLimit returns the state of a destination's configured limit; nil if it has none. Its bucket
// begins empty: a coordinator before this one may have used the burst.
func (l *Limiter) newConfiguredLimit(dest int) *configuredLimit {
	limit, ok := l.settings.Limits[dest]
	if !ok {
		return nil
	}
	return &configuredLimit{limit: limit, updatedAt: l.now}
}

// SetLimits sets the configured limits from now on.
func (l *Limiter) SetLimits(limits map[int]quota.Limit) {
	l.settings.Limits = limits
	for dest, coord := range l.coordinated {
		switch next := l.newConfiguredLimit(dest); {
		case next == nil || coord.configured == nil:
			coord.configured = next
		default:
			coord.configured.limit = next.limit
			coord.configured.tokens = min(coord.configured.tokens, next.limit.Burst*coord.configured.share)
		}
	}
}

// advance adds the tokens since the last call. Between the two the share was no less than the smaller of both.
func (c *configuredLimit) advance(now time.Duration, share float64) {
	if plant.Is(plant.Contract) {
		share = 1
	}
	c.tokens += c.limit.Rate * min(c.share, share) * max(0, now-c.updatedAt).Seconds()
	c.tokens = min(c.tokens, max(1, c.limit.Burst*share))
	if share == 0 {
		c.tokens = 0
	}
	c.share, c.updatedAt = share, now
}

// maxConcurrent returns how many calls granted here may be in flight. A share of less than one call counts as
// one: an isolated relay would starve otherwise.
func (c *configuredLimit) maxConcurrent() int {
	return max(1, int(float64(c.limit.MaxConcurrent)*c.share))
}

// take consumes a token and reports whether there was one, with that many calls in flight.
func (c *configuredLimit) take(inFlight int) bool {
	if c.tokens < 1-1e-9 || c.share == 0 || c.limit.MaxConcurrent > 0 && inFlight >= c.maxConcurrent() {
		return false
	}
	c.tokens--
	return true
}

// nextAt returns when there may be a token, after advance. An outcome that frees a call in flight arrives as a
// message and needs no wake-up.
func (c *configuredLimit) nextAt(now time.Duration, share float64, inFlight int) time.Duration {
	if share <= 0 || c.limit.MaxConcurrent > 0 && inFlight >= c.maxConcurrent() {
		return never
	}
	return now + max(time.Millisecond, time.Duration((1-c.tokens)/(c.limit.Rate*share)*float64(time.Second)))
}

// inFlight returns the number of calls that were granted here and whose outcome was not reported.
func (coord *coordinatorState) inFlight() (n int) {
	for _, p := range coord.routes {
		n += len(p.inFlight)
	}
	return n
}
