package view

import (
	"slices"
	"testing"
)

func member(id string) Member { return Member{ID: id, Name: "machine-" + id, Addr: "addr-" + id} }

func members(ids ...string) (all []Member) {
	for _, id := range ids {
		all = append(all, member(id))
	}
	return all
}

func chainMembers(since int64, ids ...string) (all []ChainMember) {
	for _, id := range ids {
		all = append(all, ChainMember{ID: id, JoinedEpoch: since})
	}
	return all
}

func set(ids ...string) map[string]bool {
	all := map[string]bool{}
	for _, id := range ids {
		all[id] = true
	}
	return all
}

// promisesAt are promises of members that were all activated in one epoch.
func promisesAt(activated int64, ids ...string) (all []Promise) {
	for _, id := range ids {
		all = append(all, Promise{From: member(id), ActivatedEpoch: activated})
	}
	return all
}

func chainIDs(v View) (ids []string) {
	for _, l := range v.Chain {
		ids = append(ids, l.ID)
	}
	return ids
}

func voterIDs(v View) (ids []string) {
	for _, m := range v.Voters {
		ids = append(ids, m.ID)
	}
	return ids
}

func wantIDs(t *testing.T, what string, got []string, ids ...string) {
	t.Helper()
	if !slices.Equal(got, ids) {
		t.Errorf("%s: got %v, want %v", what, got, ids)
	}
}

func TestViewPositions(t *testing.T) {
	v := View{Epoch: 4, Voters: members("a", "b", "c", "d"), Chain: chainMembers(1, "b", "a", "d")}
	if v.Majority() != 3 || v.Head() != "b" || v.Tail() != "d" {
		t.Error("majority, head or tail", v.Majority(), v.Head(), v.Tail())
	}
	if v.Successor("b") != "a" || v.Successor("d") != "" || v.Successor("c") != "" || v.Predecessor("b") != "" || v.Predecessor("d") != "a" || v.Predecessor("c") != "" {
		t.Error("neighbours")
	}
	if m, ok := v.Member("c"); !ok || m != member("c") || !v.IsVoter("c") || v.IsVoter("e") || v.Position("c") >= 0 {
		t.Error("membership")
	}
	if _, ok := v.Member("e"); ok {
		t.Error("found a member that there is not")
	}
	empty := View{}
	if empty.Head() != "" || empty.Tail() != "" || empty.Successor("a") != "" {
		t.Error("empty chain")
	}
}

func TestBallotsOrderByNumberThenProposer(t *testing.T) {
	ordered := []Ballot{{}, {1, "a"}, {1, "b"}, {2, "a"}}
	for i, x := range ordered {
		for k, y := range ordered {
			if x.Less(y) != (i < k) {
				t.Errorf("%v less than %v: %v", x, y, x.Less(y))
			}
		}
	}
	if !ordered[0].IsZero() || ordered[1].IsZero() {
		t.Error("zero")
	}
}

func TestAcceptorRejectsPrepareBelowPromise(t *testing.T) {
	a := Acceptor{View: View{Epoch: 3}}
	if a.HasPromised() {
		t.Error("sealed at the start")
	}
	if a.Prepare(3, Ballot{1, "a"}) || a.Prepare(5, Ballot{1, "a"}) || a.HasPromised() {
		t.Error("promised for an epoch that is not the next")
	}
	if !a.Prepare(4, Ballot{2, "b"}) || !a.HasPromised() {
		t.Error("no promise, or not sealed by it")
	}
	if !a.Prepare(4, Ballot{2, "b"}) {
		t.Error("a repeated prepare was refused")
	}
	if a.Prepare(4, Ballot{2, "a"}) || a.Promised != (Ballot{2, "b"}) {
		t.Error("promised below its promise")
	}
}

