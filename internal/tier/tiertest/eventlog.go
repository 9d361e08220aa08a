package tiertest

import (
	"slices"
	"sync"
	"time"

	"larchrouter/internal/standin/modelhost"
)

// EventLog is where clients and the operator record what they observe. It is safe for concurrent use; its zero value is
// ready.
type EventLog struct {
	revocationBound time.Duration // of the tier; set before the first use

	mu       sync.Mutex
	attempts []Attempt
	orders   []Order
	results  []Result

	terminations []Termination
}

func (l *EventLog) addAttempt(a Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

func (l *EventLog) addResult(r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

func (l *EventLog) addTermination(t Termination) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terminations = append(l.terminations, t)
}

// orderSent records an order that is about to be sent, and returns its number for orderAnswered.
func (l *EventLog) orderSent(o Order) (number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.Sent = time.Now()
	l.orders = append(l.orders, o)
	return len(l.orders) - 1
}

// orderAnswered records the answer to an order; neither acknowledged nor rejected means that there was no clear answer.
func (l *EventLog) orderAnswered(number int, acknowledged, rejected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.orders[number].Rejected = rejected; acknowledged {
		l.orders[number].Acknowledged = time.Now()
	}
}

// NewestAcknowledged returns the highest acknowledged version, 0 if there is none.
func (l *EventLog) NewestAcknowledged() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return newestAcknowledged(l.orders)
}

func newestAcknowledged(orders []Order) (version int64) {
	for _, order := range orders {
		if !order.Acknowledged.IsZero() {
			version = max(version, order.Version)
		}
	}
	return version
}

// History returns a copy of what was recorded, with the runs of the hosts. No program, order or run may be in progress.
func (l *EventLog) History(runLog *modelhost.RunLog) *History {
	runs := runLog.Runs()
	l.mu.Lock()
	defer l.mu.Unlock()
	return &History{Attempts: slices.Clone(l.attempts), Runs: runs, Orders: slices.Clone(l.orders), Results: slices.Clone(l.results),
		Terminations: slices.Clone(l.terminations), GracePeriod: gracePeriod,
		EventTokens: EventTokens, ToolResponseBytes: ToolResponseBytes, Retention: Retention, RevocationBound: l.revocationBound}
}

// Attempts returns a copy of the attempts recorded so far.
func (l *EventLog) Attempts() []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.attempts)
}
