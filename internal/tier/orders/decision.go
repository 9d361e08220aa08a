// Package orders decides what becomes of an operator's order: (state, order) -> decision. The state is the control state
// as the head of the chain has it, uncommitted entries included; a decision names the index of the last entry on which it
// rests, and may be told only once that entry is committed and a majority has confirmed the epoch. Pure: no clock, no
// socket, no goroutine.
package orders

import (
	"fmt"

	"larchrouter/internal/tier/chain"
)

// Kind says what became of an order.
type Kind int

// The kinds of decisions.
const (
	Accept          Kind = iota + 1 // append the writes; it is taken once the last of them is committed
	AlreadyApplied                  // this very order was taken before
	VersionMismatch                 // it was never taken, and another version than it builds on is in place
	Invalid                         // it was never taken, and must never be
	Unavailable                     // whether it was taken is not known any more: neither acknowledged nor refused
	NotFound                        // no configuration, or no store of this name
	Conflict                        // too few stores would be left
	InProgress                      // the store is being emptied
	Retired                         // the store was emptied
	Serving                         // phase: a store of this name holds turns
	Complete                        // phase: the store may be taken away
	Found                           // the configuration that was asked for
)

var kindNames = [...]string{"none", "accept", "already taken", "version mismatch", "invalid", "unsure", "not found", "conflict",
	"under way", "emptied", "serving", "complete", "found"}

// String names the kind.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// IsRejection tells whether the decision says that the order was not taken and will not be.
func (k Kind) IsRejection() bool {
	return k == VersionMismatch || k == Invalid || k == NotFound || k == Conflict
}

// IsAcknowledgement tells whether the decision says that the order was taken, now or before.
func (k Kind) IsAcknowledgement() bool {
	return k == Accept || k == AlreadyApplied || k == InProgress || k == Retired
}

// Write is one entry to be appended to the chain.
type Write struct {
	Key   string
	Value []byte
}

// Decision is what becomes of an order.
type Decision struct {
	Kind      Kind
	DependsOn int64   // index of the last entry looked at, committed or not; 0 for none
	Append    []Write // with Accept: in this order
	Body      []byte  // with Found
	Reason    string  // for the operator: what is the case, and what to do
}

// Order is one of PutConfig, ReadConfig, RetireStore and StorePhase.
type Order interface{ decide(s *State) Decision }

// Decide gives what becomes of an order in the state that the entries of the chain make. An error means that an entry of the
// state cannot be read, which proves nothing about the order.
func Decide(entries []chain.Entry, faultTolerance int, o Order) (Decision, error) {
	state, err := ReadState(entries, faultTolerance)
	if err != nil {
		return Decision{}, err
	}
	decision := o.decide(state)
	if state.history.err != nil {
		return Decision{}, state.history.err
	}
	return decision, nil
}
