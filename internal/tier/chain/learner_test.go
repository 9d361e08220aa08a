package chain

import (
	"bytes"
	"testing"

	"larchrouter/internal/tier/view"
)

func newSingleMember(epoch int64, s State) *Chain {
	return newMember("a", s, view.View{Epoch: epoch, Chain: []view.ChainMember{{ID: "a", JoinedEpoch: 0}}})
}

func TestLearnerAppliesCompleteTransferAtomically(t *testing.T) {
	tail := newSingleMember(1, State{})
	tail.Append("large", largeValue(1, 3))
	appendKeys(t, tail, "k", "l", "k")
	learner := newMember("z", State{LastIndex: 2, Entries: []Entry{{1, "own", nil}, {2, "own", nil}}}, tail.view)
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	if !tail.LearnerIsBehind("z") {
		t.Error("the learner is not behind before the transfer")
	}
	for {
		update, ok := tail.NextLearnerUpdate("z")
		if !ok {
			t.Fatal("the transfer was not completed")
		}
		if learner.HandleLearnerUpdate(update) != update.Complete {
			t.Error("the state must change exactly when the update is complete; complete:", update.Complete)
		}
		if update.Complete {
			break
		}
		wantState(t, learner, "0/0/2 own@1 own@2")
		if got := learner.CurrentAck().Received; got == (Position{}) {
			t.Error("received", got)
		}
	}
	wantState(t, learner, "0/4/4 large@1 l@3 k@4")
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	if tail.LearnerIsBehind("z") || len(tail.Transfers()) != 0 {
		t.Error("the learner is behind after the transfer")
	}
	appendKeys(t, tail, "m")
	replicateToLearner(t, tail, learner)
	wantState(t, learner, "0/5/5 large@1 l@3 k@4 m@5")
}

func TestTransfersReportProgress(t *testing.T) {
	tail := newSingleMember(1, State{})
	appendKeys(t, tail, "k")
	tail.Append("large", largeValue(1, 5))
	tail.MarkDurable()
	learner := newMember("z", State{}, tail.view)
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	for range 2 {
		u, _ := tail.NextLearnerUpdate("z")
		learner.HandleLearnerUpdate(u)
	}
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	got := tail.Transfers()
	if len(got) != 1 || got[0].ID != "z" || got[0].LastIndex != 1 || got[0].Target != 2 ||
		got[0].PartialBytes < ChunkSize || got[0].PartialBytes > 2*ChunkSize {
		t.Error("transfers", got)
	}
	if tail.RemoveLearner("z"); len(tail.Transfers()) != 0 || tail.LearnerIsBehind("z") {
		t.Error("the learner was not removed")
	}
	if _, some := tail.NextLearnerUpdate("z"); some {
		t.Error("the tail sends to a removed learner")
	}
}

func TestOnlyTailWithCurrentCommitUpdatesLearners(t *testing.T) {
	v := viewOf(2, "a", "b")
	a, b := newMember("a", State{ActivatedEpoch: 1}, v), newMember("b", State{ActivatedEpoch: 1}, v)
	report := Ack{Epoch: 2}
	for _, c := range []*Chain{a, b} {
		if c.HandleLearnerAck("z", 1, report); len(c.learners) != 0 {
			t.Error(c.self, "has learners before its commit index is current")
		}
	}
	replicate(t, a, b)
	appendKeys(t, a, "k")
	replicate(t, a, b)
	a.HandleLearnerAck("z", 1, report)
	b.HandleLearnerAck("a", 1, report)
	b.HandleLearnerAck("z", 1, report)
	if len(a.learners) != 0 || len(b.learners) != 1 || !b.LearnerIsBehind("z") {
		t.Error("learners of head and tail", len(a.learners), len(b.learners))
	}
	if _, some := b.NextLearnerUpdate("z"); !some {
		t.Error("the tail sends nothing to the learner")
	}
	b.Adopt(viewOf(3, "a", "b"))
	if _, some := b.NextLearnerUpdate("z"); some {
		t.Error("the tail sends in an epoch in which its commit index is not current")
	}
}

