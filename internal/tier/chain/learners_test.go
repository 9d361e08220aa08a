package chain

import (
	"bytes"
	"testing"

	"larchrouter/internal/tier/view"
)

func alone(epoch int64, s State) *Chain {
	return started("a", s, view.View{Epoch: epoch, Chain: []view.ChainMember{{ID: "a", JoinedEpoch: 0}}})
}

func TestLearnerTakesWhatIsCommittedAtOnce(t *testing.T) {
	tail := alone(1, State{})
	tail.Append("large", large(1, 3))
	put(t, tail, "k", "l", "k")
	learner := started("z", State{LastIndex: 2, Entries: []Entry{{1, "own", nil}, {2, "own", nil}}}, tail.view)
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	if !tail.LearnerIsBehind("z") {
		t.Error("it lacks something")
	}
	for {
		u, some := tail.NextLearnerUpdate("z")
		if !some {
			t.Fatal("not completed")
		}
		if learner.HandleLearnerUpdate(u) != u.Complete {
			t.Error("changed, or not, by an update that is complete:", u.Complete)
		}
		if u.Complete {
			break
		}
		wantState(t, learner, "0/0/2 own@1 own@2")
		if got := learner.CurrentAck().Received; got == (Position{}) {
			t.Error("staged", got)
		}
	}
	wantState(t, learner, "0/4/4 large@1 l@3 k@4")
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	if tail.LearnerIsBehind("z") || len(tail.Transfers()) != 0 {
		t.Error("it lacks nothing")
	}
	put(t, tail, "m")
	teach(t, tail, learner)
	wantState(t, learner, "0/5/5 large@1 l@3 k@4 m@5")
}

func TestTransfersTellHowFarTheyAre(t *testing.T) {
	tail := alone(1, State{})
	put(t, tail, "k")
	tail.Append("large", large(1, 5))
	tail.MarkDurable()
	learner := started("z", State{}, tail.view)
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	for range 2 {
		u, _ := tail.NextLearnerUpdate("z")
		learner.HandleLearnerUpdate(u)
	}
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	got := tail.Transfers()
	if len(got) != 1 || got[0].ID != "z" || got[0].LastIndex != 1 || got[0].Target != 2 || got[0].PartialBytes < ChunkSize || got[0].PartialBytes > 2*ChunkSize {
		t.Error("transfers", got)
	}
	if tail.RemoveLearner("z"); len(tail.Transfers()) != 0 || tail.LearnerIsBehind("z") {
		t.Error("not forgotten")
	}
	if _, some := tail.NextLearnerUpdate("z"); some {
		t.Error("sends to one that is forgotten")
	}
}

func TestOnlyATailThatKnowsTeachesWhoIsOutside(t *testing.T) {
	v := founded(2, "a", "b")
	a, b := started("a", State{ActivatedEpoch: 1}, v), started("b", State{ActivatedEpoch: 1}, v)
	report := Ack{Epoch: 2}
	for _, c := range []*Chain{a, b} {
		if c.HandleLearnerAck("z", 1, report); len(c.learners) != 0 {
			t.Error(c.self, "teaches before it knows")
		}
	}
	pass(t, a, b)
	put(t, a, "k")
	pass(t, a, b)
	a.HandleLearnerAck("z", 1, report)
	b.HandleLearnerAck("a", 1, report)
	b.HandleLearnerAck("z", 1, report)
	if len(a.learners) != 0 || len(b.learners) != 1 || !b.LearnerIsBehind("z") {
		t.Error("learners of head and tail", len(a.learners), len(b.learners))
	}
	if _, some := b.NextLearnerUpdate("z"); !some {
		t.Error("the tail sends nothing")
	}
	b.Adopt(founded(3, "a", "b"))
	if _, some := b.NextLearnerUpdate("z"); some {
		t.Error("sends in an epoch in which it does not know")
	}
}

