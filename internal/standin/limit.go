package standin

import (
	"time"

	"golang.org/x/time/rate"
)

// Limit is what a host takes of all relays together. Calls over it are turned away: 429 with Wait if that is set, else 503.
type Limit struct {
	Rate   float64       // calls a second
	Burst  float64       // calls that it takes at once after a rest
	Debt   float64       // refused calls use the limit up, to so many below none
	AtOnce int           // calls that it works on at once; 0 for any number
	Wait   time.Duration // told with a refusal; 0 for none

	// A host that has been down comes back with ColdFrom of its rate, and has all of it after Cold. If more than Factor
	// times what it takes is offered to it in a second meanwhile, it falls over, and comes back cold after Fall.
	// Cold is 0 for one that comes back as it was.
	ColdFrom, Factor float64
	Cold, Fall       time.Duration
}

// limiter keeps a host to its limit. It reads no clock.
type limiter struct {
	Limit
	bucket  *rate.Limiter
	factor  float64   // of the rate, as told
	cold    time.Time // it came back; zero if it is warm
	busy    int
	second  time.Time // offered calls are counted since then, while it is cold
	offered int
	falls   int
}

func newLimiter(l Limit, now time.Time) *limiter {
	b := rate.NewLimiter(rate.Limit(l.Rate), max(1, int(l.Burst)))
	b.AllowN(now, 0)
	return &limiter{Limit: l, bucket: b, factor: 1}
}

// takes is the rate now.
func (l *limiter) takes(now time.Time) float64 {
	r := l.Rate * l.factor
	if l.cold.IsZero() {
		return r
	}
	return r * min(1, l.ColdFrom+(1-l.ColdFrom)*now.Sub(l.cold).Seconds()/l.Cold.Seconds())
}

// returned notes that the host came back: it is cold, with nothing saved up.
func (l *limiter) returned(now time.Time) {
	if l.Cold > 0 {
		l.cold, l.second, l.offered = now, now, 0
	}
	l.bucket.SetLimitAt(now, rate.Limit(l.takes(now)))
	if n := int(l.bucket.TokensAt(now)); n > 0 {
		l.bucket.AllowN(now, n)
	}
}

// admit takes in a call. Fell tells that it was the one too many for a cold host.
func (l *limiter) admit(now time.Time) (ok, fell bool) {
	l.bucket.SetLimitAt(now, rate.Limit(l.takes(now)))
	if !l.cold.IsZero() {
		if now.Sub(l.second) >= time.Second {
			l.second, l.offered = now, 0
		}
		l.offered++
		if float64(l.offered) > l.Factor*l.takes(now)+l.Burst {
			l.falls, l.offered = l.falls+1, 0
			fell = true
		}
		if now.Sub(l.cold) >= l.Cold {
			l.cold = time.Time{}
		}
	}
	if fell || l.AtOnce > 0 && l.busy >= l.AtOnce {
		return false, fell
	}
	if !l.bucket.AllowN(now, 1) {
		if l.bucket.TokensAt(now) > 1-l.Debt {
			l.bucket.ReserveN(now, 1)
		}
		return false, false
	}
	l.busy++
	return true, false
}

// SetLimit gives the host a limit.
func (h *Host) SetLimit(l Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = newLimiter(l, time.Now())
}

// Scale has the host take so many times the rate of its limit from now on.
func (h *Host) Scale(factor float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.limit != nil {
		h.limit.factor = factor
	}
}

// Takes is how many calls a second it takes now, and how often it fell over when it was cold.
func (h *Host) Takes() (rate float64, falls int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.limit == nil {
		return 0, 0
	}
	if h.l != nil {
		rate = h.limit.takes(time.Now())
	}
	return rate, h.limit.falls
}

// Refuses tells whether it turns every call away, or answers none.
func (h *Host) Refuses() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.how.Refuse || h.how.Hang
}

func (h *Host) leave() {
	h.mu.Lock()
	h.limit.busy--
	h.mu.Unlock()
}

// fall has it be down for a while, unless it is closed meanwhile.
func (h *Host) fall() {
	h.Down()
	h.mu.Lock()
	downs, span := h.downs, h.limit.Fall
	h.mu.Unlock()
	time.Sleep(span)
	h.mu.Lock()
	again := h.downs == downs
	h.mu.Unlock()
	if again {
		h.Up()
	}
}
