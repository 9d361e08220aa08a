package turnstore

import "larchrouter/internal/tier/budget"

// reservationState is the state of a reservation as decided by the responses so far.
type reservationState int

const (
	reservationPending     reservationState = iota // more responses are needed
	reservationReread                              // a majority must be read again
	reservationGranted                             // the turn fits into the budget
	reservationExceeded                            // the budget is exceeded
	reservationUndecidable                         // no majority can be reached
)

// The phases of a reservation.
const (
	phaseReserve = 1 // the entry is written to a majority, which returns its ledgers
	phaseReread  = 2 // the ledgers of a majority are read again
)

// reservation decides whether a turn fits into its program's budget. In the first phase the entry is written to a
// majority of replicas, whose ledgers are joined. Openings that run concurrently may miss each other's entries there;
// where the sum is over half of the budget, so that they could exceed it together, each reads a majority again once its
// own entry is at a majority: the last of them to have written sees all. The proof is in docs/design/011-tier.md. It is
// pure.
type reservation struct {
	budget int
	groups []ReplicaSet
	ledger budget.Ledger // join of all ledgers received, in both phases
	phase  int
	quorum *quorum // of the current phase
}

func newReservation(groups []ReplicaSet, budget int) *reservation {
	return &reservation{budget: budget, groups: groups, phase: phaseReserve, quorum: newQuorum(groups, majority)}
}

// addResponse takes a store's response of a phase; ok is false if the call failed. A late response of the first phase
// still contributes its ledger, not to the quorum of the second.
func (r *reservation) addResponse(phase int, store string, ok bool, ledger []budget.Entry) {
	if ok {
		r.ledger.Merge(ledger)
	}
	if phase == r.phase {
		r.quorum.record(store, ok)
	}
}

// decide returns the state by the responses so far. With reservationReread the reservation enters the second phase.
func (r *reservation) decide() reservationState {
	reached, impossible := r.quorum.state()
	switch {
	case !reached && impossible:
		return reservationUndecidable
	case !reached:
		return reservationPending
	case !r.ledger.Fits(r.budget):
		return reservationExceeded
	case r.phase == phaseReserve && r.ledger.Sum() > r.budget/2:
		r.phase = phaseReread
		r.quorum = newQuorum(r.groups, majority)
		return reservationReread
	}
	return reservationGranted
}
