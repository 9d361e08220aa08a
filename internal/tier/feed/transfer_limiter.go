package feed

import "time"

const (
	maxTransfers        = 8                      // of a source, two chunks each: at most 1 MB queued, 0.28 s at 30 Mbit/s
	transferIdleTimeout = 400 * time.Millisecond // a transfer ends if the follower requests no chunk for this time
)

// TransferLimiter bounds how many followers download large values from a source concurrently, so that chunks queued on
// its link don't delay polls and heartbeats. The zero value is ready for use. It is not safe for concurrent use.
type TransferLimiter struct {
	lastChunkAt map[string]time.Duration // by follower: when it last requested a chunk
}

// Admit reports whether a follower may be sent a chunk now, and if so counts it as an active transfer. The time is
// that of the caller's monotonic clock.
func (t *TransferLimiter) Admit(name string, now time.Duration) bool {
	if t.lastChunkAt == nil {
		t.lastChunkAt = map[string]time.Duration{}
	}
	for other, at := range t.lastChunkAt {
		if now-at >= transferIdleTimeout {
			delete(t.lastChunkAt, other)
		}
	}
	if _, active := t.lastChunkAt[name]; !active && len(t.lastChunkAt) >= maxTransfers {
		return false
	}
	t.lastChunkAt[name] = now
	return true
}

// Release ends the transfer of a follower that was sent its last chunk.
func (t *TransferLimiter) Release(name string) { delete(t.lastChunkAt, name) }
