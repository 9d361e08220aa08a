package turnstore

import "larchrouter/internal/tier/budget"

// quorum counts the answers of copies, in each group of a key's copies. It is pure.
type quorum struct {
	groups []ReplicaSet
	required   func(ReplicaSet) int
	responses   map[string]bool // by store: answered as wanted, or failed
}

func majority(c ReplicaSet) int { return c.Majority() }

func newQuorum(groups []ReplicaSet, need func(ReplicaSet) int) *quorum {
	return &quorum{groups: groups, required: need, responses: map[string]bool{}}
}

func (q *quorum) record(store string, ok bool) {
	if !q.responses[store] {
		q.responses[store] = ok
	}
}

// state tells whether enough have answered, or can not any more.
func (q *quorum) state() (reached, lost bool) {
	reached = true
	for _, g := range q.groups {
		yes, open := 0, 0
		for _, s := range g {
			switch ok, heard := q.responses[s.ID]; {
			case ok:
				yes++
			case !heard:
				open++
			}
		}
		n := q.required(g)
		if n == 0 || yes < n {
			reached = false
		}
		if yes+open < n || n == 0 {
			lost = true
		}
	}
	return reached, lost
}

// reservationState on the opening of a turn.
type reservationState int

// Verdicts.
const (
	reservationPending   reservationState = iota // for more answers
	reservationReread                // a majority must be read once more
	reservationGranted
	reservationExceeded
	reservationUndecidable // a majority can not be had
)

// reservation decides whether a turn fits into its program's budget, by what the copies answer: to the reservation
// first, then, past half of the budget, to a second read. It is pure.
type reservation struct {
	budget int
	groups []ReplicaSet
	ledger budget.Ledger
	phase  int
	quorum *quorum
}

func newReservation(groups []ReplicaSet, budget int) *reservation {
	return &reservation{budget: budget, groups: groups, phase: 1, quorum: newQuorum(groups, majority)}
}

// addResponse takes what a store said to the given round; nil entries with ok false mean that it failed.
func (r *reservation) addResponse(round int, store string, ok bool, ledger []budget.Entry) {
	if ok {
		r.ledger.Merge(ledger)
	}
	if round == r.phase {
		r.quorum.record(store, ok)
	}
}

// decide on what was said so far; after ReadAgain the second round counts.
func (r *reservation) decide() reservationState {
	reached, lost := r.quorum.state()
	switch {
	case !reached && lost:
		return reservationUndecidable
	case !reached:
		return reservationPending
	case !r.ledger.Fits(r.budget):
		return reservationExceeded
	case r.phase == 1 && r.ledger.Sum() > r.budget/2:
		r.phase = 2
		r.quorum = newQuorum(r.groups, majority)
		return reservationReread
	}
	return reservationGranted
}