func TestAcceptorAcceptsOnlyAtOrAbovePromise(t *testing.T) {
	a := Acceptor{View: View{Epoch: 3}}
	low, high := View{Epoch: 4, Chain: chainMembers(4, "a")}, View{Epoch: 4, Chain: chainMembers(4, "b")}
	a.Prepare(4, Ballot{2, "b"})
	if a.Accept(Ballot{2, "a"}, low) || a.Accepted.Epoch != 0 {
		t.Error("accepted below its promise")
	}
	if a.Accept(Ballot{3, "a"}, View{Epoch: 5}) || a.Accept(Ballot{3, "a"}, View{Epoch: 3}) || a.Promised != (Ballot{2, "b"}) {
		t.Error("accepted for an epoch that is not the next")
	}
	if !a.Accept(Ballot{2, "b"}, low) || a.Accepted.Head() != "a" || a.AcceptedAt != (Ballot{2, "b"}) {
		t.Error("did not accept at its promise")
	}
	if !a.Accept(Ballot{3, "c"}, high) || a.Promised != (Ballot{3, "c"}) || a.Accepted.Head() != "b" || a.AcceptedAt != (Ballot{3, "c"}) {
		t.Error("an accept without a prepare binds as a promise does")
	}
	if a.Prepare(4, Ballot{2, "z"}) {
		t.Error("promised below what it accepted")
	}
	if !a.Prepare(4, Ballot{4, "a"}) || a.Accepted.Head() != "b" || a.AcceptedAt != (Ballot{3, "c"}) {
		t.Error("a promise must keep what was accepted")
	}
}

func TestAcceptorAdoptsOnlyNewerViews(t *testing.T) {
	a := Acceptor{View: View{Epoch: 3}}
	a.Accept(Ballot{2, "b"}, View{Epoch: 4})
	if a.Adopt(View{Epoch: 3}) || a.Adopt(View{Epoch: 2}) || !a.HasPromised() {
		t.Error("adopted an old view")
	}
	if !a.Adopt(View{Epoch: 6}) || a.HasPromised() || a.View.Epoch != 6 || a.Accepted.Epoch != 0 || !a.AcceptedAt.IsZero() {
		t.Error("a newer view begins without votes", a)
	}
	if a.Prepare(4, Ballot{9, "z"}) || a.Accept(Ballot{9, "z"}, View{Epoch: 4}) {
		t.Error("voted for an epoch that is past")
	}
}

func TestChooseViewNeedsMajority(t *testing.T) {
	for voters, majority := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 8: 5} {
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}[:voters]
		current := View{Epoch: 1, Voters: members(ids...), Chain: chainMembers(1, ids...)}
		if _, ok := ChooseView(&current, promisesAt(1, ids[:majority-1]...), Conditions{}); ok {
			t.Errorf("%d promises of %d sufficed", majority-1, voters)
		}
		if _, ok := ChooseView(&current, promisesAt(1, ids[:majority]...), Conditions{}); !ok {
			t.Errorf("%d promises of %d did not suffice", majority, voters)
		}
	}
}

func TestChooseViewTakesAcceptedViewOfHighestBallot(t *testing.T) {
	current := View{Epoch: 3, Voters: members("a", "b", "c"), Chain: chainMembers(1, "a", "b", "c")}
	promises := promisesAt(3, "a", "b", "c")
	older, newer := View{Epoch: 4, Chain: chainMembers(4, "older")}, View{Epoch: 4, Chain: chainMembers(4, "newer")}
	past := View{Epoch: 3, Chain: chainMembers(3, "past")}
	promises[0].Accepted, promises[0].AcceptedAt = newer, Ballot{3, "b"}
	promises[1].Accepted, promises[1].AcceptedAt = older, Ballot{3, "a"}
	promises[2].Accepted, promises[2].AcceptedAt = past, Ballot{9, "a"}
	next, ok := ChooseView(&current, promises, Conditions{FaultTolerance: 1})
	if !ok || next.Head() != "newer" {
		t.Error("got", next, ok)
	}
	if _, ok := ChooseView(&current, promises[:1], Conditions{}); ok {
		t.Error("a view that one has accepted was taken without a majority")
	}
}

func TestChooseViewKeepsCompleteMembersInOrder(t *testing.T) {
	current := View{Epoch: 6, Voters: members("a", "b", "c", "d", "e"), Chain: []ChainMember{{"d", 2}, {"a", 4}, {"c", 6}, {"b", 1}}}
	promises := []Promise{
		{From: member("a"), ActivatedEpoch: 3}, // since 4: it missed the state of 4
		{From: member("b"), ActivatedEpoch: 1},
		{From: member("e"), ActivatedEpoch: 6}, // not in the chain
		{From: member("d"), ActivatedEpoch: 5},
	}
	next, ok := ChooseView(&current, promises, Conditions{FaultTolerance: 1, Alive: set("b", "d")})
	if !ok || next.Epoch != 7 || !slices.Equal(next.Chain, []ChainMember{{"d", 2}, {"b", 1}}) {
		t.Error("got", next, ok)
	}
	if _, ok := ChooseView(&current, append(promises[:1:1], promises[2], Promise{From: member("c"), ActivatedEpoch: 5}), Conditions{}); ok {
		t.Error("made a view without a holder")
	}
}

