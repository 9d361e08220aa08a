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
func ChooseView(now *View, promises []Promise, c Conditions) (next View, ok bool) {
	if len(promises) < now.Majority() {
		return View{}, false
	}
	var highest Ballot
	for _, p := range promises {
		if p.Accepted.Epoch == now.Epoch+1 && highest.Less(p.AcceptedAt) {
			highest, next, ok = p.AcceptedAt, p.Accepted, true
		}
	}
	if ok { // it may have been decided
		return next, true
	}
	voters, changed := admit(now, c)
	next = View{Epoch: now.Epoch + 1, Voters: voters}
	next.Chain = nextChain(now, &next, promises, c)
	if len(next.Chain) == 0 {
		return View{}, false
	}
	if id := RemovableVoter(now, c); !changed && id != "" && next.Position(id) < 0 {
		next.Voters = slices.DeleteFunc(voters, func(m Member) bool { return m.ID == id })
	}
	return next, len(next.Chain) > c.FaultTolerance || len(next.Voters) <= c.FaultTolerance
}

// nextChain keeps the members that have promised and hold all that was committed, and adds those that have caught up.
func nextChain(now, next *View, promises []Promise, c Conditions) []ChainMember {
	holders := holders(now, next, promises)
	staying := slices.DeleteFunc(slices.Clone(holders), func(l ChainMember) bool { return c.Leaving[l.ID] })
	if len(staying) <= c.FaultTolerance { // one that leaves may have one of the last copies: it waits
		staying = holders
	}
	if len(staying) == 0 {
		return nil
	}
	links := staying
	add := func(wanted func(id string) bool) {
		for _, m := range next.Voters {
			has := slices.ContainsFunc(links, func(l ChainMember) bool { return l.ID == m.ID })
			if !has && c.Alive[m.ID] && !c.Leaving[m.ID] && wanted(m.ID) {
				links = append(links, ChainMember{ID: m.ID, JoinedEpoch: next.Epoch})
			}
		}
	}
	add(func(id string) bool { return c.CaughtUp[id] })
	add(func(string) bool { return len(links) <= c.FaultTolerance }) // a chain that is too short takes nothing
	return links
}

// holders are the members of the chain that have promised and have all that was committed.
func holders(now, next *View, promises []Promise) (links []ChainMember) {
	activated := map[string]int64{}
	for _, p := range promises {
		activated[p.From.ID] = p.ActivatedEpoch
	}
	for _, l := range now.Chain {
		if in, promised := activated[l.ID]; promised && in >= l.JoinedEpoch && next.IsVoter(l.ID) {
			links = append(links, l)
		}
	}
	return links
}

// admit changes the list of voters by one applicant at most. In this order: a machine that came back under another
// identity takes the vote of the one it was; an applicant takes the vote of one that is gone; an applicant that has caught
// up gets a vote of its own.
//
// The first two put a member that is alive in the place of one that can not vote, so they never cost a majority, and need
// not wait until the newcomer has the state. A longer list does cost one: it waits for that, and for those that are silent now.
func admit(now *View, c Conditions) (list []Member, changed bool) {
	list = slices.Clone(now.Voters)
	for _, a := range c.Applicants {
		same := func(m Member) bool { return m.Addr == a.Addr || m.Name == a.Name && !c.Alive[m.ID] }
		if i := slices.IndexFunc(list, same); i >= 0 {
			list[i] = a
			return list, true
		}
	}
	if i := slices.IndexFunc(list, func(m Member) bool { return c.Failed[m.ID] }); i >= 0 && len(c.Applicants) > 0 {
		list[i] = c.Applicants[0]
		return list, true
	}
	if !CanAdmit(now, c) {
		return list, false
	}
	i := slices.IndexFunc(c.Applicants, func(a Member) bool { return c.CaughtUp[a.ID] })
	return append(list, c.Applicants[i]), true
}

// CanAdmit tells whether an applicant may get a vote of its own now.
func CanAdmit(now *View, c Conditions) bool {
	if slices.ContainsFunc(now.Voters, func(m Member) bool { return c.Suspected[m.ID] }) {
		return false
	}
	return slices.ContainsFunc(c.Applicants, func(a Member) bool { return c.CaughtUp[a.ID] })
}

// CanReplace tells whether an applicant may take the vote of another identity now.
func CanReplace(now *View, c Conditions) bool {
	for _, a := range c.Applicants {
		for _, m := range now.Voters {
			if c.Failed[m.ID] || m.Addr == a.Addr || m.Name == a.Name && !c.Alive[m.ID] {
				return true
			}
		}
	}
	return false
}

// RemovableVoter is a voter that may lose its vote, empty for none: one that is gone or leaves, while more vote than the losses need.
func RemovableVoter(now *View, c Conditions) string {
	if len(now.Voters) <= 2*c.FaultTolerance+1 {
		return ""
	}
	for _, unwanted := range []map[string]bool{c.Failed, c.Leaving} {
		for i := len(now.Voters) - 1; i >= 0; i-- {
			if id := now.Voters[i].ID; unwanted[id] {
				return id
			}
		}
	}
	return ""
}