func TestChainMembersIgnoreLearnerUpdates(t *testing.T) {
	b := newMember("b", State{ActivatedEpoch: 2}, viewOf(2, "a", "b"))
	fragments := []Fragment{{Index: 1, Key: "k", Checksum: checksum(nil)}}
	if b.HandleLearnerUpdate(Update{Epoch: 2, Fragments: fragments, Complete: true, Through: 1}) {
		t.Error("a chain member handled a learner update")
	}
}

func TestLearnerRejectsTransferOnOtherBase(t *testing.T) {
	learner := newMember("z", State{LastIndex: 4, Commit: 4}, viewOf(2, "a"))
	f := []Fragment{{Index: 5, Key: "k", Checksum: checksum(nil)}}
	at := Position{LastIndex: 4}
	for name, u := range map[string]Update{
		"lower base":     {Base: 3, After: at, Fragments: f, Complete: true, Through: 5},
		"higher base":    {Base: 5, After: at, Fragments: f, Complete: true, Through: 5},
		"no new entries": {Base: 4, After: at, Complete: true, Through: 4},
	} {
		if learner.HandleLearnerUpdate(u) {
			t.Error("applied:", name)
		}
	}
	wantState(t, learner, "0/4/4")
}

func TestLearnerResumesInsideEntryWithNewTail(t *testing.T) {
	s := State{ActivatedEpoch: 1, LastIndex: 2, Commit: 2, Entries: []Entry{{1, "k", nil}, {2, "large", largeValue(1, 4)}}}
	first, second := viewOf(2, "a"), viewOf(3, "b")
	a, learner := newMember("a", s, first), newMember("z", State{}, first)
	a.HandleLearnerAck("z", 1, learner.CurrentAck())
	for range 2 {
		u, _ := a.NextLearnerUpdate("z")
		learner.HandleLearnerUpdate(u)
	}
	at := learner.CurrentAck().Received
	b := newMember("b", s, second)
	learner.Adopt(second)
	if learner.CurrentAck().Received != at || at.PartialIndex != 2 || at.PartialBytes < ChunkSize {
		t.Fatal("the received part was lost:", learner.CurrentAck().Received, at)
	}
	b.HandleLearnerAck("z", 1, learner.CurrentAck())
	u, _ := b.NextLearnerUpdate("z")
	if u.After != at || u.Fragments[0].Offset != at.PartialBytes {
		t.Error("the new tail continues after", u.After, "with", u.Fragments[0].Offset)
	}
	learner.HandleLearnerUpdate(u)
	replicateToLearner(t, b, learner)
	wantState(t, learner, "0/2/2 k@1 large@2")
	if e, _ := learner.LastEntry("large"); !bytes.Equal(e.Value, s.Entries[1].Value) {
		t.Error("the received value differs")
	}
}

func TestLearnerDropsPartialEntryCompactedAtNewTail(t *testing.T) {
	first, second := viewOf(2, "a"), viewOf(3, "b")
	a := newMember("a", State{ActivatedEpoch: 1, LastIndex: 1, Commit: 1, Entries: []Entry{{1, "large", largeValue(1, 4)}}}, first)
	b := newMember("b", State{ActivatedEpoch: 1, LastIndex: 2, Commit: 2, Entries: []Entry{{2, "large", largeValue(2, 4)}}}, second)
	learner := newMember("z", State{}, first)
	a.HandleLearnerAck("z", 1, learner.CurrentAck())
	u, _ := a.NextLearnerUpdate("z")
	learner.HandleLearnerUpdate(u)
	learner.Adopt(second)
	replicateToLearner(t, b, learner)
	wantState(t, learner, "0/2/2 large@2")
}

