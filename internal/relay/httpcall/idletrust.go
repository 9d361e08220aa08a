package httpcall

import "time"

const (
	firstIdleBucket = 25 * time.Millisecond
	minResets       = 3   // resets in a bucket below which they are taken for chance
	minResetRatio   = 0.1 // resets per call in a bucket from which its idle time is distrusted
	fadeAbove       = 200 // calls in a bucket above which its counts are halved
	distrustPeriod  = 30 * time.Second
)

// idleTrust learns for how long a connection may be idle and still be reused. A middlebox may drop an idle
// connection long before its host would, and the next call on it then ends in a reset that does not prove that
// it never ran.
//
// Pool.mu guards it.
type idleTrust struct {
	uses, resets  [10]float64   // calls and resets by idle time: under 25 ms, under 50 ms, under 100 ms, ...
	trustedIdle   time.Duration // until distrustUntil, only connections idle for less are reused
	distrustUntil time.Time
}

// record counts a call on a connection that had been idle, and whether that call was reset without a response.
func (s *idleTrust) record(idle time.Duration, reset bool, now time.Time) {
	i := 0
	for limit := firstIdleBucket; idle >= limit && i < len(s.uses)-1; limit *= 2 {
		i++
	}
	if s.uses[i]++; reset {
		s.resets[i]++
	}
	if s.uses[i] > fadeAbove {
		s.uses[i], s.resets[i] = s.uses[i]/2, s.resets[i]/2
	}
	if s.resets[i] >= minResets && s.resets[i] >= minResetRatio*s.uses[i] {
		lowerBound := time.Duration(0)
		if i > 0 {
			lowerBound = firstIdleBucket << (i - 1)
		}
		if s.distrustUntil.Before(now) || lowerBound < s.trustedIdle {
			s.trustedIdle = lowerBound
		}
		s.distrustUntil = now.Add(distrustPeriod)
		s.uses[i], s.resets[i] = 0, 0
	}
}

// trusts reports whether a connection that has been idle for the given time may be reused.
func (s *idleTrust) trusts(idle time.Duration, now time.Time) bool {
	return idle < s.trustedIdle || !now.Before(s.distrustUntil)
}
