package standin

import (
	"sync"
	"time"
)

// Ledger counts the effects of messages, over all hosts, at the time of each effect. Effects and keys are kept for one to two times the
// retention, so that a ledger can run for days.
type Ledger struct {
	window    time.Duration // in which a zone drops repetitions of a key
	retention time.Duration

	mu        sync.Mutex
	effects   [2]map[string]int       // by id, of the current and of the previous retention period
	keys      [2]map[string]time.Time // by zone and key, when it was applied
	rotatedAt time.Time               // when the current retention period began
	repeated  map[string]int          // effects of messages with more than one
	dropped   int                     // repetitions of a key
	total     int                     // effects
}

// NewLedger returns a ledger whose zones drop repetitions of a key within a window.
func NewLedger(window time.Duration) *Ledger {
	l := &Ledger{window: window, retention: max(10*time.Minute, window), rotatedAt: time.Now(), repeated: map[string]int{}}
	l.effects[0], l.keys[0] = map[string]int{}, map[string]time.Time{}
	return l
}

func (l *Ledger) apply(msg message, h *Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.rotatedAt) > l.retention {
		l.effects[1], l.keys[1], l.rotatedAt = l.effects[0], l.keys[0], now
		l.effects[0], l.keys[0] = map[string]int{}, map[string]time.Time{}
	}
	if msg.key != "" {
		k := h.Zone + " " + msg.key
		for _, keys := range l.keys {
			if at, ok := keys[k]; ok && now.Sub(at) < l.window {
				l.dropped++
				return
			}
		}
		l.keys[0][k] = now
	}
	l.effects[0][msg.id]++
	l.total++
	if n := l.effects[0][msg.id] + l.effects[1][msg.id]; n > 1 {
		l.repeated[msg.id] = n
	}
}

// Effects returns how often a message took effect.
func (l *Ledger) Effects(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effects[0][id] + l.effects[1][id]
}

// Repeated returns the selected messages that took effect more than once.
func (l *Ledger) Repeated(selected func(id string) bool) (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.repeated {
		if selected(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Total returns the number of effects and of dropped repetitions of a key.
func (l *Ledger) Total() (effects, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total, l.dropped
}
