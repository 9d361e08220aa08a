// Package founding decides whether a seed that has lost its bootstrap may found the core after all.
//
// The seeds found the core at the system's very first start, the only one with bootstrap: each of them stores the view of epoch 1, whose
// voters and chain are all seeds. A seed that ends before that is on its disk is started again without bootstrap and with an
// empty disk, as a machine is whose disk was lost. If that happens to a majority of the seeds, the core is never founded unless
// they take up their places in epoch 1 after all.
//
// # Rule
//
// A seed that votes in no view takes up its place in epoch 1 if, in one round of questions to all other seeds,
//
//   - every seed has answered, with the same seeds, and none of them has promised, accepted or stored anything in epoch 1;
//   - some machine still knows of the first start: a seed that has the view of epoch 1, or more than FaultTolerance stores that were
//     first started with bootstrap and the same seeds, and have seen no founded core since;
//   - fewer machines than there are seeds may be lost at once, and whole zones or regions may not.
//
// # Why it is safe
//
// The place of a seed may be taken up by an empty one if the seed has never voted nor acknowledged an entry that was committed. If it has
// voted, another seed has promised before it on its own disk: a proposer promises itself first, and accepts nothing before a
// majority has promised. If an entry was committed in epoch 1, all seeds have it; if it was in a later epoch, a majority of the seeds
// has accepted that. (The head of epoch 1 stores no entry before a majority of the seeds has confirmed it, so that it can be a founder for as long
// as it is alone.) So the rule is wrong only if every one of the seeds has either lost its disk or never heard of the decision. A
// machine is lost while it is cut off or has not caught up, so that all seeds are lost at once: more than the fault
// tolerance permits. The stores are a second, independent guard: a store that is in touch with a founded core has its placement,
// so more than FaultTolerance stores that have none cannot all be wrong. They also keep machines that were added later, and have no other
// seeds than themselves, from founding a second core, however they are cut off.
//
// # Responsibilities of the caller
//
// All answers are to questions of one round, which the seed has asked since it started with its empty disk, and which is shorter than the time
// for which a machine counts as lost after it has come back. A seed that was once told to join takes no place any more.
package founding

import (
	"slices"
)

// Phase is how far a core node is from its founding.
type Phase int

// The phases of a core node. The numbers are part of the protocol.
const (
	Empty   Phase = iota + 1 // it has no view in which it votes, and has stored nothing of the core
	Founder                  // it has the view of epoch 1 as a seed, and has neither promised nor stored anything in it
	Founded                  // anything else
)

// Report is what a core node says of itself. Fields must not be added, dropped, moved or retyped.
type Report struct {
	Phase Phase
	Seeds []string // addresses in its settings, for calls between nodes
}

// Witness is what a store says that remembers the system's first start. Fields must not be added, dropped, moved or retyped.
type Witness struct {
	ID    string   // identifies its disk
	Seeds []string // in its settings at its first start, addresses for calls between nodes
}

// Settings are the parts of a seed's settings that the decision depends on.
type Settings struct {
	Self           string   // address of this seed
	Seeds          []string // of all seeds, this one among them
	FaultTolerance int      // machines that may be lost at once
	WholeZones     bool     // whole zones or regions may be lost at once
}

// Decision is what a seed without a view does.
type Decision int

// The decisions.
const (
	Wait Decision = iota // ask again
	Join                 // the core is founded: the seed joins it as any new member does
	Take                 // the seed takes its place in epoch 1
)

// Reason says why a seed waits, for operators.
type Reason string

// Reasons to wait.
const (
	NotASeed      Reason = "this node is none of its seeds"
	TooManyLosses Reason = "the fault tolerance permits the loss of all seeds at once: found the core anew by hand"
	SeedSilent    Reason = "not all seeds answer"
	OtherSeeds    Reason = "the seeds have different lists of seeds"
	NoWitness     Reason = "no founder, and too few stores, remember the first start"
)

// Decide decides for a seed without a view, given the reports of the other seeds by their addresses and the witnesses that it has
// heard from.
func Decide(s Settings, reports map[string]Report, witnesses []Witness) (Decision, Reason) {
	seeds := sorted(s.Seeds)
	for _, addr := range seeds {
		if reports[addr].Phase == Founded {
			return Join, ""
		}
	}
	switch {
	case !slices.Contains(seeds, s.Self):
		return Wait, NotASeed
	case s.WholeZones || s.FaultTolerance >= len(seeds):
		return Wait, TooManyLosses
	}
	founders := 0
	for _, addr := range seeds {
		if addr == s.Self {
			continue
		}
		report, answered := reports[addr]
		switch {
		case !answered || report.Phase != Empty && report.Phase != Founder:
			return Wait, SeedSilent
		case !slices.Equal(sorted(report.Seeds), seeds):
			return Wait, OtherSeeds
		case report.Phase == Founder:
			founders++
		}
	}
	if founders == 0 && countWitnesses(witnesses, seeds) <= s.FaultTolerance {
		return Wait, NoWitness
	}
	return Take, ""
}

// countWitnesses returns the number of stores that remember the first start with these seeds.
func countWitnesses(witnesses []Witness, seeds []string) int {
	ids := map[string]bool{}
	for _, w := range witnesses {
		if slices.Equal(sorted(w.Seeds), seeds) {
			ids[w.ID] = true
		}
	}
	return len(ids)
}

// sorted returns the addresses in order, without duplicates.
func sorted(addrs []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(addrs)))
}
