package chain

import (
	"testing"

	"larchrouter/internal/tier/view"
)

func TestSingleMemberCommitsDurableEntries(t *testing.T) {
	c := newMember("a", State{}, view.View{Epoch: 1, Chain: []view.ChainMember{{ID: "a", JoinedEpoch: 0}}})
	if !c.IsActive() || !c.CommitIsCurrent() {
		t.Fatal("a single member must be active head and tail")
	}
	c.Append("k", []byte("1"))
	wantState(t, c, "1/0/1 k@1")
	c.MarkDurable()
	wantState(t, c, "1/1/1 k@1")
}

func TestOnlyActiveHeadAppends(t *testing.T) {
	v := viewOf(2, "a", "b")
	head, tail := newMember("a", State{ActivatedEpoch: 1}, v), newMember("b", State{ActivatedEpoch: 1}, v)
	if _, ok := tail.Append("k", nil); ok {
		t.Error("the tail appended an entry")
	}
	if _, ok := newMember("c", State{ActivatedEpoch: 2}, v).Append("k", nil); ok {
		t.Error("a member outside the chain appended an entry")
	}
	if _, ok := New("a", State{}).Append("k", nil); ok {
		t.Error("appended without a view")
	}
	if e, ok := head.Append("k", []byte("v")); !ok || e.Index != 1 || string(e.Value) != "v" {
		t.Error("the head did not append the entry:", e)
	}
	wantState(t, head, "2/0/1 k@1")
}

func TestCommitRequiresTail(t *testing.T) {
	v := viewOf(2, "a", "b", "c")
	s := State{ActivatedEpoch: 1}
	a, b, c := newMember("a", s, v), newMember("b", s, v), newMember("c", s, v)
	replicate(t, a, b)
	replicate(t, b, c)
	appendKeys(t, a, "k", "l", "k")
	replicate(t, a, b)
	wantState(t, a, "2/0/3 k@1 l@2 k@3")
	wantState(t, b, "2/0/3 k@1 l@2 k@3")
	replicate(t, b, c)
	wantState(t, c, "2/3/3 l@2 k@3")
	wantState(t, b, "2/3/3 l@2 k@3")
	if !deliverAck(b, a, 1) {
		t.Error("the commit did not advance")
	}
	wantState(t, a, "2/3/3 l@2 k@3")
	if deliverAck(b, a, 1) {
		t.Error("the commit advanced twice")
	}
}

func TestCompactionKeepsLastCommittedOfKeyAndUncommitted(t *testing.T) {
	c := New("a", State{LastIndex: 6, Entries: []Entry{
		{1, "x", nil}, {2, "y", nil}, {3, "x", nil}, {4, "x", nil}, {5, "y", nil}, {6, "x", nil},
	}})
	c.commit(3)
	wantState(t, c, "0/3/6 y@2 x@3 x@4 y@5 x@6")
	c.commit(2)
	wantState(t, c, "0/3/6 y@2 x@3 x@4 y@5 x@6")
	c.commit(5)
	wantState(t, c, "0/5/6 x@4 y@5 x@6")
	if got := c.Committed(4); len(got) != 1 || got[0].Index != 5 {
		t.Error("committed after 4:", got)
	}
	if got := c.Committed(0); len(got) != 2 {
		t.Error("committed:", got)
	}
	if e, ok := c.LastEntry("x"); !ok || e.Index != 6 {
		t.Error("last of x:", e)
	}
	if _, ok := c.LastEntry("z"); ok {
		t.Error("last entry of an unknown key")
	}
}

func TestReturnedStateIsNotModified(t *testing.T) {
	v := viewOf(2, "a", "b")
	a, b := newMember("a", State{ActivatedEpoch: 1}, v), newMember("b", State{ActivatedEpoch: 1}, v)
	replicate(t, a, b)
	appendKeys(t, a, "k", "k")
	before := *a.State()
	appendKeys(t, a, "k")
	replicate(t, a, b)
	if stateString(&before) != "2/0/2 k@1 k@2" {
		t.Error("modified in place:", stateString(&before))
	}
}

