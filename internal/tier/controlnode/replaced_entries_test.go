package controlnode

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

// Guards against an acknowledged configuration that gives way to a refused one: a head keeps entries that reached no other node
// at indexes at which the others commit different ones, returns as a learner, and restarts.
func TestRestartedLearnerHasCommittedEntries(t *testing.T) {
	for _, test := range []struct{ uncommitted, committed int }{{1, 1}, {3, 1}, {1, 3}, {2, 2}} {
		t.Run(fmt.Sprintf("%d uncommitted, %d committed", test.uncommitted, test.committed), func(t *testing.T) {
			dir := t.TempDir()
			n := openLearnerAfter(t, dir, test.uncommitted, test.committed)
			want := n.core.node.Chain().Committed(0)
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

// openLearnerAfter opens a core node and returns it as a learner that has just received entries: as the head it appended some
// that reached no other node, and without it the others committed some at the same indexes.
func openLearnerAfter(t *testing.T, dir string, uncommitted, committed int) *network {
	t.Helper()
	n := openNetwork(t, dir, func(core *Server) Durable { return core.node.Durable() })
	last := storedMembers[2]
	n.start(view.Member{ID: "seed-" + last.Addr, Name: last.Name, Addr: last.Addr}, n.core.node.Durable())
	n.until("the chain is complete", n.allCaughtUp)
	n.partitioned[n.core.self.Addr] = true
	for i := range uncommitted {
		n.write(fmt.Sprintf("key %d", i%2), fmt.Appendf(nil, "refused %d", i))
	}
	n.until("the other nodes have removed the core node from the chain", func() bool { return n.peerHead() != nil })
	head := n.peerHead()
	for i := range committed {
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
	return n
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

// Only members of the chain that have been activated since they joined it have a copy that the chain relies on.
func TestCompleteState(t *testing.T) {
	v := view.View{Epoch: 5, Chain: []view.ChainMember{{ID: "a", JoinedEpoch: 2}, {ID: "b", JoinedEpoch: 5}}}
	for _, c := range []struct {
		id        string
		activated int64
		want      bool
	}{{"a", 5, true}, {"a", 4, true}, {"a", 2, true}, {"a", 1, false}, {"b", 5, true}, {"b", 4, false}, {"z", 5, false}} {
		d := Durable{Acceptor: view.Acceptor{View: v}, State: chain.State{ActivatedEpoch: c.activated}}
		if got := hasCompleteState(&d, c.id); got != c.want {
			t.Errorf("%s, activated in epoch %d: %v, want %v", c.id, c.activated, got, c.want)
		}
	}
}

// Guards against disks of builds that left replaced entries on a learner's disk: the node outside the chain receives all entries
// again, once. A disk that an earlier build has written after this one counts as its own.
func TestLearnerDropsEntriesOfEarlierBuild(t *testing.T) {
	for name, earlierBuild := range map[string]sqlitelog.Write{
		"never started by this build":      {Table: "vote", Key: verifiedKey},
		"started by the earlier one since": {Table: "vote", Key: incarnationKey, Value: indexKey(100)},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			n := openLearnerAfter(t, dir, 1, 2)
			want := n.core.node.Chain().Committed(0)
			last := want[len(want)-1]
			last.Value = []byte("refused")
			stale := sqlitelog.Write{Table: "entries", Key: indexKey(last.Index), Value: rpc.Encode(&last)}
			if err := n.core.db.Commit(t.Context(), []sqlitelog.Write{stale, earlierBuild}); err != nil {
				t.Fatal(err)
			}
			acceptor := n.core.node.acceptor
			n.restartCore(dir)
			d := n.core.node.Durable()
			if len(d.State.Entries) != 0 || d.State.Commit != 0 || d.State.LastIndex != 0 {
				t.Errorf("started with %s", entriesText(d.State.Entries))
			}
			if !bytes.Equal(rpc.Encode(&d.Acceptor), rpc.Encode(&acceptor)) {
				t.Errorf("started with the votes %+v, had %+v", d.Acceptor, acceptor)
			}
			n.until("the node has the committed entries", func() bool { return reflect.DeepEqual(n.core.node.Chain().Committed(0), want) })
			n.restartCore(dir)
			if got := n.core.node.Chain().Committed(0); !reflect.DeepEqual(got, want) {
				t.Errorf("started again with %s, committed is %s", entriesText(got), entriesText(want))
			}
			n.until("the core node is in the chain again", func() bool { return n.core.node.Chain().CommitIsCurrent() })
			if got := n.core.node.Chain().Committed(0); !reflect.DeepEqual(got, want) {
				t.Errorf("in the chain with %s, committed is %s", entriesText(got), entriesText(want))
			}
			n.close()
		})
	}
}

// A chain member keeps the entries of an earlier build: they may be the copies that count.
func TestChainMemberKeepsEntriesOfEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	n := openNetwork(t, dir, func(core *Server) Durable { return core.node.Durable() })
	n.write("config", []byte("acknowledged"))
	want := n.core.node.Durable().State.Entries
	if err := n.core.db.Commit(t.Context(), []sqlitelog.Write{{Table: "vote", Key: verifiedKey}}); err != nil {
		t.Fatal(err)
	}
	n.restartCore(dir)
	if got := n.core.node.Durable().State.Entries; !reflect.DeepEqual(got, want) {
		t.Errorf("started with %s, had %s", entriesText(got), entriesText(want))
	}
	n.close()
}
