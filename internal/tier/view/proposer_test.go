package view

import (
	"slices"
	"testing"
)

func TestChooseViewNeedsMajority(t *testing.T) {
	for voters, majority := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 8: 5} {
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}[:voters]
		current := View{Epoch: 1, Voters: members(ids...), Chain: chainMembers(1, ids...)}
		if _, ok := ChooseView(&current, promisesAt(1, ids[:majority-1]...), Conditions{}); ok {
			t.Errorf("%d promises of %d voters were accepted as a majority", majority-1, voters)
		}
		if _, ok := ChooseView(&current, promisesAt(1, ids[:majority]...), Conditions{}); !ok {
			t.Errorf("%d promises of %d voters were not accepted as a majority", majority, voters)
		}
	}
}

func TestChooseViewTakesAcceptedViewOfHighestBallot(t *testing.T) {
	current := View{Epoch: 3, Voters: members("a", "b", "c"), Chain: chainMembers(1, "a", "b", "c")}
	promises := promisesAt(3, "a", "b", "c")
	older, newer := View{Epoch: 4, Chain: chainMembers(4, "older")}, View{Epoch: 4, Chain: chainMembers(4, "newer")}
	past := View{Epoch: 3, Chain: chainMembers(3, "past")}
	promises[0].Accepted, promises[0].AcceptedBallot = newer, Ballot{3, "b"}
	promises[1].Accepted, promises[1].AcceptedBallot = older, Ballot{3, "a"}
	promises[2].Accepted, promises[2].AcceptedBallot = past, Ballot{9, "a"}
	next, ok := ChooseView(&current, promises, Conditions{FaultTolerance: 1})
	if !ok || next.Head() != "newer" {
		t.Error("got", next, ok)
	}
	if _, ok := ChooseView(&current, promises[:1], Conditions{}); ok {
		t.Error("an accepted view was chosen without a majority")
	}
}

func TestChooseViewKeepsCompleteMembersInOrder(t *testing.T) {
	current := View{Epoch: 6, Voters: members("a", "b", "c", "d", "e"), Chain: []ChainMember{{"d", 2}, {"a", 4}, {"c", 6}, {"b", 1}}}
	promises := []Promise{
		{From: member("a"), ActivatedEpoch: 3}, // joined in epoch 4, but lacks the state of epoch 4
		{From: member("b"), ActivatedEpoch: 1},
		{From: member("e"), ActivatedEpoch: 6}, // not in the chain
		{From: member("d"), ActivatedEpoch: 5},
	}
	next, ok := ChooseView(&current, promises, Conditions{FaultTolerance: 1, Alive: set("b", "d")})
	if !ok || next.Epoch != 7 || !slices.Equal(next.Chain, []ChainMember{{"d", 2}, {"b", 1}}) {
		t.Error("got", next, ok)
	}
	incomplete := append(promises[:1:1], promises[2], Promise{From: member("c"), ActivatedEpoch: 5})
	if _, ok := ChooseView(&current, incomplete, Conditions{}); ok {
		t.Error("chose a view without a complete member")
	}
}

func TestChooseViewHeadIsCompleteMember(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c"), Chain: chainMembers(1, "b")}
	conditions := Conditions{FaultTolerance: 1, Alive: set("a", "b", "c"), CaughtUp: set("a", "c")}
	next, ok := ChooseView(&current, promisesAt(2, "a", "b", "c"), conditions)
	if !ok || !slices.Equal(next.Chain, []ChainMember{{"b", 1}, {"a", 3}, {"c", 3}}) {
		t.Error("got", next, ok)
	}
}

func TestChooseViewKeepsLeavingMembersUntilReplicated(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c"), Chain: chainMembers(1, "a", "b", "c")}
	all := promisesAt(2, "a", "b", "c")
	alive := set("a", "b", "c")
	next, _ := ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: alive, Leaving: set("a")})
	wantIDs(t, "two other members remain", chainIDs(next), "b", "c")
	next, _ = ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: alive, Leaving: set("a", "b")})
	wantIDs(t, "only one other member would remain", chainIDs(next), "a", "b", "c")
	next, _ = ChooseView(&current, all[:2], Conditions{FaultTolerance: 1, Alive: set("a", "b"), Leaving: set("a")})
	wantIDs(t, "one of two is leaving", chainIDs(next), "a", "b")
}