func TestCommitIsCurrentOnlyAfterAckFromTail(t *testing.T) {
	v := viewOf(2, "a", "b", "c")
	s := State{ActivatedEpoch: 1}
	a, b, c := newMember("a", s, v), newMember("b", s, v), newMember("c", s, v)
	replicate(t, a, b)
	if a.CommitIsCurrent() || b.CommitIsCurrent() || c.CommitIsCurrent() {
		t.Error("the commit index is current before the tail is active")
	}
	replicate(t, b, c)
	if !b.CommitIsCurrent() || !c.CommitIsCurrent() || a.CommitIsCurrent() {
		t.Error("must be current at the tail and at its predecessor only")
	}
	if !deliverAck(b, a, 1) || !a.CommitIsCurrent() {
		t.Error("must be current at the head")
	}
	a = restartMember(a)
	if a.CommitIsCurrent() || !a.IsActive() {
		t.Error("a restarted head must be active, but its commit index must not be current")
	}
	if c = restartMember(c); !c.CommitIsCurrent() {
		t.Error("must be current at a restarted tail")
	}
	if !deliverAck(b, a, 1) || !a.CommitIsCurrent() {
		t.Error("must be current again after an acknowledgement")
	}
	next := viewOf(3, "a", "b", "c")
	a.Adopt(next)
	c.Adopt(next)
	if !a.IsActive() || a.CommitIsCurrent() || c.CommitIsCurrent() {
		t.Error("in a new epoch, the head must be active, but its commit index must not be current")
	}
}

func TestHeadNeedsCompleteStateToActivate(t *testing.T) {
	v := view.View{Epoch: 5, Chain: []view.ChainMember{{ID: "a", JoinedEpoch: 3}, {ID: "b", JoinedEpoch: 1}}}
	if c := New("a", State{ActivatedEpoch: 2}); c.Adopt(v) || c.IsActive() {
		t.Error("activated a head without the state of epoch 3")
	}
	c := New("a", State{ActivatedEpoch: 3})
	if !c.Adopt(v) || !c.IsActive() || c.State().ActivatedEpoch != 5 {
		t.Error("a complete head must be active at once, and its state must change")
	}
	if c.Adopt(v) {
		t.Error("the state changed the second time")
	}
	if c := New("b", State{ActivatedEpoch: 4}); c.Adopt(v) || c.IsActive() {
		t.Error("activated a successor without a transfer")
	}
}

func TestActivationReplacesOnlyUncommittedEntries(t *testing.T) {
	v := viewOf(3, "a", "b")
	a := newMember("a", State{ActivatedEpoch: 2, LastIndex: 5, Commit: 2, Entries: []Entry{
		{1, "x", nil}, {2, "y", nil}, {3, "n", nil}, {4, "x", nil}, {5, "m", nil},
	}}, v)
	b := newMember("b", State{ActivatedEpoch: 2, LastIndex: 4, Commit: 2, Entries: []Entry{
		{1, "x", nil}, {2, "y", nil}, {3, "old", nil}, {4, "old", nil},
	}}, v)
	replicate(t, a, b)
	wantState(t, b, "3/5/5 y@2 n@3 x@4 m@5")
	wantState(t, a, "3/5/5 y@2 n@3 x@4 m@5")
}

