package discovery

import (
	"cmp"
	"slices"
)

// Delta is what differs between two lists: a list of thousands of hosts is sent whole once, then only what changes.
type Delta struct {
	FromTerm   int64
	FromNumber int64
	Term       int64
	Number     int64
	Changed    []Host // new ones and those that say something else, by id
	Removed    []string
}

// Diff gives what makes next of old. Both are ordered by id, as Asker gives them.
func Diff(old, next *List) Delta {
	d := Delta{FromTerm: old.Term, FromNumber: old.Number, Term: next.Term, Number: next.Number}
	i := 0
	for _, h := range next.Hosts {
		for i < len(old.Hosts) && old.Hosts[i].ID < h.ID {
			d.Removed = append(d.Removed, old.Hosts[i].ID)
			i++
		}
		if i < len(old.Hosts) && old.Hosts[i].ID == h.ID {
			if !old.Hosts[i].Equal(h) || old.Hosts[i].WarmupMs != h.WarmupMs {
				d.Changed = append(d.Changed, h)
			}
			i++
			continue
		}
		d.Changed = append(d.Changed, h)
	}
	for ; i < len(old.Hosts); i++ {
		d.Removed = append(d.Removed, old.Hosts[i].ID)
	}
	return d
}

// Apply makes the next list; ok is false where the delta does not begin at this list.
func (l *List) Apply(d Delta) (next *List, ok bool) {
	if l == nil || l.Term != d.FromTerm || l.Number != d.FromNumber {
		return nil, false
	}
	gone := make(map[string]bool, len(d.Removed)+len(d.Changed))
	for _, id := range d.Removed {
		gone[id] = true
	}
	for _, h := range d.Changed {
		gone[h.ID] = true
	}
	next = &List{Term: d.Term, Number: d.Number, Hosts: make([]Host, 0, len(l.Hosts)+len(d.Changed))}
	for _, h := range l.Hosts {
		if !gone[h.ID] {
			next.Hosts = append(next.Hosts, h)
		}
	}
	next.Hosts = append(next.Hosts, d.Changed...)
	slices.SortFunc(next.Hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return next, true
}

// History keeps the last deltas, so that a follower that is a little behind gets what it lacks.
type History struct{ deltas []Delta }

const historyKept = 64

// Add takes the change from one list to the next.
func (h *History) Add(old, next *List) {
	if old == nil {
		h.deltas = nil
		return
	}
	h.deltas = append(h.deltas, Diff(old, next))
	if len(h.deltas) > historyKept {
		h.deltas = slices.Delete(h.deltas, 0, len(h.deltas)-historyKept)
	}
}

// Since gives one delta from a list on to the newest; ok is false where that one is not known any more.
func (h *History) Since(term, number int64) (d Delta, ok bool) {
	i := slices.IndexFunc(h.deltas, func(d Delta) bool { return d.FromTerm == term && d.FromNumber == number })
	if i < 0 {
		return Delta{}, false
	}
	changed := map[string]Host{}
	removed := map[string]bool{}
	for _, one := range h.deltas[i:] {
		for _, id := range one.Removed {
			delete(changed, id)
			removed[id] = true
		}
		for _, host := range one.Changed {
			changed[host.ID] = host
			delete(removed, host.ID)
		}
		d.Term, d.Number = one.Term, one.Number
	}
	d.FromTerm, d.FromNumber = term, number
	for _, host := range changed {
		d.Changed = append(d.Changed, host)
	}
	slices.SortFunc(d.Changed, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	for id := range removed {
		d.Removed = append(d.Removed, id)
	}
	slices.Sort(d.Removed)
	return d, true
}
