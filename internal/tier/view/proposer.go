package view

import "slices"

// Conditions are what the proposer knows of the members, and would have the next view take up.
type Conditions struct {
	Alive          map[string]bool // voters and applicants
	CaughtUp       map[string]bool // members outside the chain that have what was committed a moment ago
	Applicants     []Member        // members that want to vote, alive
	Failed         map[string]bool // voters silent for so long, or after they said that they leave, that they may lose their vote
	Suspected      map[string]bool // voters that are silent, but not gone yet
	Leaving        map[string]bool // members that are about to stop
	FaultTolerance int
}

// ChooseView gives the view to propose once a majority has promised; ok is false where no safe one can be made yet.
func ChooseView(current *View, promises []Promise, conditions Conditions) (next View, ok bool) {
	if len(promises) < current.Majority() {
		return View{}, false
	}
	var highest Ballot
	for _, p := range promises {
		if p.Accepted.Epoch == current.Epoch+1 && highest.Less(p.AcceptedAt) {
			highest, next, ok = p.AcceptedAt, p.Accepted, true
		}
	}
	if ok { // it may have been decided
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

// nextChain keeps the members that have promised and hold all that was committed, and adds those that have caught up.
func nextChain(current, next *View, promises []Promise, conditions Conditions) []ChainMember {
	complete := completeMembers(current, next, promises)
	remaining := slices.DeleteFunc(slices.Clone(complete), func(l ChainMember) bool { return conditions.Leaving[l.ID] })
	if len(remaining) <= conditions.FaultTolerance { // one that leaves may have one of the last copies: it waits
		remaining = complete
	}
	if len(remaining) == 0 {
		return nil
	}
	members := remaining
	add := func(eligible func(id string) bool) {
		for _, m := range next.Voters {
			present := slices.ContainsFunc(members, func(l ChainMember) bool { return l.ID == m.ID })
			if !present && conditions.Alive[m.ID] && !conditions.Leaving[m.ID] && eligible(m.ID) {
				members = append(members, ChainMember{ID: m.ID, JoinedEpoch: next.Epoch})
			}
		}
	}
	add(func(id string) bool { return conditions.CaughtUp[id] })
	add(func(string) bool { return len(members) <= conditions.FaultTolerance }) // a chain that is too short takes nothing
	return members
}

// completeMembers are the members of the chain that have promised and have all that was committed.
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
