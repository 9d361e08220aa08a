package cutproxy

import (
	"sync"
	"time"
)

// Bucket limits the rate of all connections that share it, such as those over the network link of a machine. It is safe
// for concurrent use.
type Bucket struct {
	mu     sync.Mutex
	rate   float64   // bytes per second, 0 for unlimited
	freeAt time.Time // when all reserved bytes will have passed
}

// NewBucket returns a bucket with a rate in bytes per second, 0 for unlimited.
func NewBucket(rate float64) *Bucket { return &Bucket{rate: rate} }

// SetRate sets the rate in bytes per second, 0 for unlimited. Earlier reservations stay.
func (b *Bucket) SetRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = rate
}

// reserve reserves the time that n more bytes take, and returns its end.
func (b *Bucket) reserve(now time.Time, n int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return now
	}
	if b.freeAt.Before(now) {
		b.freeAt = now
	}
	b.freeAt = b.freeAt.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))
	return b.freeAt
}

// waitForRate waits until n more bytes have passed all buckets, which they pass at the same time. It returns false if end is
// closed before.
func waitForRate(buckets []*Bucket, n int, end <-chan struct{}) bool {
	now := time.Now()
	until := now
	for _, b := range buckets {
		if at := b.reserve(now, n); at.After(until) {
			until = at
		}
	}
	if !until.After(now) {
		return true
	}
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-end:
		return false
	}
}
