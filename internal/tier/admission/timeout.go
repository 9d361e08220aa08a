package admission

import "time"

// RetryAfter returns the time after which a rejected client should retry: half the latency target, and up to one and a half
// the more calls are queued for each slot of the capacity; between 50 ms and 1 s, then spread by ±25 % with jitter, which
// is in [0, 1). A capacity of 0 is an unknown one.
func RetryAfter(target time.Duration, queued int, capacity float64, jitter float64) time.Duration {
	delay := target / 2
	if capacity > 0 {
		delay += time.Duration(float64(target) / 2 * min(2, float64(queued)/capacity))
	}
	delay = min(max(delay, 50*time.Millisecond), time.Second)
	return time.Duration(float64(delay) * (0.75 + 0.5*jitter))
}
