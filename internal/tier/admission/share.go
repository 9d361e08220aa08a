package admission

import (
	"maps"
	"slices"
)

const (
	minShare = 0.4  // of how often all calls are served, that each kind is to have at least
	arrivalWindow = 4096 // calls that came, after which the counts of all are halved
	maxCredit = 8    // calls that a kind is owed at most, whose calls could not be served for a while
	maxDebt   = 2    // calls beyond its share that are held against a kind
	maxClasses  = 256  // kinds that are remembered though none of their calls wait
)

// class counts the calls of one class of request.
type class struct {
	credit    float64 // calls that should have been served beside those that were
	queued int
	entries   []*Entry // as they came, with some that have gone
}

// oldest is the call of the kind that has waited longest.
func (c *class) oldest() *Entry {
	c.entries = dropRemovedHead(c.entries)
	return c.entries[0]
}

// fairness keeps how often each kind of request is served.
type fairness struct {
	classes        map[string]*class
	queued      []*class // those of which calls wait
	arrivals, admissions float64
}

// added counts a call that came.
func (f *fairness) added(entry *Entry) {
	counted := f.classes[entry.Class]
	if counted == nil {
		if len(f.classes) >= maxClasses {
			maps.DeleteFunc(f.classes, func(_ string, counted *class) bool { return counted.queued == 0 })
		}
		counted = &class{}
		f.classes[entry.Class] = counted
	}
	if f.arrivals++; f.arrivals >= arrivalWindow {
		f.arrivals, f.admissions = f.arrivals/2, f.admissions/2
	}
	counted.credit = min(maxCredit, counted.credit+minShare*f.admissions/f.arrivals)
	if counted.queued++; counted.queued == 1 {
		f.queued = append(f.queued, counted)
	}
	counted.entries = append(dropRemovedHead(counted.entries), entry)
}

// removed counts a call that waits no longer.
func (f *fairness) removed(entry *Entry) {
	counted := f.classes[entry.Class]
	if counted.queued--; counted.queued == 0 {
		counted.entries = nil
		f.queued = slices.DeleteFunc(f.queued, func(other *class) bool { return other == counted })
	}
}

// admitted counts a call that got a slot.
func (f *fairness) admitted(entry *Entry) {
	f.admissions++
	if counted := f.classes[entry.Class]; counted != nil { // it may have been forgotten since
		counted.credit = max(-maxDebt, counted.credit-1)
	}
}

// mostStarved is the call whose turn it is since its kind is served too seldom; nil where no kind is. Of several kinds it is
// that which is owed most.
func (f *fairness) mostStarved() *Entry {
	if len(f.classes) < 2 {
		return nil
	}
	var starved *class
	for _, counted := range f.queued {
		if counted.credit >= 1 && (starved == nil || counted.credit > starved.credit) {
			starved = counted
		}
	}
	if starved == nil {
		return nil
	}
	return starved.oldest()
}

// dropRemovedHead drops what has gone from the head of calls.
func dropRemovedHead(entries []*Entry) []*Entry {
	for len(entries) > 0 && entries[0].removed {
		entries[0] = nil
		entries = entries[1:]
	}
	return entries
}
