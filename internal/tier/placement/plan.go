// Package placement decides the duty of placement: which stores hold the copies, as they come, go, lose their disks
// and are emptied. It is the duty of the chain's head, whose epoch fences it. Pure.
package placement

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// Timings of the duty.
type Timings struct {
	InitialWait     time.Duration // wait for others before the stores are placed for the first time
	ExtendedWait    time.Duration // as long again, where fewer came than all copies need, or where stores were placed before
	ConfirmInterval time.Duration // between two registrations that confirm each other
	SuspectTimeout  time.Duration // silence after which a store may be gone: longer than the pause between its registrations
	FailureTimeout  time.Duration // silence after which a newcomer may take a store's place
	RemovalTimeout  time.Duration // silence after which a store is taken off the list
	TakeoverGrace   time.Duration // for a new holder of the duty, before silence that it was told counts
}

// listen is longer than a store that runs takes to register with a new head. One that followed the head before asks another
// node 0.95 s after that one was lost, some 0.2 s after the new head came; a call that it began before then ends within 0.8 s,
// and the next one takes up to 0.15 s. One that followed another node is heard within 0.65 s.
const listen = 1200 * time.Millisecond

// DefaultTimings gives the timings for contact, the time for which a machine that is in trouble may stay away.
func DefaultTimings(contact time.Duration) Timings {
	return Timings{InitialWait: 700 * time.Millisecond, ExtendedWait: 4 * time.Second, ConfirmInterval: 80 * time.Millisecond,
		SuspectTimeout: 600 * time.Millisecond, FailureTimeout: contact / 2, RemovalTimeout: 2 * contact, TakeoverGrace: listen}
}

// Input is what the holder of the duty knows.
type Input struct {
	Now             time.Duration
	TookOverAt      time.Duration // when it took the duty: the silence that it measures itself counts from there at the earliest
	Inherited       Observations  // what the holder before it had measured, empty for nothing
	GenerationSince time.Duration // when it first saw the placement's gen
	FaultTolerance  int
	Current         *turnstore.Placement   // nil for none
	Stores          map[string]StoreStatus // by id
	Retired         map[string]bool        // ids that are to be emptied, or were
	Departures      Departures             // of those that were, as this holder of the duty saw it
}

// Plan gives the placement that should replace the present one, nil for none.
func Plan(s Input, t Timings) *turnstore.Placement {
	copies := 2*s.FaultTolerance + 1
	if s.Current == nil {
		return found(s, t, copies)
	}
	target := s.Current.Old
	if s.joint() {
		target = s.Current.New
	}
	want := s.wanted(target, t, copies)
	next := *s.Current
	next.SweptIDs = nil
	switch newest := s.newestGen(); {
	case newest > s.Current.Generation:
		next.Generation, next.New = newest+1, want
		return &next
	case s.joint() && s.swept(target, t):
		next.Old, next.New = target, nil
		return &next
	case s.joint() && !s.blocked(target, t):
		return nil // one change after the other: what this one takes off must not stay in force longer for the next
	case !slices.Equal(want, target):
		next.Generation, next.New = next.Generation+1, want
		return &next
	}
	return nil
}

// newestGen is the highest gen that any store has adopted, as far as is known. Where the core was founded anew it is
// above the placement's, and stores refuse what comes under an older gen.
func (s *Input) newestGen() (gen int64) {
	for _, r := range s.Stores {
		gen = max(gen, r.Generation, r.SweptGeneration)
	}
	return gen
}

func found(s Input, t Timings, copies int) *turnstore.Placement {
	var all []turnstore.Store
	first := s.Now
	for _, r := range s.Stores {
		first = min(first, r.FirstSeen)
		if !s.Retired[r.Store.ID] && r.ConfirmedAt > 0 && !s.superseded(r) && s.Now-r.ConfirmedAt <= t.FailureTimeout {
			all = append(all, r.Store)
		}
	}
	waited, newest := s.Now-first, s.newestGen()
	patient := len(all) < copies || newest > 0
	if waited < t.InitialWait || patient && waited < t.ExtendedWait || len(all) <= s.FaultTolerance {
		return nil
	}
	slices.SortFunc(all, func(a, b turnstore.Store) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID)) })
	return &turnstore.Placement{Generation: newest + 1, ReplicationFactor: copies, DurableReplicas: s.FaultTolerance + 1, FaultTolerance: s.FaultTolerance, Old: all}
}

// unclear tells whether a store may be gone or not: it is late with its registration, or this holder of the duty has
// not heard it yet; soon it is heard, or it is silent for long enough and its successor has come. Meanwhile nothing
// that can wait begins. One at whose address another has come is gone.
func (s *Input) unclear(one turnstore.Store, t Timings) bool {
	r, known := s.Stores[one.ID]
	if !known {
		r.Store = one
	}
	silence := s.silence(one.ID, t)
	return silence <= 2*t.FailureTimeout && (r.ConfirmedAt == 0 || silence > t.SuspectTimeout) && !s.superseded(r)
}

// superseded tells whether another store has been heard at the same address since: the one before it is gone, however
// lately it was heard.
func (s *Input) superseded(r StoreStatus) bool {
	for _, o := range s.Stores {
		if o.Store.Addr == r.Store.Addr && o.Store.ID != r.Store.ID && o.ConfirmedAt > r.ConfirmedAt {
			return true
		}
	}
	return false
}

