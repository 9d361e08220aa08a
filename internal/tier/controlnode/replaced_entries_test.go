package controlnode

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

// Guards against an acknowledged configuration that gives way to a refused one: a head keeps entries that reached no other node
// at indexes at which the others commit different ones, returns as a learner, and restarts.
func TestRestartedLearnerHasCommittedEntries(t *testing.T) {
	for _, test := range []struct{ uncommitted, committed int }{{1, 1}, {3, 1}, {1, 3}, {2, 2}} {
		t.Run(fmt.Sprintf("%d uncommitted, %d committed", test.uncommitted, test.committed), func(t *testing.T) {
			dir := t.TempDir()
			n := openNetwork(t, dir, func(core *Server) Durable { return core.node.Durable() })
			last := storedMembers[2]
			n.start(view.Member{ID: "seed-" + last.Addr, Name: last.Name, Addr: last.Addr}, n.core.node.Durable())
			n.until("the chain is complete", n.allCaughtUp)
			n.partitioned[n.core.self.Addr] = true
			for i := range test.uncommitted {
				n.write(fmt.Sprintf("key %d", i%2), fmt.Appendf(nil, "refused %d", i))
			}
			n.until("the other nodes have removed the core node from the chain", func() bool { return n.peerHead() != nil })
			head := n.peerHead()
			for i := range test.committed {
				n.sent = append(n.sent, head.Write(n.now, int64(i), fmt.Sprintf("key %d", i%2), fmt.Appendf(nil, "acknowledged %d", i)).Messages...)
			}
			n.until("the entries are committed", func() bool {
				s := head.Chain().State()
				return s.Commit == s.LastIndex
			})
			want := head.Chain().Committed(0)
			n.partitioned[n.core.self.Addr] = false
			n.until("the core node has the committed entries as a learner", func() bool {
				return n.core.node.Chain().IsLearner() && reflect.DeepEqual(n.core.node.Chain().Committed(0), want)
			})
			n.restartCore(dir)
			if got := n.core.node.Chain().Committed(0); !reflect.DeepEqual(got, want) {
				t.Errorf("restarted with %s, committed is %s", entriesText(got), entriesText(want))
			}
			n.until("the core node is in the chain again", func() bool { return n.core.node.Chain().CommitIsCurrent() })
			if got := n.core.node.Chain().Committed(0); !reflect.DeepEqual(got, want) {
				t.Errorf("in the chain again with %s, committed is %s", entriesText(got), entriesText(want))
			}
			n.close()
		})
	}
}

// peerHead returns the node in memory that is the head of a chain without the core node; nil if there is none.
func (n *network) peerHead() *Node {
	for _, p := range n.peers {
		if v := p.View(); p.IsConfirmedHead() && v.Position(n.core.self.ID) < 0 {
			return p
		}
	}
	return nil
}

// restartCore stops the core node as a crash does, between two syncs, and starts it with its disk.
func (n *network) restartCore(dir string) {
	n.t.Helper()
	n.close()
	n.core = openCore(n.t, dir)
}

func entriesText(entries []chain.Entry) (text string) {
	for _, e := range entries {
		text += fmt.Sprintf("%d:%s=%s ", e.Index, e.Key, e.Value)
	}
	return text
}

// The rows that are written turn those of any saved entries into those of any others, and no row is written that is the same.
func TestChangedEntryRowsReplaceSavedOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (entries []chain.Entry) {
			for index := int64(1); index <= 6; index++ {
				if !rapid.Bool().Draw(t, label) {
					continue
				}
				key, value := rapid.SampledFrom([]string{"k", "l"}).Draw(t, label), rapid.SampledFrom([]string{"", "v", "w"}).Draw(t, label)
				entries = append(entries, chain.Entry{Index: index, Key: key, Value: []byte(value)})
			}
			return entries
		}
		saved, current := draw("saved"), draw("current")
		rows := map[string][]byte{}
		for _, e := range saved {
			rows[string(indexKey(e.Index))] = rpc.Encode(&e)
		}
		for _, w := range changedEntryRows(saved, current) {
			before, exists := rows[string(w.Key)]
			if w.Value == nil && !exists || w.Value != nil && bytes.Equal(before, w.Value) {
				t.Errorf("row %x is written although it is the same", w.Key)
			}
			if w.Value == nil {
				delete(rows, string(w.Key))
			} else {
				rows[string(w.Key)] = w.Value
			}
		}
		for _, e := range current {
			if !bytes.Equal(rows[string(indexKey(e.Index))], rpc.Encode(&e)) {
				t.Errorf("the row of %s differs", entriesText([]chain.Entry{e}))
			}
		}
		if len(rows) != len(current) {
			t.Errorf("%d rows for %d entries", len(rows), len(current))
		}
	})
}