func TestMembersOfTheChainDoNotLearn(t *testing.T) {
	b := started("b", State{ActivatedEpoch: 2}, founded(2, "a", "b"))
	if b.HandleLearnerUpdate(Update{Epoch: 2, Fragments: []Fragment{{Index: 1, Key: "k", Checksum: sum(nil)}}, Complete: true, Through: 1}) {
		t.Error("learnt")
	}
}

func TestLearnerRefusesATransferOnAnotherBase(t *testing.T) {
	learner := started("z", State{LastIndex: 4, Commit: 4}, founded(2, "a"))
	f := []Fragment{{Index: 5, Key: "k", Checksum: sum(nil)}}
	at := Position{LastIndex: 4}
	for name, u := range map[string]Update{
		"base before":     {Base: 3, After: at, Fragments: f, Complete: true, Through: 5},
		"base after":      {Base: 5, After: at, Fragments: f, Complete: true, Through: 5},
		"through nothing": {Base: 4, After: at, Complete: true, Through: 4},
	} {
		if learner.HandleLearnerUpdate(u) {
			t.Error("learnt:", name)
		}
	}
	wantState(t, learner, "0/4/4")
}

func TestLearnerGoesOnWithAnotherTailInTheMiddleOfAnEntry(t *testing.T) {
	s := State{ActivatedEpoch: 1, LastIndex: 2, Commit: 2, Entries: []Entry{{1, "k", nil}, {2, "large", large(1, 4)}}}
	first, second := founded(2, "a"), founded(3, "b")
	a, learner := started("a", s, first), started("z", State{}, first)
	a.HandleLearnerAck("z", 1, learner.CurrentAck())
	for range 2 {
		u, _ := a.NextLearnerUpdate("z")
		learner.HandleLearnerUpdate(u)
	}
	at := learner.CurrentAck().Received
	b := started("b", s, second)
	learner.Adopt(second)
	if learner.CurrentAck().Received != at || at.PartialIndex != 2 || at.PartialBytes < ChunkSize {
		t.Fatal("what was staged is gone", learner.CurrentAck().Received, at)
	}
	b.HandleLearnerAck("z", 1, learner.CurrentAck())
	u, _ := b.NextLearnerUpdate("z")
	if u.After != at || u.Fragments[0].Offset != at.PartialBytes {
		t.Error("it goes on after", u.After, "with", u.Fragments[0].Offset)
	}
	learner.HandleLearnerUpdate(u)
	teach(t, b, learner)
	wantState(t, learner, "0/2/2 k@1 large@2")
	if e, _ := learner.LastEntry("large"); !bytes.Equal(e.Value, s.Entries[1].Value) {
		t.Error("the value differs")
	}
}

func TestLearnerWhoseOtherTailHasTheEntryNoMore(t *testing.T) {
	first, second := founded(2, "a"), founded(3, "b")
	a := started("a", State{ActivatedEpoch: 1, LastIndex: 1, Commit: 1, Entries: []Entry{{1, "large", large(1, 4)}}}, first)
	b := started("b", State{ActivatedEpoch: 1, LastIndex: 2, Commit: 2, Entries: []Entry{{2, "large", large(2, 4)}}}, second)
	learner := started("z", State{}, first)
	a.HandleLearnerAck("z", 1, learner.CurrentAck())
	u, _ := a.NextLearnerUpdate("z")
	learner.HandleLearnerUpdate(u)
	learner.Adopt(second)
	teach(t, b, learner)
	wantState(t, learner, "0/2/2 large@2")
}