func TestActivationOfMemberWithHigherCommit(t *testing.T) {
	v := viewOf(3, "a", "b")
	a := newMember("a", State{ActivatedEpoch: 2, LastIndex: 3, Commit: 1, Entries: []Entry{
		{1, "x", nil}, {2, "x", nil}, {3, "z", nil},
	}}, v)
	b := newMember("b", State{ActivatedEpoch: 2, LastIndex: 2, Commit: 2, Entries: []Entry{{2, "x", nil}}}, v)
	deliverAck(b, a, 1)
	_, u, _ := a.NextUpdate()
	if len(u.Fragments) != 1 || u.Fragments[0].Index != 3 {
		t.Error("sent entries that the receiver has:", u.Fragments)
	}
	a.Resend() // that update is lost
	a.Resend()
	replicate(t, a, b)
	wantState(t, b, "3/3/3 x@2 z@3")
	wantState(t, a, "3/3/3 x@2 z@3")
}

func TestActivationWithEmptyState(t *testing.T) {
	v := viewOf(3, "a", "b")
	a := newMember("a", State{ActivatedEpoch: 2}, v)
	b := newMember("b", State{ActivatedEpoch: 2, LastIndex: 1, Entries: []Entry{{1, "old", nil}}}, v)
	replicate(t, a, b)
	wantState(t, b, "3/0/0")
	appendKeys(t, a, "k")
	replicate(t, a, b)
	wantState(t, b, "3/1/1 k@1")
}

func TestIncompleteTransferLeavesStateUnchanged(t *testing.T) {
	v := viewOf(3, "a", "b")
	a := newMember("a", State{ActivatedEpoch: 2, LastIndex: 3, Commit: 1, Entries: []Entry{
		{1, "x", nil}, {2, "big", largeValue(1, 4)}, {3, "z", nil},
	}}, v)
	b := newMember("b", State{ActivatedEpoch: 2, LastIndex: 2, Commit: 1, Entries: []Entry{{1, "x", nil}, {2, "own", nil}}}, v)
	deliverAck(b, a, 1)
	for range 3 {
		_, u, some := a.NextUpdate()
		if changed, ok := b.HandleUpdate("a", u); !some || changed || !ok || u.Complete {
			t.Fatal("state changed by an incomplete transfer, or the update was rejected or complete:", u.Complete)
		}
	}
	wantState(t, b, "2/1/2 x@1 own@2")
	if got := b.CurrentAck().Received; got.LastIndex != 1 || got.PartialIndex != 2 || got.PartialBytes == 0 {
		t.Error("received:", got)
	}
	b.Adopt(viewOf(4, "b", "a"))
	wantState(t, b, "4/1/2 x@1 own@2")
	if got := b.CurrentAck().Received; got != (Position{LastIndex: 2}) {
		t.Error("received after another view:", got)
	}
}

// Guards against an update that claims to be the end of a transfer but ends inside an entry.
func TestTransferEndingInsideEntryIsIncomplete(t *testing.T) {
	v := viewOf(3, "a", "b")
	value := []byte("value")
	part := Fragment{Index: 1, Key: "k", ValueSize: 5, Checksum: checksum(value), Data: value[:2]}
	u := Update{Epoch: 3, Fragments: []Fragment{part}, Complete: true, Through: 1, Commit: 1}
	b, learner := newMember("b", State{ActivatedEpoch: 2}, v), newMember("z", State{}, v)
	if changed, ok := b.HandleUpdate("a", u); changed || !ok || b.IsActive() {
		t.Error("activated by an incomplete transfer")
	}
	if learner.HandleLearnerUpdate(u) {
		t.Error("learner state changed by an incomplete transfer")
	}
	wantState(t, b, "2/0/0")
	wantState(t, learner, "0/0/0")
	part.Offset, part.Data = 2, value[2:]
	u.After, u.Fragments = Position{PartialIndex: 1, PartialBytes: 2}, []Fragment{part}
	if changed, _ := b.HandleUpdate("a", u); !changed || !learner.HandleLearnerUpdate(u) {
		t.Error("the transfer was rejected although it is complete")
	}
	wantState(t, b, "3/1/1 k@1")
	wantState(t, learner, "0/1/1 k@1")
}

