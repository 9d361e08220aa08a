package view

import "slices"

// Member is a core node.
type Member struct {
	ID   string // identifies its disk
	Name string // of its machine
	Addr string // address for connections from other nodes
}

// ChainMember is a replica in a chain.
type ChainMember struct {
	ID          string
	JoinedEpoch int64 // it has been in the chain of every view from this epoch on
}

// View is the configuration of one epoch. It is immutable: a copy shares its slices.
type View struct {
	Epoch  int64         // 0 if there is no view
	Voters []Member      // vote on the view of the next epoch
	Chain  []ChainMember // from head to tail; a subset of the voters
}

// Majority returns the number of voters that form a quorum.
func (v *View) Majority() int { return len(v.Voters)/2 + 1 }

// IsVoter reports whether the member votes on the next view.
func (v *View) IsVoter(id string) bool {
	return slices.ContainsFunc(v.Voters, func(m Member) bool { return m.ID == id })
}

// Member returns the voter with the given identity.
func (v *View) Member(id string) (Member, bool) {
	i := slices.IndexFunc(v.Voters, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return v.Voters[i], true
}

// Position returns the member's index in the chain, or -1 if it is not in the chain.
func (v *View) Position(id string) int {
	return slices.IndexFunc(v.Chain, func(l ChainMember) bool { return l.ID == id })
}

// Head returns the identity of the first chain member, where writes enter, or "" if the chain is empty.
func (v *View) Head() string {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0].ID
}

// Tail returns the identity of the last chain member, where writes commit and reads are linearized, or "" if the chain is
// empty.
func (v *View) Tail() string {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1].ID
}

// Successor returns the identity of the next chain member, or "" for the tail and for members outside the chain.
func (v *View) Successor(id string) string {
	if i := v.Position(id); i >= 0 && i+1 < len(v.Chain) {
		return v.Chain[i+1].ID
	}
	return ""
}

// Predecessor returns the identity of the previous chain member, or "" for the head and for members outside the chain.
func (v *View) Predecessor(id string) string {
	if i := v.Position(id); i > 0 {
		return v.Chain[i-1].ID
	}
	return ""
}
