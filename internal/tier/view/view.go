// Package view agrees on views: reconfiguration of a replicated chain by one single-decree agreement (Paxos) for each
// epoch, among the voters of the view before it. Pure: it is told what came and what the time is, and keeps no clock,
// socket or file.
package view

import "slices"

// Member is a core node under the identity that its disk gave it.
type Member struct {
	ID   string
	Name string // of the machine
	Addr string // for calls of other nodes
}

// ChainMember is a member of a chain. Since is the epoch from which on it is in every chain up to this one.
type ChainMember struct {
	ID          string
	JoinedEpoch int64
}

// View is who votes on the next view and who keeps the state, in the order of the chain. It is never changed once made.
type View struct {
	Epoch  int64
	Voters []Member
	Chain  []ChainMember
}

// Majority of the voters.
func (v *View) Majority() int { return len(v.Voters)/2 + 1 }

// IsVoter tells whether an id votes in this view.
func (v *View) IsVoter(id string) bool {
	return slices.ContainsFunc(v.Voters, func(m Member) bool { return m.ID == id })
}

// Member finds a voter.
func (v *View) Member(id string) (Member, bool) {
	i := slices.IndexFunc(v.Voters, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return v.Voters[i], true
}

// Position in the chain, below 0 for none.
func (v *View) Position(id string) int {
	return slices.IndexFunc(v.Chain, func(l ChainMember) bool { return l.ID == id })
}

// Head is where writes enter, empty where there is no chain.
func (v *View) Head() string {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0].ID
}

// Tail is where writes commit and reads are answered.
func (v *View) Tail() string {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1].ID
}

// Successor is the successor in the chain, empty for none.
func (v *View) Successor(id string) string {
	if i := v.Position(id); i >= 0 && i+1 < len(v.Chain) {
		return v.Chain[i+1].ID
	}
	return ""
}

// Predecessor is the predecessor in the chain, empty for none.
func (v *View) Predecessor(id string) string {
	if i := v.Position(id); i > 0 {
		return v.Chain[i-1].ID
	}
	return ""
}

// Ballot orders the proposals of one epoch.
type Ballot struct {
	Number   int64
	Proposer string
}

// Less tells whether b comes before o.
func (b Ballot) Less(o Ballot) bool {
	return b.Number < o.Number || b.Number == o.Number && b.Proposer < o.Proposer
}

// IsZero tells whether no ballot was made.
func (b Ballot) IsZero() bool { return b.Number == 0 }

// Acceptor is what a voter keeps on disk: the newest decided view that it knows, and its vote on the next. Whoever changes
// it syncs it before anything is answered.
type Acceptor struct {
	View       View
	Promised   Ballot // for epoch View.Epoch+1
	AcceptedAt Ballot
	Accepted   View // Epoch 0 for none
}

// HasPromised tells whether this voter has promised for the epoch after its view: it then takes no entries of its view's
// epoch and confirms no reads of it any more.
func (a *Acceptor) HasPromised() bool { return !a.Promised.IsZero() }

// Prepare promises to a ballot for an epoch, or tells that it does not.
func (a *Acceptor) Prepare(epoch int64, b Ballot) bool {
	if epoch != a.View.Epoch+1 || b.Less(a.Promised) {
		return false
	}
	a.Promised = b
	return true
}

// Accept votes for a view, unless a higher ballot was promised.
func (a *Acceptor) Accept(b Ballot, v View) bool {
	if v.Epoch != a.View.Epoch+1 || b.Less(a.Promised) {
		return false
	}
	a.Promised, a.AcceptedAt, a.Accepted = b, b, v
	return true
}

// Adopt takes a decided view, if it is newer.
func (a *Acceptor) Adopt(v View) bool {
	if v.Epoch <= a.View.Epoch {
		return false
	}
	*a = Acceptor{View: v}
	return true
}

// Promise is what a voter tells with its promise.
type Promise struct {
	From           Member
	AcceptedAt     Ballot
	Accepted       View
	ActivatedEpoch int64 // last epoch in which it had the whole state of its chain
}

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

// nextVoters changes the list of voters by one applicant at most. In this order: a machine that came back under another
// identity takes the vote of the one it was; an applicant takes the vote of one that is gone; an applicant that has caught
// up gets a vote of its own.
//
// The first two put a member that is alive in the place of one that can not vote, so they never cost a majority, and need
// not wait until the newcomer has the state. A longer list does cost one: it waits for that, and for those that are silent now.
func nextVoters(current *View, conditions Conditions) (voters []Member, changed bool) {
	voters = slices.Clone(current.Voters)
	for _, applicant := range conditions.Applicants {
		replaces := func(m Member) bool {
			return m.Addr == applicant.Addr || m.Name == applicant.Name && !conditions.Alive[m.ID]
		}
		if i := slices.IndexFunc(voters, replaces); i >= 0 {
			voters[i] = applicant
			return voters, true
		}
	}
	if i := slices.IndexFunc(voters, func(m Member) bool { return conditions.Failed[m.ID] }); i >= 0 && len(conditions.Applicants) > 0 {
		voters[i] = conditions.Applicants[0]
		return voters, true
	}
	if !CanAdmit(current, conditions) {
		return voters, false
	}
	i := slices.IndexFunc(conditions.Applicants, func(a Member) bool { return conditions.CaughtUp[a.ID] })
	return append(voters, conditions.Applicants[i]), true
}

// CanAdmit tells whether an applicant may get a vote of its own now.
func CanAdmit(current *View, conditions Conditions) bool {
	if slices.ContainsFunc(current.Voters, func(m Member) bool { return conditions.Suspected[m.ID] }) {
		return false
	}
	return slices.ContainsFunc(conditions.Applicants, func(a Member) bool { return conditions.CaughtUp[a.ID] })
}

// CanReplace tells whether an applicant may take the vote of another identity now.
func CanReplace(current *View, conditions Conditions) bool {
	for _, applicant := range conditions.Applicants {
		for _, voter := range current.Voters {
			if conditions.Failed[voter.ID] || voter.Addr == applicant.Addr || voter.Name == applicant.Name && !conditions.Alive[voter.ID] {
				return true
			}
		}
	}
	return false
}

// RemovableVoter is a voter that may lose its vote, empty for none: one that is gone or leaves, while more vote than the losses need.
func RemovableVoter(current *View, conditions Conditions) string {
	if len(current.Voters) <= 2*conditions.FaultTolerance+1 {
		return ""
	}
	for _, candidates := range []map[string]bool{conditions.Failed, conditions.Leaving} {
		for i := len(current.Voters) - 1; i >= 0; i-- {
			if id := current.Voters[i].ID; candidates[id] {
				return id
			}
		}
	}
	return ""
}
