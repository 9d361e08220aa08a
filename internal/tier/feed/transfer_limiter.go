package feed

import "time"

const (
	maxTransfers        = 8                      // at once from one source, two pieces each: 1 MB queued at most, 0.28 s at 30 Mbit/s
	transferIdleTimeout = 400 * time.Millisecond // a follower that asks for no piece so long has given its turn up
)

// TransferLimiter bounds how many followers a source sends large values at once, so that what waits in its link does not keep
// its polls and heartbeats back. The zero TransferLimiter is ready for use; it is not safe for concurrent use.
type TransferLimiter struct {
	lastChunkAt map[string]time.Duration // by follower: when it asked for a piece
}

// Admit tells whether a follower may have a piece now.
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

// Release gives up the turn of a follower that has its last piece.
func (t *TransferLimiter) Release(name string) { delete(t.lastChunkAt, name) }
