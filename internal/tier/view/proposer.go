package view

import "slices"

// Conditions are the states of the members as the proposer observes them. Safety does not depend on their being correct or current.
// The maps are keyed by Member.ID.
type Conditions struct {
	Alive          map[string]bool // voters and applicants that responded recently
	CaughtUp       map[string]bool // members outside the chain that lack at most the latest committed entries
	Applicants     []Member        // live members that ask to become voters, in order of preference
	Failed         map[string]bool // voters that may be removed: unresponsive for a long time, or since they began to leave
	Suspected      map[string]bool // voters that are unresponsive, but not failed yet
	Leaving        map[string]bool // members that are shutting down
	Unstable       map[string]bool // members that restart repeatedly: they stay learners until they have run for a while
	FaultTolerance int             // number of replicas that may be lost at the same time
	ChainLength    int             // desired number of chain members, above FaultTolerance; 0 for all voters that have caught up
}

// ChainIsFull reports whether a chain needs no further members. Leaving and unstable members do not count: others must have the
// complete state before they can be removed.
func (c *Conditions) ChainIsFull(chain []ChainMember) bool {
	return c.ChainLength > 0 && c.staying(chain) >= c.ChainLength
}

// staying returns the number of chain members that are neither leaving nor unstable.
func (c *Conditions) staying(chain []ChainMember) (count int) {
	for _, member := range chain {
		if !c.Leaving[member.ID] && !c.Unstable[member.ID] {
			count++
		}
	}
	return count
}

// ChooseView returns the view to propose for the next epoch. It returns false if fewer than a majority of the voters have
// promised, or if no view is safe. A safe view has a head with all committed entries and more than FaultTolerance replicas,
// unless there are fewer voters than that. If any of the promises reports an accepted view, the one with the highest ballot is
// returned, since it may have been decided.
func ChooseView(current *View, promises []Promise, conditions Conditions) (next View, ok bool) {
	if len(promises) < current.Majority() {
		return View{}, false
	}
	var highest Ballot
	for _, p := range promises {
		if p.Accepted.Epoch == current.Epoch+1 && highest.Less(p.AcceptedBallot) {
			highest, next, ok = p.AcceptedBallot, p.Accepted, true
		}
	}
	if ok {
		return next, true
	}
	voters, changed := nextVoters(current, conditions)
	next = View{Epoch: current.Epoch + 1, Voters: voters}
	next.Chain = nextChain(current, &next, promises, conditions)
	if len(next.Chain) == 0 {
		return View{}, false
	}
	if id := RemovableVoter(current, conditions); !changed && id != "" && next.Position(id) < 0 {
		next.Voters = slices.DeleteFunc(voters, func(m Member) bool { return m.ID == id })
	}
	return next, len(next.Chain) > conditions.FaultTolerance || len(next.Voters) <= conditions.FaultTolerance
}

// nextChain returns the chain of the next view: the members with the complete state in their present order, so that the head
// is one of them, followed by voters that have caught up, up to ChainLength. It returns nil if no member has the complete state.
func nextChain(current, next *View, promises []Promise, conditions Conditions) []ChainMember {
	complete := completeMembers(current, next, promises)
	remaining := slices.DeleteFunc(slices.Clone(complete), func(l ChainMember) bool { return conditions.Leaving[l.ID] })
	if stable := slices.DeleteFunc(slices.Clone(remaining), func(l ChainMember) bool { return conditions.Unstable[l.ID] }); len(stable) > conditions.FaultTolerance {
		remaining = stable
	}
	if len(remaining) <= conditions.FaultTolerance { // a leaving member may hold one of the last replicas: keep it for now
		remaining = complete
	}
	if len(remaining) == 0 {
		return nil
	}
	members := remaining
	for conditions.ChainLength > 0 && conditions.staying(members) == len(members) && len(members) > conditions.ChainLength {
		members = members[:len(members)-1] // all of them have the complete state, so any subset is a valid chain
	}
	add := func(eligible func(id string) bool) {
		for _, m := range next.Voters {
			present := slices.ContainsFunc(members, func(l ChainMember) bool { return l.ID == m.ID })
			if conditions.ChainIsFull(members) {
				return
			}
			if !present && conditions.Alive[m.ID] && !conditions.Leaving[m.ID] && eligible(m.ID) {
				members = append(members, ChainMember{ID: m.ID, JoinedEpoch: next.Epoch})
			}
		}
	}
	add(func(id string) bool { return conditions.CaughtUp[id] && !conditions.Unstable[id] })
	// A chain of at most FaultTolerance members may not be proposed: add members that have not caught up yet.
	add(func(string) bool { return len(members) <= conditions.FaultTolerance })
	return members
}

// completeMembers returns the chain members that have promised and have every committed entry: those that were activated in
// or after the epoch in which they joined the chain.
func completeMembers(current, next *View, promises []Promise) (members []ChainMember) {
	activated := map[string]int64{}
	for _, p := range promises {
		activated[p.From.ID] = p.ActivatedEpoch
	}
	for _, member := range current.Chain {
		if epoch, promised := activated[member.ID]; promised && epoch >= member.JoinedEpoch && next.IsVoter(member.ID) {
			members = append(members, member)
		}
	}
	return members
}
