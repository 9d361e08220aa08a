package turnstore

import (
	"fmt"
	"testing"
)

func TestHistoryIsAssembledFromSeveralStores(t *testing.T) {
	tr := newPassiveTier(t, 3)
	// Each turn of the chain is missing on one replica, in rotation.
	previous := ""
	want := ""
	for i := range 9 {
		id := fmt.Sprint("t", i)
		record := Record{Key: "p", ID: id, Previous: previous, Root: i == 0, RetainSeconds: 30,
			Increment: fmt.Append(nil, "piece", i, "\n")}
		for j, n := range tr.nodes {
			if i%3 == j {
				continue
			}
			if r := n.store.handleClose(t.Context(), &closeCall{To: RequestHeader{n.store.ID(), 1},
				Turn: record}); r.Status != statusOK {
				t.Fatal(r.Status)
			}
		}
		want += string(record.Increment)
		previous = id
	}
	opened, err := tr.client().Open(t.Context(), openRequest("p", "x", previous))
	if err != nil {
		t.Fatal(err)
	}
	if string(opened.History) != want {
		t.Fatalf("%q, want %q", opened.History, want)
	}
	// The replicas that lack turns were notified: each is complete after its repair.
	for _, n := range tr.nodes {
		n.store.repair(t.Context(), "p")
	}
	for _, n := range tr.nodes {
		r := n.store.handleHistory(t.Context(), &historyCall{To: RequestHeader{n.store.ID(), 1}, Key: "p", Turn: previous})
		if string(r.History) != want || r.Missing != "" {
			t.Fatalf("%s: %q, missing %q", n.name, r.History, r.Missing)
		}
	}
}

func TestReadRepairOfReplicaThatLacksTurn(t *testing.T) {
	tr := newPassiveTier(t, 3)
	lacking := tr.nodes[0] // in the client's zone: it is asked for the history
	for _, n := range tr.nodes[1:] {
		c := &closeCall{To: RequestHeader{n.store.ID(), 1}, Turn: Record{Key: "p", ID: "a", Root: true,
			RetainSeconds: 30, Increment: []byte("piece")}}
		if r := n.store.handleClose(t.Context(), c); r.Status != statusOK {
			t.Fatal(r.Status)
		}
	}
	opened, err := tr.client().Open(t.Context(), openRequest("p", "b", "a"))
	if err != nil || string(opened.History) != "piece" {
		t.Fatalf("%+v %v", opened, err)
	}
	eventually(t, "the replica is notified", func() bool { return len(lacking.store.repairs) == 1 })
	lacking.store.repair(t.Context(), <-lacking.store.repairs)
	if !lacking.has("a") {
		t.Fatal("the replica is not repaired")
	}
}

func TestAntiEntropyConverges(t *testing.T) {
	tr := newPassiveTier(t, 4)
	p := tr.placed.Load()
	for i := range 60 {
		key := fmt.Sprint("p", i)
		in, _ := tr.replicasOf(key)
		for j, n := range in { // each replica has a turn and an entry that the others lack
			c := &closeCall{To: RequestHeader{n.store.ID(), 1}, Turn: Record{Key: key, ID: fmt.Sprint(key, "-", j),
				Root: true, RetainSeconds: 30, Increment: []byte(key)}, UsedTokens: j}
			if r := n.store.handleClose(t.Context(), c); r.Status != statusOK {
				t.Fatal(r.Status)
			}
		}
	}
	for range 2 {
		for _, n := range tr.nodes {
			for _, peer := range p.Old {
				if err := n.store.compare(t.Context(), p, peer); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	for i := range 60 {
		key := fmt.Sprint("p", i)
		in, out := tr.replicasOf(key)
		for _, n := range in {
			if l := n.ledger(key); !n.has(key+"-0") || !n.has(key+"-1") || !n.has(key+"-2") || l.Sum() != 3 {
				t.Fatalf("%s of %s is incomplete", key, n.name)
			}
			r := n.store.handleHistory(t.Context(), &historyCall{To: RequestHeader{n.store.ID(), 1}, Key: key, Turn: key + "-1"})
			if string(r.History) != key {
				t.Fatalf("%s of %s: %q", key, n.name, r.History)
			}
		}
		for _, n := range out {
			if n.has(key + "-0") {
				t.Fatalf("%s has a program of which it is not a replica", n.name)
			}
		}
	}
	for _, n := range tr.nodes {
		for _, peer := range tr.nodes {
			if n == peer {
				continue
			}
			n.store.mu.Lock()
			mine := n.store.index.bucketDigests(p, n.store.id, peer.store.id)
			n.store.mu.Unlock()
			peer.store.mu.Lock()
			theirs := peer.store.index.bucketDigests(p, peer.store.id, n.store.id)
			peer.store.mu.Unlock()
			if mine != theirs {
				t.Fatalf("%s and %s still differ", n.name, peer.name)
			}
		}
	}
}
