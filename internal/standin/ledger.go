package standin

import (
	"sync"
	"time"
)

// Ledger counts the effects of messages, over all hosts. An effect is counted where it happens. It forgets
// what is older than twice its memory, so that it can run for days.
type Ledger struct {
	window, memory time.Duration // in which a zone drops repeats of a key; for which effects are told apart

	mu       sync.Mutex
	effects  [2]map[string]int // by id; the older ones second
	keys     [2]map[string]time.Time
	turned   time.Time
	repeated map[string]int
	dropped  int
	total    int
}

// NewLedger returns one whose zones remember keys for a window.
func NewLedger(window time.Duration) *Ledger {
	l := &Ledger{window: window, memory: max(10*time.Minute, window), turned: time.Now(), repeated: map[string]int{}}
	l.effects[0], l.keys[0] = map[string]int{}, map[string]time.Time{}
	return l
}

func (l *Ledger) apply(p part, h *Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.turned) > l.memory {
		l.effects[1], l.keys[1], l.turned = l.effects[0], l.keys[0], now
		l.effects[0], l.keys[0] = map[string]int{}, map[string]time.Time{}
	}
	if p.key != "" {
		k := h.Zone + " " + p.key
		for _, keys := range l.keys {
			if at, ok := keys[k]; ok && now.Sub(at) < l.window {
				l.dropped++
				return
			}
		}
		l.keys[0][k] = now
	}
	l.effects[0][p.id]++
	l.total++
	if n := l.effects[0][p.id] + l.effects[1][p.id]; n > 1 {
		l.repeated[p.id] = n
	}
}

// Effects is how often a message took effect.
func (l *Ledger) Effects(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effects[0][id] + l.effects[1][id]
}

// Repeated are the messages that took effect more than once, among those that a test picks.
func (l *Ledger) Repeated(pick func(id string) bool) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.repeated {
		if pick(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Total is how many effects there were, and how many repeats of a key were dropped.
func (l *Ledger) Total() (effects, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total, l.dropped
}
