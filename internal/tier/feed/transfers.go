package feed

import "time"

const (
	transfersMost = 8                      // at once from one source, two pieces each: 1 MB queued at most, 0.28 s at 30 Mbit/s
	transferIdle  = 400 * time.Millisecond // a follower that asks for no piece so long has given its turn up
)

// TransferLimiter bounds how many followers a source sends large values at once, so that what waits in its link does not keep
// its polls and heartbeats back. The zero TransferLimiter is ready for use; it is not safe for concurrent use.
type TransferLimiter struct {
	last map[string]time.Duration // by follower: when it asked for a piece
}

// Admit tells whether a follower may have a piece now.
func (t *TransferLimiter) Admit(name string, now time.Duration) bool {
	if t.last == nil {
		t.last = map[string]time.Duration{}
	}
	for one, at := range t.last {
		if now-at >= transferIdle {
			delete(t.last, one)
		}
	}
	if _, has := t.last[name]; !has && len(t.last) >= transfersMost {
		return false
	}
	t.last[name] = now
	return true
}

// Release gives up the turn of a follower that has its last piece.
func (t *TransferLimiter) Release(name string) { delete(t.last, name) }
