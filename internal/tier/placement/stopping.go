package placement

import (
	"slices"

	"larchrouter/internal/tier/turnstore"
)

// A store that was told to stop does not know whether its machine will start again. If it will not, its successor is running
// already, and the machine counts as lost no longer than the successor needs to catch up: the next loss may come as soon as the
// store has stopped, so its replicas must have moved by then. If the machine starts again, moving them would be a waste. The
// nominal number of stores tells the two apart: while the list has more stores, one of them may be a successor whose predecessor
// has not stopped yet. While it has no more, each listed store that stopped is one of the tolerated losses, or stands for a
// machine that is not listed and counts as one.

// InitialStores returns how many stores a control state records, once, as those that a deployment has without successors whose
// predecessors are still in the placement. It includes the stores retired until then, as NominalStores takes off all of them.
func InitialStores(p *turnstore.Placement, retired map[string]bool) int {
	initial := len(retired)
	for _, store := range targetList(p) {
		if !retired[store.ID] {
			initial++
		}
	}
	return initial
}

// NominalStores returns the number of stores of a deployment, given the recorded number of InitialStores, 0 if there is none yet.
// A store that is added stays the possible successor of another one, and a store that is retired has none.
func NominalStores(initial int, retired map[string]bool) int {
	if initial == 0 {
		return 0
	}
	return max(1, initial-len(retired))
}

// StopDecision is the response to a store's request to stop.
type StopDecision int

// The decisions on a request to stop.
const (
	StopDenied   StopDecision = iota // it goes on serving, and asks again
	StopUnplaced                     // it may stop, and is not in the placement
	StopPlaced                       // it may stop, and stays in the placement, as it may start again
)

// RequestStop records in Input.Stores that a store was told to stop, and decides whether it may stop now. It may not while a
// change of the placement, such as its removal, is due or in progress, or while as many other stores as may be lost are missing:
// a majority may need its replicas.
func RequestStop(in Input, id string, t Timings) StopDecision {
	status, known := in.Stores[id]
	if !known || in.Current == nil {
		return StopDenied // it has yet to register with this head
	}
	status.StopRequestedAt = in.Now
	in.Stores[id] = status
	switch {
	case !turnstore.ContainsStore(in.Current.Stores(), id):
		return StopUnplaced
	case in.isJoint() || in.missingStores(id, t) >= max(1, in.FaultTolerance):
		return StopDenied
	}
	desired := in.desiredStores(in.Current.Old, in.stoppingStores(in.Current.Old, t), t, in.Current.ReplicationFactor)
	if !slices.Equal(desired, in.Current.Old) {
		return StopDenied
	}
	status.StopPermittedAt = in.Now
	in.Stores[id] = status
	return StopPlaced
}

// leavingStores returns the stores of a list that were told to stop, and none while it is undecided whether another one has
// failed: one change then does for all.
func (in *Input) leavingStores(list []turnstore.Store, t Timings) []turnstore.Store {
	undecided := func(o turnstore.Store) bool { return in.isSuspect(o, t) && in.elapsed(o.ID, t) <= t.FailureTimeout }
	if slices.ContainsFunc(list, undecided) {
		return nil
	}
	return in.stoppingStores(list, t)
}

// stoppingStores returns the stores of a list that were told to stop.
func (in *Input) stoppingStores(list []turnstore.Store, t Timings) (stopping []turnstore.Store) {
	for _, store := range list {
		if in.isStopping(store.ID, t) {
			stopping = append(stopping, store)
		}
	}
	return stopping
}

// missingStores returns how many stores of a stable placement, other than the given one, may not serve their replicas.
func (in *Input) missingStores(id string, t Timings) (missing int) {
	for _, store := range in.Current.Old {
		if store.ID != id && in.isMissing(store, t) {
			missing++
		}
	}
	return missing
}

// isMissing reports whether a store of a stable placement has not registered in time, may have stopped, or has not completed its
// sweep. Unlike isSuspect it counts a store that this head has not heard yet, and one whose registrations were missed during a
// pause of the head.
func (in *Input) isMissing(store turnstore.Store, t Timings) bool {
	status := in.Stores[store.ID]
	late := status.ConfirmedAt == 0 || in.Now-status.ConfirmedAt > t.SuspectTimeout
	permitted := status.StopPermittedAt > 0 && in.Now-status.StopPermittedAt <= t.FailureTimeout
	unswept := in.Current.Generation > 1 && status.SweptGeneration < in.Current.Generation
	return late || permitted || unswept || in.isSuperseded(status)
}

// isStopping reports whether the store was told to stop and has not started again since: then its registrations go on after its
// last request. It may have stopped already.
func (in *Input) isStopping(id string, t Timings) bool {
	status := in.Stores[id]
	return status.StopRequestedAt > 0 && status.ConfirmedAt-status.StopRequestedAt <= t.SuspectTimeout
}

// exceedsNominal reports whether a list of a length has a store that may be the successor of another one of it.
func (in *Input) exceedsNominal(length int) bool {
	return in.NominalStores > 0 && length > in.NominalStores
}

// targetList returns the list of stores that is in force once the change in progress, if any, has ended.
func targetList(p *turnstore.Placement) []turnstore.Store {
	if len(p.New) > 0 {
		return p.New
	}
	return p.Old
}
