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