// swept tells whether enough stores of a list have swept under the present gen for the change to end. Those that are
// silent or take long are not waited for, as long as those that have swept hold losses + 1 copies of each program:
// another loss must not find a change half done because of one store. They sweep later.
func (s *Input) swept(target []turnstore.Store, t Timings) bool {
	missing, waited := 0, s.Now-s.GenerationSince > t.FailureTimeout
	for _, one := range target {
		if s.Stores[one.ID].SweptGeneration >= s.Current.Generation {
			continue
		}
		if missing++; !waited && s.silence(one.ID, t) <= 2*t.SuspectTimeout {
			return false
		}
	}
	return missing <= s.spare(target)
}

// blocked tells whether a change can not end because too many stores of its list are absent.
func (s *Input) blocked(target []turnstore.Store, t Timings) bool {
	missing := 0
	for _, one := range target {
		if s.Stores[one.ID].SweptGeneration < s.Current.Generation && s.absent(one, t) {
			missing++
		}
	}
	return missing > s.spare(target)
}

// spare is how many stores of a list may be empty with losses + 1 copies of each program on others.
func (s *Input) spare(target []turnstore.Store) int {
	return max(0, min(len(target), s.Current.ReplicationFactor)-s.Current.DurableReplicas)
}

// absent tells whether a store of the list is silent, or gone since another is at its address.
func (s *Input) absent(one turnstore.Store, t Timings) bool {
	return s.silence(one.ID, t) > t.FailureTimeout || s.superseded(s.Stores[one.ID])
}

// wanted is the list as it should be.
func (s *Input) wanted(target []turnstore.Store, t Timings, copies int) []turnstore.Store {
	want := slices.Clone(target)
	for i, o := range want {
		if r, known := s.Stores[o.ID]; known {
			want[i] = r.Store // its address may have changed
		}
	}
	for _, n := range s.newcomers(target, t) {
		want = s.place(want, n, t)
	}
	unclear := slices.ContainsFunc(want, func(o turnstore.Store) bool { return s.unclear(o, t) })
	for i := len(want) - 1; i >= 0 && len(want) > copies; i-- {
		id := want[i].ID
		if s.Retired[id] && !unclear || s.silence(id, t) > t.RemovalTimeout || s.silence(id, t) > t.FailureTimeout && s.succeeded(id, want, t) {
			want = slices.Delete(want, i, i+1)
		}
	}
	return want
}

// succeeded tells whether a store of the list came about when another was heard last: it was given a place more, as the
// other had been heard a moment before, and is its successor.
func (s *Input) succeeded(id string, list []turnstore.Store, t Timings) bool {
	left := s.Stores[id].ConfirmedAt - t.SuspectTimeout
	return slices.ContainsFunc(list, func(o turnstore.Store) bool {
		r, known := s.Stores[o.ID]
		return known && o.ID != id && r.ConfirmedAt > 0 && r.FirstSeen > left
	})
}

// newcomers are the stores that were heard lately and are not in the list, in a fixed order.
func (s *Input) newcomers(target []turnstore.Store, t Timings) (all []turnstore.Store) {
	for id, r := range s.Stores {
		listed := slices.ContainsFunc(target, func(o turnstore.Store) bool { return o.ID == id })
		if !listed && !s.Retired[id] && r.ConfirmedAt > 0 && s.Now-r.ConfirmedAt < t.FailureTimeout && !s.superseded(r) && !s.justEmptied(r.Store.Name, t) {
			all = append(all, r.Store)
		}
	}
	slices.SortFunc(all, func(a, b turnstore.Store) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// place gives a newcomer a place: that of the store before it at its address, that of a silent one, or a place more.
// While some store may be gone or not, no place is added: the newcomer may be its successor, and a list with one that
// is gone and its successor side by side has one loss less to bear until the first is taken off. One under the name of a
// store of the list is the successor of that one.
func (s *Input) place(want []turnstore.Store, n turnstore.Store, t Timings) []turnstore.Store {
	find := func(f func(turnstore.Store) bool) int { return slices.IndexFunc(want, f) }
	i := find(func(o turnstore.Store) bool { return o.Addr == n.Addr })
	if i < 0 {
		i = find(func(o turnstore.Store) bool { return o.Name == n.Name && s.silence(o.ID, t) > t.FailureTimeout })
	}
	if i < 0 {
		i = find(func(o turnstore.Store) bool { return s.silence(o.ID, t) > t.FailureTimeout })
	}
	waits := func(o turnstore.Store) bool { return o.Name == n.Name || s.unclear(o, t) }
	switch {
	case i >= 0:
		want[i] = n
	case find(waits) < 0:
		want = append(want, n)
	}
	return want
}

// joint tells whether a change is under way.
func (s *Input) joint() bool { return len(s.Current.New) > 0 }

// CanRetire tells whether enough stores stay when one is emptied.
func CanRetire(p *turnstore.Placement, retired map[string]bool, losses int) bool {
	left := -1
	target := p.Old
	if len(p.New) > 0 {
		target = p.New
	}
	for _, s := range target {
		if !retired[s.ID] {
			left++
		}
	}
	return left >= 2*losses+1
}
