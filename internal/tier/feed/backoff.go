package feed

import (
	"math/rand/v2"
	"time"
)

const (
	initialBackoff = 50 * time.Millisecond // bound of the first pause; doubled with each step
	maxBackoff     = 800 * time.Millisecond
	maxBackoffStep = 10 // keeps the shift in range; all bounds are reached before
)

// backoff returns a random pause after a number of failures, between half of the step's bound and the bound, which is
// at most longest. The randomness spreads the calls of many followers after the same event.
func backoff(step int, longest time.Duration) time.Duration {
	bound := min(longest, initialBackoff<<min(step, maxBackoffStep))
	return bound/2 + rand.N(bound/2+1)
}
