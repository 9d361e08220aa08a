package orders

import (
	"fmt"

	"larchrouter/internal/tier/chain"
)

// Kind is the outcome of an order.
type Kind int

// The outcomes of orders.
const (
	Accept          Kind = iota + 1 // valid: append the writes; it is applied once the last of them is committed
	AlreadyApplied                  // this order was applied before, by an earlier copy of it
	VersionMismatch                 // never applied; the current version is not the one on which it builds
	Invalid                         // never applied, and it can't become valid
	Unavailable                     // neither acknowledged nor rejected: applied on another base, too old to know, or its base is not in force yet
	NotFound                        // there is no configuration, or no store of this name
	Conflict                        // too few stores would remain
	InProgress                      // the store is being retired
	Retired                         // the store's retirement is complete
	Serving                         // phase: a store of this name is in the placement
	Complete                        // phase: the store is retired, its machine and disk may be removed
	Found                           // the current configuration is in Decision.Body
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

// IsRejection reports whether the order was not applied and never will be.
func (k Kind) IsRejection() bool {
	return k == VersionMismatch || k == Invalid || k == NotFound || k == Conflict
}

// IsAcknowledgement reports whether the order is applied, by this call or an earlier one.
func (k Kind) IsAcknowledgement() bool {
	return k == Accept || k == AlreadyApplied || k == InProgress || k == Retired
}

// Write is one entry to append to the chain.
type Write struct {
	Key   string
	Value []byte
}

// Decision is the outcome of an order and what it depends on.
type Decision struct {
	Kind      Kind
	DependsOn int64   // index of the last entry that was read for it, committed or not; 0 if there was none
	Append    []Write // with Accept only: the entries to append, in this order
	Body      []byte  // of Found, and of RecordUsage if it is acknowledged
	Reason    string  // for the operator: the cause and the remedy
}

// Order is one of PutConfig, ReadConfig, RetireStore, StorePhase, RecordFencingTokenBase and RecordUsage.
type Order interface{ decide(s *State) Decision }

// Decide returns the outcome of an order in the state that the chain's entries make. It returns an error if an entry
// can't be decoded; nothing is known about the order then.
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
