package placement

import (
	"larchrouter/internal/tier/turnstore"
)

// changeCanEnd tells whether enough stores of a list have changeCanEnd under the present gen for the change to end. Those that are
// silent or take long are not waited for, as long as those that have changeCanEnd hold losses + 1 copies of each program:
// another loss must not find a change half done because of one store. They sweep later.
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

// changeIsBlocked tells whether a change can not end because too many stores of its list are absent.
func (in *Input) changeIsBlocked(target []turnstore.Store, t Timings) bool {
	unswept := 0
	for _, store := range target {
		if in.Stores[store.ID].SweptGeneration < in.Current.Generation && in.hasFailed(store, t) {
			unswept++
		}
	}
	return unswept > in.unsweptAllowed(target)
}

// unsweptAllowed is how many stores of a list may be empty with losses + 1 copies of each program on others.
func (in *Input) unsweptAllowed(target []turnstore.Store) int {
	return max(0, min(len(target), in.Current.ReplicationFactor)-in.Current.DurableReplicas)
}
