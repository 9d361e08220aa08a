package controlnode

import (
	"slices"
	"sync"
	"time"

	"larchrouter/internal/tier/fencedcall"
)

// maxLoggedCalls is the number of the newest calls to the platform that are kept for operators.
const maxLoggedCalls = 32

// platformCall is a call to the platform that has ended.
type platformCall struct {
	endedAt time.Time
	path    string
	token   int64
	outcome fencedcall.Outcome
	body    []byte
}

// platformCallLog keeps the newest calls to the platform, and counts all calls by path and outcome. It is safe for concurrent
// use.
type platformCallLog struct {
	mu     sync.Mutex
	newest []platformCall // oldest first
	counts map[callCountKey]int
}

// callCountKey is the key by which calls are counted.
type callCountKey struct {
	path    string
	outcome fencedcall.Outcome
}

// record adds a call.
func (l *platformCallLog) record(path string, token int64, outcome fencedcall.Outcome, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[callCountKey]int{}
	}
	l.counts[callCountKey{path, outcome}]++
	l.newest = append(l.newest, platformCall{time.Now(), path, token, outcome, body})
	if len(l.newest) > maxLoggedCalls {
		l.newest = slices.Delete(l.newest, 0, 1)
	}
}
