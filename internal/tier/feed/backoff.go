package feed

import (
	"math/rand/v2"
	"time"
)

const (
	initialBackoff = 50 * time.Millisecond // upper bound of the first pause; doubled with each step
	maxBackoff     = 800 * time.Millisecond
	maxBackoffStep = 10 // keeps the shift from overflowing; all callers reach their longest pause earlier
)

// backoff returns the random pause before a retry, between half and all of a bound that doubles with each step, up to
// longest. The jitter spreads the retries of many followers after the same event.
func backoff(step int, longest time.Duration) time.Duration {
	bound := min(longest, initialBackoff<<min(step, maxBackoffStep))
	return bound/2 + rand.N(bound/2+1)
}
