package placement

import "larchrouter/internal/tier/turnstore"

// changeCanEnd reports whether enough stores of the new list have completed their sweep under the current generation for the
// joint placement to become stable. As long as the others hold FaultTolerance + 1 replicas of each program it does not wait for
// stores that were not confirmed for 2 * SuspectTimeout, nor for any store once the generation is older than FailureTimeout: one
// store must not keep the placement joint until the next loss. Stores that it did not wait for complete their sweep while the
// placement is stable.
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

// changeIsBlocked reports whether the change cannot end because too many stores of the new list failed before completing
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

// unsweptAllowed returns how many stores of a list may have an incomplete sweep while the others still hold
// FaultTolerance + 1 replicas of each program.
func (in *Input) unsweptAllowed(target []turnstore.Store) int {
	return max(0, min(len(target), in.Current.ReplicationFactor)-in.Current.DurableReplicas)
}
