package turnstore

import "larchrouter/internal/tier/budget"

// quorum counts the answers of copies, in each group of a key's copies. It is pure.
type quorum struct {
	groups []ReplicaSet
	need   func(ReplicaSet) int
	said   map[string]bool // by store: answered as wanted, or failed
}

func majority(c ReplicaSet) int { return c.Majority() }

func newQuorum(groups []ReplicaSet, need func(ReplicaSet) int) *quorum {
	return &quorum{groups: groups, need: need, said: map[string]bool{}}
}

func (q *quorum) set(store string, ok bool) {
	if !q.said[store] {
		q.said[store] = ok
	}
}

// state tells whether enough have answered, or can not any more.
func (q *quorum) state() (reached, lost bool) {
	reached = true
	for _, g := range q.groups {
		yes, open := 0, 0
		for _, s := range g {
			switch ok, heard := q.said[s.ID]; {
			case ok:
				yes++
			case !heard:
				open++
			}
		}
		n := q.need(g)
		if n == 0 || yes < n {
			reached = false
		}
		if yes+open < n || n == 0 {
			lost = true
		}
	}
	return reached, lost
}

// Verdict on the opening of a turn.
type Verdict int

// Verdicts.
const (
	Waiting   Verdict = iota // for more answers
	ReadAgain                // a majority must be read once more
	Granted
	Spent
	Unsure // a majority can not be had
)

// reservation decides whether a turn fits into its program's budget, by what the copies answer: to the reservation
// first, then, past half of the budget, to a second read. It is pure.
type reservation struct {
	budget int
	groups []ReplicaSet
	ledger budget.Ledger
	round  int
	quorum *quorum
}

func newReservation(groups []ReplicaSet, budget int) *reservation {
	return &reservation{budget: budget, groups: groups, round: 1, quorum: newQuorum(groups, majority)}
}

// answer takes what a store said to the given round; nil entries with ok false mean that it failed.
func (r *reservation) answer(round int, store string, ok bool, ledger []budget.Entry) {
	if ok {
		r.ledger.Merge(ledger)
	}
	if round == r.round {
		r.quorum.set(store, ok)
	}
}

// verdict on what was said so far; after ReadAgain the second round counts.
func (r *reservation) verdict() Verdict {
	reached, lost := r.quorum.state()
	switch {
	case !reached && lost:
		return Unsure
	case !reached:
		return Waiting
	case !r.ledger.Fits(r.budget):
		return Spent
	case r.round == 1 && r.ledger.Sum() > r.budget/2:
		r.round = 2
		r.quorum = newQuorum(r.groups, majority)
		return ReadAgain
	}
	return Granted
}
