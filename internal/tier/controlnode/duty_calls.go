package controlnode

import (
	"slices"
	"sync"
	"time"

	"larchrouter/internal/tier/duty"
)

// maxLoggedCalls is how many of the newest calls to the platform are kept for operators.
const maxLoggedCalls = 32

// dutyCall is a call to the platform.
type dutyCall struct {
	at      time.Time
	path    string
	token   int64
	outcome duty.Outcome
	body    []byte
}

// dutyCallLog keeps the newest calls to the platform, and counts all by outcome. It is safe for concurrent use.
type dutyCallLog struct {
	mu     sync.Mutex
	newest []dutyCall // the oldest first
	counts map[countedCalls]int
}

// countedCalls is what calls are counted by.
type countedCalls struct {
	path    string
	outcome duty.Outcome
}

// record adds a call.
func (l *dutyCallLog) record(path string, token int64, outcome duty.Outcome, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[countedCalls]int{}
	}
	l.counts[countedCalls{path, outcome}]++
	l.newest = append(l.newest, dutyCall{time.Now(), path, token, outcome, body})
	if len(l.newest) > maxLoggedCalls {
		l.newest = slices.Delete(l.newest, 0, 1)
	}
}
