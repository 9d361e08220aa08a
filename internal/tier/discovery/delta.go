package discovery

import "slices"

// Delta is the difference between two lists. Its fields are encoded in this order.
type Delta struct {
	FromTerm   int64 // of the list to which it applies
	FromNumber int64
	Term       int64 // of the list that it makes
	Number     int64
	Changed    []Host   // new and changed hosts, by rising ID
	Removed    []string // IDs
}

// Diff returns the delta from old to next. The hosts of both must be sorted by ID, as FetchHosts returns them.
func Diff(old, next *List) Delta {
	delta := Delta{FromTerm: old.Term, FromNumber: old.Number, Term: next.Term, Number: next.Number}
	position := 0
	for _, host := range next.Hosts {
		for position < len(old.Hosts) && old.Hosts[position].ID < host.ID {
			delta.Removed = append(delta.Removed, old.Hosts[position].ID)
			position++
		}
		if position < len(old.Hosts) && old.Hosts[position].ID == host.ID {
			if !old.Hosts[position].Equal(host) || old.Hosts[position].WarmupMs != host.WarmupMs {
				delta.Changed = append(delta.Changed, host)
			}
			position++
			continue
		}
		delta.Changed = append(delta.Changed, host)
	}
	for ; position < len(old.Hosts); position++ {
		delta.Removed = append(delta.Removed, old.Hosts[position].ID)
	}
	return delta
}

// Apply returns the list that a delta makes of l, which is not changed. ok is false if the delta applies to another list,
// or l is nil.
func (l *List) Apply(delta Delta) (next *List, ok bool) {
	if l == nil || l.Term != delta.FromTerm || l.Number != delta.FromNumber {
		return nil, false
	}
	replaced := make(map[string]bool, len(delta.Removed)+len(delta.Changed))
	for _, id := range delta.Removed {
		replaced[id] = true
	}
	for _, host := range delta.Changed {
		replaced[host.ID] = true
	}
	next = &List{Term: delta.Term, Number: delta.Number, Hosts: make([]Host, 0, len(l.Hosts)+len(delta.Changed))}
	for _, host := range l.Hosts {
		if !replaced[host.ID] {
			next.Hosts = append(next.Hosts, host)
		}
	}
	next.Hosts = append(next.Hosts, delta.Changed...)
	slices.SortFunc(next.Hosts, compareIDs)
	return next, true
}

// maxDeltas bounds the changes that a History keeps.
const maxDeltas = 64

// History keeps the last changes of a list, so that a follower with an older list can be sent a delta. The zero value is
// ready for use. It is not safe for concurrent use.
type History struct {
	deltas []Delta // consecutive: each applies to the list that the one before makes
}

// Add adds the change from one list to the next. If old is nil, all changes before are dropped.
func (h *History) Add(old, next *List) {
	if old == nil {
		h.deltas = nil
		return
	}
	h.deltas = append(h.deltas, Diff(old, next))
	if len(h.deltas) > maxDeltas {
		h.deltas = slices.Delete(h.deltas, 0, len(h.deltas)-maxDeltas)
	}
}

// Since returns a single delta from a list to the newest one; ok is false if that list is too old or unknown.
func (h *History) Since(term, number int64) (delta Delta, ok bool) {
	i := slices.IndexFunc(h.deltas, func(d Delta) bool { return d.FromTerm == term && d.FromNumber == number })
	if i < 0 {
		return Delta{}, false
	}
	changed := map[string]Host{}
	removed := map[string]bool{}
	for _, step := range h.deltas[i:] {
		for _, id := range step.Removed {
			delete(changed, id)
			removed[id] = true
		}
		for _, host := range step.Changed {
			changed[host.ID] = host
			delete(removed, host.ID)
		}
		delta.Term, delta.Number = step.Term, step.Number
	}
	delta.FromTerm, delta.FromNumber = term, number
	for _, host := range changed {
		delta.Changed = append(delta.Changed, host)
	}
	slices.SortFunc(delta.Changed, compareIDs)
	for id := range removed {
		delta.Removed = append(delta.Removed, id)
	}
	slices.Sort(delta.Removed)
	return delta, true
}
