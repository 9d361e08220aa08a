package chain

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"larchrouter/internal/tier/view"
)

// viewOf is a view in which all members of the chain have been since the first epoch.
func viewOf(epoch int64, ids ...string) view.View {
	v := view.View{Epoch: epoch}
	for _, id := range ids {
		v.Voters = append(v.Voters, view.Member{ID: id, Name: id, Addr: id})
		v.Chain = append(v.Chain, view.ChainMember{ID: id, JoinedEpoch: 1})
	}
	return v
}

// newMember is a member that begins with a state and adopts a view.
func newMember(id string, s State, v view.View) *Chain {
	c := New(id, s)
	c.Adopt(v)
	return c
}

// restartMember is a member begun again from what it had on disk.
func restartMember(c *Chain) *Chain {
	s := *c.State()
	return newMember(c.self, s, c.view)
}

// stateString writes a state as "activated/commit/index key@index ...".
func stateString(s *State) string {
	words := []string{fmt.Sprintf("%d/%d/%d", s.ActivatedEpoch, s.Commit, s.LastIndex)}
	for _, e := range s.Entries {
		words = append(words, fmt.Sprint(e.Key, "@", e.Index))
	}
	return strings.Join(words, " ")
}

func wantState(t *testing.T, c *Chain, want string) {
	t.Helper()
	if got := stateString(c.State()); got != want {
		t.Errorf("%s: got %s, want %s", c.self, got, want)
	}
}

func appendKeys(t *testing.T, c *Chain, keys ...string) {
	t.Helper()
	for _, key := range keys {
		if _, ok := c.Append(key, []byte(key)); !ok {
			t.Fatal("not taken at the head")
		}
	}
	c.MarkDurable()
}

// largeValue is a value of some pieces, another for each number.
func largeValue(number byte, pieces int) []byte {
	return bytes.Repeat([]byte{number, 1, number, 3}, pieces*ChunkSize/4)
}

// deliverAck gives the predecessor what a member reports.
func deliverAck(member, predecessor *Chain, life int64) bool {
	_, a, _ := member.PredecessorAck()
	return predecessor.HandleAck(member.self, life, a)
}

// replicate brings all that a member has for its successor there, and the answers back, until there is nothing more.
func replicate(t *testing.T, from, to *Chain) {
	t.Helper()
	deliverAck(to, from, 1)
	for range 1000 {
		_, u, some := from.NextUpdate()
		if !some {
			return
		}
		if _, ok := to.HandleUpdate(from.self, u); !ok {
			t.Fatal("an update of the predecessor was not for it")
		}
		to.MarkDurable()
		deliverAck(to, from, 1)
	}
	t.Fatal("it does not end")
}

// replicateToLearner brings all that a tail has for a learner there.
func replicateToLearner(t *testing.T, tail, learner *Chain) {
	t.Helper()
	tail.HandleLearnerAck(learner.self, 1, learner.CurrentAck())
	for range 1000 {
		u, some := tail.NextLearnerUpdate(learner.self)
		if !some {
			return
		}
		learner.HandleLearnerUpdate(u)
		tail.HandleLearnerAck(learner.self, 1, learner.CurrentAck())
	}
	t.Fatal("it does not end")
}

// newSendStream is the side that sends, told where the receiver is.
func newSendStream(a Ack) *sendStream {
	o := new(sendStream)
	o.handleAck(1, a, -1)
	return o
}

// drain are the updates that a sender makes without any answer.
func drain(o *sendStream, entries []Entry, limit int64) (updates []Update) {
	for {
		u, some := o.nextUpdate(entries, limit)
		if !some {
			return updates
		}
		updates = append(updates, u)
	}
}
