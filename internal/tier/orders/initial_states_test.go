package orders

import (
	"fmt"
	"sync"

	"larchrouter/internal/tier/chain"
)

// initialState is a state in which a simulation starts: empty, with a long history, or in the legacy format.
type initialState struct {
	entries          []chain.Entry
	committedChanges []configChange
	isLegacyFormat   bool // the format without records
}

var initialStates = sync.OnceValue(func() []initialState {
	changesBetween := func(from, to int64) (all []configChange) {
		for v := from; v <= to; v++ {
			all = append(all, configChange{v, v - 1, fmt.Sprintf("%d by earlier", v)})
		}
		return all
	}
	legacyState := func(all []configChange) initialState {
		var applied []PutConfig
		for _, c := range all[max(0, len(all)-legacyDigestLimit):] {
			applied = append(applied, c.order())
		}
		l := &entryLog{}
		l.append(legacyConfigWrite(all[len(all)-1].version, applied...))
		return initialState{l.entries, all, true}
	}
	states := []initialState{{}, {}, {}, legacyState(changesBetween(1, 10)), legacyState(changesBetween(1, 150))}
	l := &entryLog{}
	full := changesBetween(1, 1100)
	for i, c := range full {
		d, err := Decide(l.entries, 1, c.order())
		if err != nil || d.Kind != Accept {
			panic(fmt.Sprint(d.Kind, err))
		}
		l.append(d.Append...)
		l.compact()
		if i+1 == 60 || i+1 == 1000 || i+1 == 1100 {
			states = append(states, initialState{append([]chain.Entry(nil), l.entries...), full[:i+1], false})
		}
	}
	return states
})