func TestLearnerJoiningChainRestartsAtCommit(t *testing.T) {
	first := viewOf(2, "a")
	a, learner := newMember("a", State{ActivatedEpoch: 1}, first), newMember("z", State{}, first)
	a.Append("large", largeValue(1, 4))
	appendKeys(t, a, "k")
	a.HandleLearnerAck("z", 1, learner.CurrentAck())
	u, _ := a.NextLearnerUpdate("z")
	learner.HandleLearnerUpdate(u)
	next := viewOf(3, "a", "z")
	a.Adopt(next)
	learner.Adopt(next)
	if learner.CurrentAck().Received != (Position{}) {
		t.Error("received", learner.CurrentAck().Received)
	}
	replicate(t, a, learner)
	wantState(t, learner, "3/2/2 large@1 k@2")
}

func TestLearnerAckOfEarlierIncarnationIsIgnored(t *testing.T) {
	tail := newSingleMember(1, State{})
	appendKeys(t, tail, "k", "l", "m")
	tail.HandleLearnerAck("z", 7, Ack{Commit: 2, Received: Position{LastIndex: 2}})
	tail.NextLearnerUpdate("z")
	tail.HandleLearnerAck("z", 6, Ack{Commit: 1, Received: Position{LastIndex: 1}})
	if o := tail.learners["z"]; o.incarnation != 7 || o.base != 2 || o.inFlightBytes == 0 {
		t.Error("handled an acknowledgement of an earlier incarnation: incarnation", o.incarnation, "base", o.base, "in flight", o.inFlightBytes)
	}
	tail.HandleLearnerAck("z", 8, Ack{Commit: 1, Received: Position{LastIndex: 1}})
	if u, _ := tail.NextLearnerUpdate("z"); u.Base != 1 {
		t.Error("ignored the newest incarnation; base", u.Base)
	}
}

// Guards against a stalled transfer: entries sent on the former base must be sent again on the new base at once, without a call of
// Resend.
func TestNextTransferUsesNewBase(t *testing.T) {
	tail := newSingleMember(1, State{})
	learner := newMember("z", State{}, tail.view)
	appendKeys(t, tail, "k")
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	first, _ := tail.NextLearnerUpdate("z")
	appendKeys(t, tail, "l")
	onOldBase, ok := tail.NextLearnerUpdate("z")
	if !ok || !learner.HandleLearnerUpdate(first) || learner.HandleLearnerUpdate(onOldBase) {
		t.Fatal("the first update was rejected, or the second was handled")
	}
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	u, ok := tail.NextLearnerUpdate("z")
	if !ok || u.Base != 1 || !learner.HandleLearnerUpdate(u) {
		t.Error("the entry was not sent again on the new base:", ok, u.Base)
	}
	wantState(t, learner, "0/2/2 k@1 l@2")
}

// Guards against a lost key: the beginning of a transfer is sent after the key was written again, and the delayed end was sent
// before. Together they have no entry of that key.
func TestLearnerRejectsEndOfOlderTransfer(t *testing.T) {
	tail := newSingleMember(1, State{})
	appendKeys(t, tail, "k")
	learner := newMember("z", State{}, tail.view)
	replicateToLearner(t, tail, learner)
	appendKeys(t, tail, "k", "m", "l")
	completeFragment := func(index int64, key string) Fragment {
		return Fragment{Index: index, Key: key, ValueSize: 1, Checksum: checksum([]byte(key)), Data: []byte(key)}
	}
	// Sent while the tail had k@2 m@3 l@4; the update before it, of k@2 and m@3, is lost.
	late := Update{Epoch: 1, Base: 1, After: Position{LastIndex: 3}, Fragments: []Fragment{completeFragment(4, "l")},
		Complete: true, Through: 4, Commit: 4}
	appendKeys(t, tail, "k")
	// Sent while the tail had m@3 l@4 k@5; k@2 was compacted away.
	begun := Update{Epoch: 1, Base: 1, After: Position{LastIndex: 1}, Fragments: []Fragment{completeFragment(3, "m")}, Commit: 5}
	learner.HandleLearnerUpdate(begun)
	if learner.HandleLearnerUpdate(late) {
		t.Error("completed by the end of an older transfer: ", stateString(learner.State()))
	}
	wantState(t, learner, "0/1/1 k@1")
	replicateToLearner(t, tail, learner)
	wantState(t, learner, "0/5/5 m@3 l@4 k@5")
}