func TestLearnerThatJoinsTheChainBeginsAtItsCommit(t *testing.T) {
	first := founded(2, "a")
	a, learner := started("a", State{ActivatedEpoch: 1}, first), started("z", State{}, first)
	a.Append("large", large(1, 4))
	put(t, a, "k")
	a.HandleLearnerAck("z", 1, learner.CurrentAck())
	u, _ := a.NextLearnerUpdate("z")
	learner.HandleLearnerUpdate(u)
	next := founded(3, "a", "z")
	a.Adopt(next)
	learner.Adopt(next)
	if learner.CurrentAck().Received != (Position{}) {
		t.Error("staged", learner.CurrentAck().Received)
	}
	pass(t, a, learner)
	wantState(t, learner, "3/2/2 large@1 k@2")
}

func TestLearnerAckOfAnEarlierLifeIsIgnored(t *testing.T) {
	tail := alone(1, State{})
	put(t, tail, "k", "l", "m")
	tail.HandleLearnerAck("z", 7, Ack{Commit: 2, Received: Position{LastIndex: 2}})
	tail.NextLearnerUpdate("z")
	tail.HandleLearnerAck("z", 6, Ack{Commit: 1, Received: Position{LastIndex: 1}})
	if o := tail.learners["z"]; o.life != 7 || o.base != 2 || o.bytes == 0 {
		t.Error("taken: life", o.life, "base", o.base, "under way", o.bytes)
	}
	tail.HandleLearnerAck("z", 8, Ack{Commit: 1, Received: Position{LastIndex: 1}})
	if u, _ := tail.NextLearnerUpdate("z"); u.Base != 1 {
		t.Error("the newest life is not taken", u.Base)
	}
}

// TestNextTransferBuildsOnTheOneTakenIn: what was sent on the base before is sent again on the new one at once, without a
// call of Resend.
func TestNextTransferBuildsOnTheOneTakenIn(t *testing.T) {
	tail := alone(1, State{})
	learner := started("z", State{}, tail.view)
	put(t, tail, "k")
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	first, _ := tail.NextLearnerUpdate("z")
	put(t, tail, "l")
	onOldBase, some := tail.NextLearnerUpdate("z")
	if !some || !learner.HandleLearnerUpdate(first) || learner.HandleLearnerUpdate(onOldBase) {
		t.Fatal("the first was not taken, or the second was")
	}
	tail.HandleLearnerAck("z", 1, learner.CurrentAck())
	u, some := tail.NextLearnerUpdate("z")
	if !some || u.Base != 1 || !learner.HandleLearnerUpdate(u) {
		t.Error("not sent again:", some, u.Base)
	}
	wantState(t, learner, "0/2/2 k@1 l@2")
}

// TestLearnerDoesNotCompleteWithAnOlderEndOfTheStream: the beginning comes of a stream that was made after a key had been
// written again, the end, late, of one that was made before. Together they lack that key.
func TestLearnerDoesNotCompleteWithAnOlderEndOfTheStream(t *testing.T) {
	tail := alone(1, State{})
	put(t, tail, "k")
	learner := started("z", State{}, tail.view)
	teach(t, tail, learner)
	put(t, tail, "k", "m", "l")
	whole := func(index int64, key string) Fragment {
		return Fragment{Index: index, Key: key, ValueSize: 1, Checksum: sum([]byte(key)), Data: []byte(key)}
	}
	// Made while the tail had k@2 m@3 l@4: the update before it, of k@2 and m@3, is lost.
	late := Update{Epoch: 1, Base: 1, After: Position{LastIndex: 3}, Fragments: []Fragment{whole(4, "l")}, Complete: true, Through: 4, Commit: 4}
	put(t, tail, "k")
	// Made of m@3 l@4 k@5, and small: k@2 is gone.
	begun := Update{Epoch: 1, Base: 1, After: Position{LastIndex: 1}, Fragments: []Fragment{whole(3, "m")}, Commit: 5}
	learner.HandleLearnerUpdate(begun)
	if learner.HandleLearnerUpdate(late) {
		t.Error("completed: ", text(learner.State()))
	}
	wantState(t, learner, "0/1/1 k@1")
	teach(t, tail, learner)
	wantState(t, learner, "0/5/5 m@3 l@4 k@5")
}
