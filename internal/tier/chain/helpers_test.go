package chain

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"larchrouter/internal/tier/view"
)

// viewOf returns a view of the given chain, all of whose members joined in the first epoch.
func viewOf(epoch int64, ids ...string) view.View {
	v := view.View{Epoch: epoch}
	for _, id := range ids {
		v.Voters = append(v.Voters, view.Member{ID: id, Name: id, Addr: id})
		v.Chain = append(v.Chain, view.ChainMember{ID: id, JoinedEpoch: 1})
	}
	return v
}

// newMember returns a member that has the given state and has adopted the view.
func newMember(id string, s State, v view.View) *Chain {
	c := New(id, s)
	c.Adopt(v)
	return c
}

// restartMember restarts a member from its durable state.
func restartMember(c *Chain) *Chain {
	s := *c.State()
	return newMember(c.self, s, c.view)
}

// stateString formats a state as "activated/commit/last key@index ...".
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
			t.Fatal("the head did not append the entry")
		}
	}
	c.MarkDurable()
}

// largeValue returns a value of some chunks, a different one for each number.
func largeValue(number byte, chunks int) []byte {
	return bytes.Repeat([]byte{number, 1, number, 3}, chunks*ChunkSize/4)
}

// deliverAck delivers the acknowledgement of a member to its predecessor.
func deliverAck(member, predecessor *Chain, incarnation int64) bool {
	_, a, _ := member.PredecessorAck()
	return predecessor.HandleAck(member.self, incarnation, a)
}

// replicate delivers all updates of a member to its successor, and the acknowledgements, until none is left.
func replicate(t *testing.T, from, to *Chain) {
	t.Helper()
	deliverAck(to, from, 1)
	for range 1000 {
		_, update, ok := from.NextUpdate()
		if !ok {
			return
		}
		if _, ok := to.HandleUpdate(from.self, update); !ok {
			t.Fatal("an update of the predecessor was rejected")
		}
		to.MarkDurable()
		deliverAck(to, from, 1)
	}
	t.Fatal("the transfer does not end")
}

// replicateToLearner delivers all updates of a tail to a learner, and the acknowledgements, until none is left.
func replicateToLearner(t *testing.T, tail, learner *Chain) {
	t.Helper()
	tail.HandleLearnerAck(learner.self, 1, learner.CurrentAck())
	for range 1000 {
		update, ok := tail.NextLearnerUpdate(learner.self)
		if !ok {
			return
		}
		learner.HandleLearnerUpdate(update)
		tail.HandleLearnerAck(learner.self, 1, learner.CurrentAck())
	}
	t.Fatal("the transfer does not end")
}

// newSendStream returns a stream that has received a first acknowledgement.
func newSendStream(ack Ack) *sendStream {
	stream := new(sendStream)
	stream.handleAck(1, ack, -1)
	return stream
}

// drain returns the updates that a stream sends without further acknowledgements.
func drain(stream *sendStream, entries []Entry, limit int64) (updates []Update) {
	for {
		update, ok := stream.nextUpdate(entries, limit)
		if !ok {
			return updates
		}
		updates = append(updates, update)
	}
}