func TestChooseViewAddsCaughtUpMembers(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c", "d"), Chain: chainMembers(1, "a", "b")}
	all := promisesAt(2, "a", "b", "c", "d")
	alive := set("a", "b", "c", "d")
	next, ok := ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: alive})
	if !ok {
		t.Error("rejected a chain that is long enough")
	}
	wantIDs(t, "long enough, no other member has caught up", chainIDs(next), "a", "b")
	next, _ = ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: alive, CaughtUp: set("d")})
	wantIDs(t, "one has caught up", chainIDs(next), "a", "b", "d")
	next, _ = ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: alive, CaughtUp: set("c", "d"), Leaving: set("c")})
	wantIDs(t, "one that has caught up is leaving", chainIDs(next), "a", "b", "d")
	next, _ = ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: set("a", "b", "c"), CaughtUp: set("c", "d")})
	wantIDs(t, "one that has caught up is not alive", chainIDs(next), "a", "b", "c")
	next, ok = ChooseView(&current, promisesAt(2, "a", "c", "d"), Conditions{FaultTolerance: 1, Alive: set("a", "c", "d")})
	wantIDs(t, "extended, as one member is fewer than required", chainIDs(next), "a", "c")
	if !ok {
		t.Error("rejected a chain that was extended")
	}
	if next, ok = ChooseView(&current, promisesAt(2, "a", "c", "d"), Conditions{FaultTolerance: 1, Alive: set("a")}); ok {
		t.Error("chose a chain of one with a fault tolerance of 1", next)
	}
}

func TestChooseViewAllowsSingleMemberChain(t *testing.T) {
	current := View{Epoch: 1, Voters: members("a"), Chain: chainMembers(1, "a")}
	next, ok := ChooseView(&current, promisesAt(1, "a"), Conditions{FaultTolerance: 1, Alive: set("a")})
	wantIDs(t, "the only voter", chainIDs(next), "a")
	if !ok {
		t.Error("rejected a chain of the only voter")
	}
}

func TestChooseViewKeepsChainLength(t *testing.T) {
	voters := members("a", "b", "c", "d", "e")
	alive := set("a", "b", "c", "d", "e")
	for name, test := range map[string]struct {
		chain    []string
		promises []string
		length   int
		caughtUp []string
		leaving  []string
		want     []string
	}{
		"no length, all that have caught up": {[]string{"a", "b"}, []string{"a", "b", "c"}, 0, []string{"c", "d"}, nil, []string{"a", "b", "c", "d"}},
		"extended to length":                 {[]string{"a", "b"}, []string{"a", "b", "c"}, 3, []string{"c", "d"}, nil, []string{"a", "b", "c"}},
		"full":                               {[]string{"a", "b", "c"}, []string{"a", "b", "c"}, 3, []string{"d"}, nil, []string{"a", "b", "c"}},
		"a lost member is replaced":          {[]string{"a", "b", "c"}, []string{"a", "c", "d"}, 3, []string{"d", "e"}, nil, []string{"a", "c", "d"}},
		"a leaving member is replaced":       {[]string{"a", "b", "c"}, []string{"a", "b", "c"}, 3, []string{"d"}, []string{"a"}, []string{"b", "c", "d"}},
		"two are leaving, others join first": {[]string{"a", "b", "c"}, []string{"a", "b", "c", "d"}, 3, []string{"d", "e"}, []string{"a", "b"},
			[]string{"a", "b", "c", "d", "e"}},
		"a longer chain is cut, its head stays": {[]string{"c", "a", "b", "d", "e"}, []string{"a", "b", "c", "d", "e"}, 3, nil, nil,
			[]string{"c", "a", "b"}},
		"no member has caught up": {[]string{"a", "b", "c"}, []string{"a", "b", "d"}, 3, nil, nil, []string{"a", "b"}},
	} {
		current := View{Epoch: 2, Voters: voters, Chain: chainMembers(1, test.chain...)}
		next, ok := ChooseView(&current, promisesAt(2, test.promises...), Conditions{FaultTolerance: 1, ChainLength: test.length,
			Alive: alive, CaughtUp: set(test.caughtUp...), Leaving: set(test.leaving...)})
		if !ok {
			t.Errorf("%s: no view", name)
		}
		wantIDs(t, name, chainIDs(next), test.want...)
	}
}