func TestActivationOnOtherBaseIsRejected(t *testing.T) {
	b := newMember("b", State{ActivatedEpoch: 2, LastIndex: 4, Commit: 4}, viewOf(3, "a", "b"))
	f := Fragment{Index: 5, Key: "k", Checksum: checksum(nil)}
	for _, base := range []int64{3, 5} {
		u := Update{Epoch: 3, Base: base, After: Position{LastIndex: 4}, Fragments: []Fragment{f}, Complete: true, Through: 5}
		if changed, ok := b.HandleUpdate("a", u); changed || !ok || b.IsActive() {
			t.Error("activated by a transfer on base", base)
		}
	}
	wantState(t, b, "2/4/4")
}

func TestUpdateOnlyFromPredecessorInEpoch(t *testing.T) {
	v := viewOf(2, "a", "b", "c")
	b := newMember("b", State{ActivatedEpoch: 2}, v)
	f := Fragment{Index: 1, Key: "k", Checksum: checksum(nil)}
	good := Update{Epoch: 2, Fragments: []Fragment{f}, Complete: true, Through: 1}
	old := good
	old.Epoch = 1
	for name, test := range map[string]struct {
		from string
		u    Update
		to   *Chain
	}{
		"from the successor":  {"c", good, b},
		"of an earlier epoch": {"a", old, b},
		"to a head":           {"a", good, newMember("a", State{ActivatedEpoch: 2}, v)},
		"to a learner":        {"a", good, newMember("d", State{ActivatedEpoch: 2}, v)},
		"from a learner":      {"d", good, b},
	} {
		if changed, ok := test.to.HandleUpdate(test.from, test.u); changed || ok || test.to.State().LastIndex != 0 {
			t.Errorf("handled an update %s", name)
		}
	}
	if changed, ok := b.HandleUpdate("a", good); !changed || !ok {
		t.Error("an update from the predecessor was rejected")
	}
	if changed, ok := b.HandleUpdate("a", good); changed || !ok {
		t.Error("the update was applied twice")
	}
}

func TestCommitNeverExceedsLastIndex(t *testing.T) {
	v := viewOf(2, "a", "b", "c")
	b := newMember("b", State{ActivatedEpoch: 2}, v)
	b.HandleUpdate("a", Update{Epoch: 2, Commit: 9, Fragments: []Fragment{{Index: 1, Key: "k", Checksum: checksum(nil)}}})
	wantState(t, b, "2/1/1 k@1")
	a := newMember("a", State{ActivatedEpoch: 2, LastIndex: 1, Entries: []Entry{{1, "k", nil}}}, v)
	if a.HandleAck("b", 1, Ack{Epoch: 2, LastIndex: 4, Commit: 4, Active: true}) || a.State().Commit != 0 {
		t.Error("handled an acknowledgement beyond the last index")
	}
	if a.HandleAck("b", 1, Ack{Epoch: 2, LastIndex: 1, Commit: 9, Active: true}); a.State().Commit != 1 {
		t.Error("commit", a.State().Commit)
	}
}

func TestAckOnlyFromSuccessorInEpoch(t *testing.T) {
	v := viewOf(2, "a", "b", "c")
	a := newMember("a", State{ActivatedEpoch: 2, LastIndex: 1, Entries: []Entry{{1, "k", nil}}}, v)
	good := Ack{Epoch: 2, LastIndex: 1, Commit: 1, CommitIsCurrent: true, Active: true}
	old, waiting := good, good
	old.Epoch, waiting.Active = 1, false
	if a.HandleAck("c", 1, good) || a.HandleAck("b", 1, old) || a.HandleAck("b", 1, waiting) ||
		a.State().Commit != 0 || a.CommitIsCurrent() {
		t.Error("handled an acknowledgement of another member or epoch, or of an inactive one")
	}
	if !a.HandleAck("b", 1, good) || a.State().Commit != 1 || !a.CommitIsCurrent() {
		t.Error("rejected an acknowledgement of the successor")
	}
}
