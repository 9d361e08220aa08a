package orders

import (
	"fmt"

	"larchrouter/internal/tier/chain"
)

// Kind is the outcome of an order.
type Kind int

// The outcomes of orders.
const (
	Accept          Kind = iota + 1 // valid: append the entries; the order is applied once the last of them is committed
	AlreadyApplied                  // an earlier copy of this order was applied
	VersionMismatch                 // never applied; its base version is not the current version
	Invalid                         // never applied, and can't become valid
	Unavailable                     // neither acknowledged nor rejected: outcome unknown, applied on another base, or base not yet current
	NotFound                        // there is no configuration, or no store of this name
	Conflict                        // too few stores would remain, or a later usage window has overwritten this one
	InProgress                      // the store is being retired
	Retired                         // the retirement of the store is complete
	Serving                         // phase: a store of this name is in the placement
	Complete                        // phase: the store is retired; its machine and disk may be removed
	Found                           // Decision.Body is the current configuration
)

var kindNames = [...]string{"none", "accept", "already applied", "version mismatch", "invalid", "unavailable", "not found",
	"conflict", "in progress", "retired", "serving", "complete", "found"}

// String returns the kind's name.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// IsRejection reports whether the order was not applied and never will be. A retirement that was rejected may be accepted
// if the operator orders it again.
func (k Kind) IsRejection() bool {
	return k == VersionMismatch || k == Invalid || k == NotFound || k == Conflict
}

// IsAcknowledgement reports whether the order is applied, by this call or an earlier one.
func (k Kind) IsAcknowledgement() bool {
	return k == Accept || k == AlreadyApplied || k == InProgress || k == Retired
}

// Write is an entry to append to the chain.
type Write struct {
	Key   string
	Value []byte
}

// Decision is the outcome of an order, with the entries to append and the index on which it depends.
type Decision struct {
	Kind      Kind
	DependsOn int64   // index of the last entry on which the decision is based, committed or not; 0 for none
	Append    []Write // for Accept only: the entries to append, in this order
	Body      []byte  // for Found, and for RecordUsage if it is acknowledged
	Reason    string  // message to the operator: the cause and the remedy
}

// Order is one of PutConfig, ReadConfig, RetireStore, StorePhase, RecordFencingTokenBase and RecordUsage.
type Order interface{ decide(s *State) Decision }

// Decide returns the outcome of an order in the state that consists of the chain's entries. It returns an error if an
// entry can't be decoded; the outcome of the order is unknown then.
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