func TestChooseViewHeadIsCompleteMember(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c"), Chain: chainMembers(1, "b")}
	next, ok := ChooseView(&current, promisesAt(2, "a", "b", "c"), Conditions{FaultTolerance: 1, Alive: set("a", "b", "c"), CaughtUp: set("a", "c")})
	if !ok || !slices.Equal(next.Chain, []ChainMember{{"b", 1}, {"a", 3}, {"c", 3}}) {
		t.Error("got", next, ok)
	}
}

func TestChooseViewKeepsLeavingMembersUntilReplicated(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c"), Chain: chainMembers(1, "a", "b", "c")}
	all := promisesAt(2, "a", "b", "c")
	alive := set("a", "b", "c")
	next, _ := ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: alive, Leaving: set("a")})
	wantIDs(t, "two others stay", chainIDs(next), "b", "c")
	next, _ = ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: alive, Leaving: set("a", "b")})
	wantIDs(t, "one other would stay", chainIDs(next), "a", "b", "c")
	next, _ = ChooseView(&current, all[:2], Conditions{FaultTolerance: 1, Alive: set("a", "b"), Leaving: set("a")})
	wantIDs(t, "one of two leaves", chainIDs(next), "a", "b")
}

func TestChooseViewAddsCaughtUpMembers(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c", "d"), Chain: chainMembers(1, "a", "b")}
	all := promisesAt(2, "a", "b", "c", "d")
	alive := set("a", "b", "c", "d")
	next, ok := ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: alive})
	if !ok {
		t.Error("a chain that is long enough")
	}
	wantIDs(t, "long enough, nobody has caught up", chainIDs(next), "a", "b")
	next, _ = ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: alive, CaughtUp: set("d")})
	wantIDs(t, "one has caught up", chainIDs(next), "a", "b", "d")
	next, _ = ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: alive, CaughtUp: set("c", "d"), Leaving: set("c")})
	wantIDs(t, "one that has caught up leaves", chainIDs(next), "a", "b", "d")
	next, _ = ChooseView(&current, all, Conditions{FaultTolerance: 1, Alive: set("a", "b", "c"), CaughtUp: set("c", "d")})
	wantIDs(t, "one that has caught up is silent", chainIDs(next), "a", "b", "c")
	next, ok = ChooseView(&current, promisesAt(2, "a", "c", "d"), Conditions{FaultTolerance: 1, Alive: set("a", "c", "d")})
	wantIDs(t, "too short", chainIDs(next), "a", "c")
	if !ok {
		t.Error("too short, filled")
	}
	if next, ok = ChooseView(&current, promisesAt(2, "a", "c", "d"), Conditions{FaultTolerance: 1, Alive: set("a")}); ok {
		t.Error("a chain of one with losses of 1", next)
	}
}

func TestChooseViewAllowsSingleMemberChain(t *testing.T) {
	current := View{Epoch: 1, Voters: members("a"), Chain: chainMembers(1, "a")}
	next, ok := ChooseView(&current, promisesAt(1, "a"), Conditions{FaultTolerance: 1, Alive: set("a")})
	wantIDs(t, "alone", chainIDs(next), "a")
	if !ok {
		t.Error("one voter can not have two copies")
	}
}

