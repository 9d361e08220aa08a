package controlnode

import (
	"testing"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/founding"
	"larchrouter/internal/tier/view"
)

// A seed that had come back without identity knew epoch 1 from a founder and took itself for one, so that it neither founded the core nor
// asked again.
func TestFoundingPhase(t *testing.T) {
	seeds := []view.Member{{ID: "seed-a", Addr: "a"}, {ID: "seed-b", Addr: "b"}, {ID: "seed-c", Addr: "c"}}
	founder := BootstrapState(seeds)
	promised := BootstrapState(seeds)
	promised.Acceptor.Prepare(2, view.Ballot{Number: 1, Proposer: "seed-b"})
	withEntry := BootstrapState(seeds)
	withEntry.State.LastIndex = 1
	withEntry.State.Entries = []chain.Entry{{Index: 1, Key: "k"}}
	later := BootstrapState(seeds)
	later.Acceptor.View.Epoch = 2
	for _, tc := range []struct {
		name    string
		id      string
		durable Durable
		want    founding.Phase
	}{
		{"empty disk", "random", Durable{}, founding.Empty},
		{"founder", "seed-a", founder, founding.Founder},
		{"knows epoch 1 without a vote", "random", founder, founding.Empty},
		{"founder that has promised", "seed-a", promised, founding.Founded},
		{"founder with an entry", "seed-a", withEntry, founding.Founded},
		{"later epoch", "seed-a", later, founding.Founded},
		{"later epoch without a vote", "random", later, founding.Founded},
	} {
		node := NewNode(NodeSettings{Self: view.Member{ID: tc.id, Addr: "a"}, Timings: DefaultTimings()}, tc.durable, 0)
		if got := node.FoundingPhase(); got != tc.want {
			t.Errorf("%s: phase %d, want %d", tc.name, got, tc.want)
		}
	}
}

// The head of epoch 1 decided orders alone, so that it had entries that no other seed knew of, and the core could not be founded any more.
func TestFounderAloneDecidesNothing(t *testing.T) {
	seeds := []view.Member{{ID: "seed-a", Addr: "a"}, {ID: "seed-b", Addr: "b"}, {ID: "seed-c", Addr: "c"}}
	node := NewNode(NodeSettings{Self: seeds[0], Timings: DefaultTimings(), FaultTolerance: 1}, BootstrapState(seeds), 0)
	if node.IsActiveHead() {
		t.Error("a founder that nobody has confirmed decides orders")
	}
	node.Tick(DefaultTimings().HeartbeatInterval)
	echo := Echo{ID: "seed-a", ConfirmationRound: node.readIndex.rounds.number}
	node.Receive(DefaultTimings().HeartbeatInterval, Message{Kind: msgConfirmed, From: seeds[1], Epoch: 1, Echoes: []Echo{echo}})
	if !node.IsActiveHead() {
		t.Error("a founder that a majority has confirmed does not decide orders")
	}
}
