package cloudapi

import "time"

// rateLimit is a token bucket that holds the calls of one second, at least one. It is not safe for concurrent use.
type rateLimit struct {
	rate   float64 // calls a second; 0 for unlimited
	tokens float64 // calls that it allows at once
	at     time.Time
}

func newRateLimit(rate float64, now time.Time) rateLimit {
	return rateLimit{rate: rate, tokens: max(1, rate), at: now}
}

// allow reports whether a call is within the rate, and counts it against the rate.
func (l *rateLimit) allow(now time.Time) bool {
	if l.rate <= 0 {
		return true
	}
	l.tokens, l.at = min(max(1, l.rate), l.tokens+l.rate*now.Sub(l.at).Seconds()), now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
