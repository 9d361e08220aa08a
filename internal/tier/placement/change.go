package placement

import "larchrouter/internal/tier/turnstore"

// changeCanEnd reports whether enough stores of the new list have completed their sweep under the current generation for the
// joint placement to become stable. It does not wait for unresponsive stores, nor for any after FailureTimeout, as long as
// the others hold FaultTolerance + 1 replicas of each program: a further loss must not find the placement joint because of one
// store. Stores that are not waited for sweep while the placement is stable.
func (in *Input) changeCanEnd(target []turnstore.Store, t Timings) bool {
	unswept, timedOut := 0, in.Now-in.GenerationSince > t.FailureTimeout
	for _, store := range target {
		if in.Stores[store.ID].SweptGeneration >= in.Current.Generation {
			continue
		}
		if unswept++; !timedOut && in.elapsed(store.ID, t) <= 2*t.SuspectTimeout {
			return false
		}
	}
	return unswept <= in.unsweptAllowed(target)
}

// changeIsBlocked reports whether the change cannot end because too many stores of the new list failed before they completed
// their sweep.
func (in *Input) changeIsBlocked(target []turnstore.Store, t Timings) bool {
	unswept := 0
	for _, store := range target {
		if in.Stores[store.ID].SweptGeneration < in.Current.Generation && in.hasFailed(store, t) {
			unswept++
		}
	}
	return unswept > in.unsweptAllowed(target)
}

// unsweptAllowed returns how many stores of a list may lack data while the others hold FaultTolerance + 1 replicas of each
// program.
func (in *Input) unsweptAllowed(target []turnstore.Store) int {
	return max(0, min(len(target), in.Current.ReplicationFactor)-in.Current.DurableReplicas)
}
