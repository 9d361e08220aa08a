package standin

import (
	"time"

	"golang.org/x/time/rate"
)

// Limit limits the calls that a host accepts, of all relays together. Others are rejected: with 429 if RetryAfter is set, else with 503.
type Limit struct {
	Rate          float64       // calls a second
	Burst         float64       // calls accepted at once after a pause
	Debt          float64       // rejected calls count too, until the limit is exceeded by so many calls
	MaxConcurrent int           // calls in progress; 0 for any number
	RetryAfter    time.Duration // of a rejection; 0 for none

	// A host that was down accepts ColdShare of its rate, which grows to all of it over Warmup. If it receives more than OverloadFactor
	// times its present rate in a second of that time, it goes down again for Downtime. Warmup is 0 for a host without a warm-up.
	ColdShare, OverloadFactor float64
	Warmup, Downtime          time.Duration
}

// limiter decides which calls a host accepts. It reads no clock.
type limiter struct {
	Limit
	bucket     *rate.Limiter
	factor     float64   // of the rate, see Host.ScaleRate
	coldSince  time.Time // when the warm-up began; zero if there is none
	inProgress int
	second     time.Time // start of the second of the warm-up in which calls are counted
	received   int       // in that second
	overloads  int
}

func newLimiter(l Limit, now time.Time) *limiter {
	b := rate.NewLimiter(rate.Limit(l.Rate), max(1, int(l.Burst)))
	b.AllowN(now, 0)
	return &limiter{Limit: l, bucket: b, factor: 1}
}

// currentRate returns the calls accepted in a second now.
func (l *limiter) currentRate(now time.Time) float64 {
	warm := l.Rate * l.factor
	if l.coldSince.IsZero() {
		return warm
	}
	progress := now.Sub(l.coldSince).Seconds() / l.Warmup.Seconds()
	return warm * min(1, l.ColdShare+(1-l.ColdShare)*progress)
}

// restart begins the warm-up of a host that was down. Its burst is used up.
func (l *limiter) restart(now time.Time) {
	if l.Warmup > 0 {
		l.coldSince, l.second, l.received = now, now, 0
	}
	l.bucket.SetLimitAt(now, rate.Limit(l.currentRate(now)))
	if n := int(l.bucket.TokensAt(now)); n > 0 {
		l.bucket.AllowN(now, n)
	}
}

// admit decides whether a call is accepted. overloaded reports that the call overloads a host that is warming up.
func (l *limiter) admit(now time.Time) (ok, overloaded bool) {
	l.bucket.SetLimitAt(now, rate.Limit(l.currentRate(now)))
	if !l.coldSince.IsZero() {
		if now.Sub(l.second) >= time.Second {
			l.second, l.received = now, 0
		}
		l.received++
		if float64(l.received) > l.OverloadFactor*l.currentRate(now)+l.Burst {
			l.overloads++
			l.received = 0
			overloaded = true
		}
		if now.Sub(l.coldSince) >= l.Warmup {
			l.coldSince = time.Time{}
		}
	}
	if overloaded || l.MaxConcurrent > 0 && l.inProgress >= l.MaxConcurrent {
		return false, overloaded
	}
	if !l.bucket.AllowN(now, 1) {
		if l.bucket.TokensAt(now) > 1-l.Debt {
			l.bucket.ReserveN(now, 1)
		}
		return false, false
	}
	l.inProgress++
	return true, false
}

// SetLimit sets the limit of the host.
func (h *Host) SetLimit(l Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = newLimiter(l, time.Now())
}

// ScaleRate multiplies the rate of the limit by a factor, which replaces an earlier one.
func (h *Host) ScaleRate(factor float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.limit != nil {
		h.limit.factor = factor
	}
}

// Rate returns the calls that the host accepts in a second now, and how often it was overloaded while it was warming up.
func (h *Host) Rate() (rate float64, overloads int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.limit == nil {
		return 0, 0
	}
	if h.listener != nil {
		rate = h.limit.currentRate(time.Now())
	}
	return rate, h.limit.overloads
}

// Refuses reports whether the host rejects each call, or responds to none.
func (h *Host) Refuses() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.behaviour.Refuse || h.behaviour.Hang
}

// callDone ends a call that the limit has accepted.
func (h *Host) callDone() {
	h.mu.Lock()
	h.limit.inProgress--
	h.mu.Unlock()
}

// restartOverloaded takes the host down, and up again after its downtime unless it was taken down once more.
func (h *Host) restartOverloaded() {
	h.Down()
	h.mu.Lock()
	downs, downtime := h.downs, h.limit.Downtime
	h.mu.Unlock()
	time.Sleep(downtime)
	h.mu.Lock()
	unchanged := h.downs == downs
	h.mu.Unlock()
	if unchanged {
		h.Up()
	}
}
