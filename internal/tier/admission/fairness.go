package admission

import (
	"maps"
	"slices"
)

const (
	arrivalWindow = 4096 // arrivals after which the counts of arrivals and admissions are halved
	maxCredit     = 8    // admissions that a class without room can save up
	maxDebt       = 2    // admissions beyond its share that count against a class
	maxClasses    = 256  // classes that are remembered although none of their calls is queued
)

// class is the state of one class of requests.
type class struct {
	credit  float64  // admissions that the class is due beyond those it had, in [-maxDebt, maxCredit]
	queued  int      // entries in the queue
	entries []*Entry // oldest first; may have removed entries
}

// oldest returns the entry of the class that has waited longest. The class must have one.
func (c *class) oldest() *Entry {
	c.entries = dropRemovedHead(c.entries)
	return c.entries[0]
}

// fairness guarantees each class Params.MinClassShare of the admission rate of all calls, whatever the priorities. Each arrival adds
// credit to its class in proportion to the rate of all admissions; each admission takes one. A class with a credit of one
// or more is starved.
type fairness struct {
	minShare             float64
	classes              map[string]*class
	queued               []*class // those with entries in the queue
	arrivals, admissions float64  // of all classes, halved together each arrivalWindow
}

// added counts an arrival.
func (f *fairness) added(entry *Entry) {
	counted := f.classes[entry.Class]
	if counted == nil {
		if len(f.classes) >= maxClasses {
			maps.DeleteFunc(f.classes, func(_ string, c *class) bool { return c.queued == 0 })
		}
		counted = &class{}
		f.classes[entry.Class] = counted
	}
	if f.arrivals++; f.arrivals >= arrivalWindow {
		f.arrivals, f.admissions = f.arrivals/2, f.admissions/2
	}
	counted.credit = min(maxCredit, counted.credit+f.minShare*f.admissions/f.arrivals)
	if counted.queued++; counted.queued == 1 {
		f.queued = append(f.queued, counted)
	}
	counted.entries = append(dropRemovedHead(counted.entries), entry)
}

// removed counts an entry that left the queue.
func (f *fairness) removed(entry *Entry) {
	counted := f.classes[entry.Class]
	if counted.queued--; counted.queued == 0 {
		counted.entries = nil
		f.queued = slices.DeleteFunc(f.queued, func(other *class) bool { return other == counted })
	}
}

// admitted counts an entry whose call got a slot.
func (f *fairness) admitted(entry *Entry) {
	f.admissions++
	if counted := f.classes[entry.Class]; counted != nil { // nil if the class was dropped since
		counted.credit = max(-maxDebt, counted.credit-1)
	}
}

// mostStarved returns the oldest entry of the starved class with the most credit, or nil if no class is starved.
func (f *fairness) mostStarved() *Entry {
	if len(f.classes) < 2 {
		return nil
	}
	var starved *class
	for _, candidate := range f.queued {
		if candidate.credit >= 1 && (starved == nil || candidate.credit > starved.credit) {
			starved = candidate
		}
	}
	if starved == nil {
		return nil
	}
	return starved.oldest()
}

// dropRemovedHead drops removed entries from the head of a list.
func dropRemovedHead(entries []*Entry) []*Entry {
	for len(entries) > 0 && entries[0].removed {
		entries[0] = nil
		entries = entries[1:]
	}
	return entries
}
