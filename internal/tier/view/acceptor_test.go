package view

import (
	"testing"
)

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
		t.Error("IsZero")
	}
}

func TestAcceptorRejectsPrepareBelowPromise(t *testing.T) {
	a := Acceptor{View: View{Epoch: 3}}
	if a.HasPromised() {
		t.Error("has promised initially")
	}
	if a.Prepare(3, Ballot{1, "a"}) || a.Prepare(5, Ballot{1, "a"}) || a.HasPromised() {
		t.Error("promised for an epoch that is not the next")
	}
	if !a.Prepare(4, Ballot{2, "b"}) || !a.HasPromised() {
		t.Error("promise not made or not recorded")
	}
	if !a.Prepare(4, Ballot{2, "b"}) {
		t.Error("rejected a repeated prepare")
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
	if !a.Accept(Ballot{2, "b"}, low) || a.Accepted.Head() != "a" || a.AcceptedBallot != (Ballot{2, "b"}) {
		t.Error("did not accept at its promise")
	}
	if !a.Accept(Ballot{3, "c"}, high) || a.Promised != (Ballot{3, "c"}) ||
		a.Accepted.Head() != "b" || a.AcceptedBallot != (Ballot{3, "c"}) {
		t.Error("an accept without a prepare must bind like a promise")
	}
	if a.Prepare(4, Ballot{2, "z"}) {
		t.Error("promised below what it accepted")
	}
	if !a.Prepare(4, Ballot{4, "a"}) || a.Accepted.Head() != "b" || a.AcceptedBallot != (Ballot{3, "c"}) {
		t.Error("a promise discarded the accepted view")
	}
}

func TestAcceptorAdoptsOnlyNewerViews(t *testing.T) {
	a := Acceptor{View: View{Epoch: 3}}
	a.Accept(Ballot{2, "b"}, View{Epoch: 4})
	if a.Adopt(View{Epoch: 3}) || a.Adopt(View{Epoch: 2}) || !a.HasPromised() {
		t.Error("adopted an old view")
	}
	if !a.Adopt(View{Epoch: 6}) || a.HasPromised() || a.View.Epoch != 6 || a.Accepted.Epoch != 0 || !a.AcceptedBallot.IsZero() {
		t.Error("a newer view must start without votes:", a)
	}
	if a.Prepare(4, Ballot{9, "z"}) || a.Accept(Ballot{9, "z"}, View{Epoch: 4}) {
		t.Error("voted in a past epoch")
	}
}
