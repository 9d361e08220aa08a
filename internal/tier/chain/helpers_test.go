package chain

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"larchrouter/internal/tier/view"
)

// founded is a view in which all members of the chain have been since the first epoch.
func founded(epoch int64, ids ...string) view.View {
	v := view.View{Epoch: epoch}
	for _, id := range ids {
		v.Voters = append(v.Voters, view.Member{ID: id, Name: id, Addr: id})
		v.Chain = append(v.Chain, view.ChainMember{ID: id, JoinedEpoch: 1})
	}
	return v
}

// started is a member that begins with a state and adopts a view.
func started(id string, s State, v view.View) *Chain {
	c := New(id, s)
	c.Adopt(v)
	return c
}

// restarted is a member begun again from what it had on disk.
func restarted(c *Chain) *Chain {
	s := *c.State()
	return started(c.self, s, c.view)
}

// text writes a state as "activated/commit/index key@index ...".
func text(s *State) string {
	words := []string{fmt.Sprintf("%d/%d/%d", s.ActivatedEpoch, s.Commit, s.LastIndex)}
	for _, e := range s.Entries {
		words = append(words, fmt.Sprint(e.Key, "@", e.Index))
	}
	return strings.Join(words, " ")
}

func wantState(t *testing.T, c *Chain, want string) {
	t.Helper()
	if got := text(c.State()); got != want {
		t.Errorf("%s: got %s, want %s", c.self, got, want)
	}
}

func put(t *testing.T, c *Chain, keys ...string) {
	t.Helper()
	for _, key := range keys {
		if _, ok := c.Append(key, []byte(key)); !ok {
			t.Fatal("not taken at the head")
		}
	}
	c.MarkDurable()
}

// large is a value of some pieces, another for each number.
func large(number byte, pieces int) []byte {
	return bytes.Repeat([]byte{number, 1, number, 3}, pieces*ChunkSize/4)
}

// ackOf gives the predecessor what a member reports.
func ackOf(member, predecessor *Chain, life int64) bool {
	_, a, _ := member.PredecessorAck()
	return predecessor.HandleAck(member.self, life, a)
}

// pass brings all that a member has for its successor there, and the answers back, until there is nothing more.
func pass(t *testing.T, from, to *Chain) {
	t.Helper()
	ackOf(to, from, 1)
	for range 1000 {
		_, u, some := from.NextUpdate()
		if !some {
			return
		}
		if _, ok := to.HandleUpdate(from.self, u); !ok {
			t.Fatal("an update of the predecessor was not for it")
		}
		to.MarkDurable()
		ackOf(to, from, 1)
	}
	t.Fatal("it does not end")
}

// teach brings all that a tail has for a learner there.
func teach(t *testing.T, tail, learner *Chain) {
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

// sender is the side that sends, told where the receiver is.
func sender(a Ack) *outgoing {
	o := new(outgoing)
	o.acked(1, a, -1)
	return o
}

// all are the updates that a sender makes without any answer.
func all(o *outgoing, entries []Entry, limit int64) (updates []Update) {
	for {
		u, some := o.next(entries, limit)
		if !some {
			return updates
		}
		updates = append(updates, u)
	}
}