func TestChooseViewChangesAtMostOneVoter(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c"), Chain: chainMembers(1, "a", "b", "c")}
	replaced := Member{ID: "b2", Name: "machine-b", Addr: "addr-elsewhere"}
	sameAddr := Member{ID: "c2", Name: "machine-c", Addr: "addr-c"}
	two := promisesAt(2, "a", "c")
	three := promisesAt(2, "a", "b", "c")
	for name, test := range map[string]struct {
		promises []Promise
		c        Conditions
		voters   []string
	}{
		"another identity of a machine": {two, Conditions{Applicants: []Member{replaced}}, []string{"a", "b2", "c"}},
		"the identity before is alive":  {three, Conditions{Applicants: []Member{replaced}, Alive: set("b")}, []string{"a", "b", "c"}},
		"another identity at one address, that before seems alive": {
			three, Conditions{Applicants: []Member{sameAddr}, Alive: set("a", "b", "c")}, []string{"a", "b", "c2"}},
		"two identities, one at a time": {three, Conditions{Applicants: []Member{replaced, sameAddr}}, []string{"a", "b2", "c"}},
		"an own identity goes before one that is gone": {
			three, Conditions{Applicants: []Member{member("d"), sameAddr}, Failed: set("b")}, []string{"a", "b", "c2"}},
		"the place of one that is gone":   {two, Conditions{Applicants: members("d", "e"), Failed: set("b")}, []string{"a", "d", "c"}},
		"nobody for the one that is gone": {two, Conditions{Failed: set("b")}, []string{"a", "b", "c"}},
		"not caught up":                   {three, Conditions{Applicants: members("d")}, []string{"a", "b", "c"}},
		"caught up": {
			three, Conditions{Applicants: members("d", "e", "f"), CaughtUp: set("e", "f")}, []string{"a", "b", "c", "e"}},
		"caught up, somebody is suspected": {
			three, Conditions{Applicants: members("d"), CaughtUp: set("d"), Suspected: set("b")}, []string{"a", "b", "c"}},
	} {
		test.c.FaultTolerance = 1
		next, ok := ChooseView(&current, test.promises, test.c)
		if !ok {
			t.Errorf("%s: no view", name)
		}
		wantIDs(t, name, voterIDs(next), test.voters...)
	}
	wantIDs(t, "the view before is not changed", voterIDs(current), "a", "b", "c")
}

func TestChooseViewRemovesVoterOnlyAboveFaultTolerance(t *testing.T) {
	four := View{Epoch: 2, Voters: members("a", "b", "c", "d"), Chain: chainMembers(1, "a", "b", "c")}
	three := View{Epoch: 2, Voters: members("a", "b", "c"), Chain: chainMembers(1, "a", "b", "c")}
	all := promisesAt(2, "a", "b", "c", "d")
	for name, test := range map[string]struct {
		current  *View
		promises []Promise
		c        Conditions
		voters   []string
	}{
		"one that is gone":              {&four, all[:3], Conditions{Failed: set("d")}, []string{"a", "b", "c"}},
		"one that leaves":               {&four, all, Conditions{Leaving: set("b")}, []string{"a", "c", "d"}},
		"gone before leaving":           {&four, all[:3], Conditions{Failed: set("d"), Leaving: set("a")}, []string{"a", "b", "c"}},
		"one at a time":                 {&four, all[:3], Conditions{Failed: set("c", "d")}, []string{"a", "b", "c"}},
		"it stays in the chain":         {&four, all[:3], Conditions{Leaving: set("a", "b"), Failed: set("x")}, []string{"a", "b", "c", "d"}},
		"no more voters than needed":    {&three, all[:3], Conditions{Leaving: set("b"), Failed: set("c")}, []string{"a", "b", "c"}},
		"an admission goes before":      {&four, all[:3], Conditions{Failed: set("d"), Applicants: members("e")}, []string{"a", "b", "c", "e"}},
		"nobody is gone, nobody leaves": {&four, all, Conditions{}, []string{"a", "b", "c", "d"}},
	} {
		test.c.FaultTolerance = 1
		next, ok := ChooseView(test.current, test.promises, test.c)
		if !ok {
			t.Errorf("%s: no view", name)
		}
		wantIDs(t, name, voterIDs(next), test.voters...)
	}
}

func TestCanAdmitAndCanReplace(t *testing.T) {
	current := View{Epoch: 2, Voters: members("a", "b", "c")}
	replaced := Member{ID: "b2", Name: "machine-b", Addr: "addr-elsewhere"}
	if CanReplace(&current, Conditions{Failed: set("a")}) || !CanReplace(&current, Conditions{Failed: set("a"), Applicants: members("d")}) {
		t.Error("the place of one that is gone")
	}
	dead := Conditions{Applicants: []Member{replaced}}
	alive := Conditions{Applicants: []Member{replaced}, Alive: set("b")}
	if !CanReplace(&current, dead) || CanReplace(&current, alive) {
		t.Error("another identity of one machine")
	}
	if CanAdmit(&current, Conditions{Applicants: members("d")}) || !CanAdmit(&current, Conditions{Applicants: members("d"), CaughtUp: set("d")}) {
		t.Error("one that has caught up")
	}
	if CanAdmit(&current, Conditions{Applicants: members("d"), CaughtUp: set("d"), Suspected: set("c")}) {
		t.Error("admissible while one is silent")
	}
}
