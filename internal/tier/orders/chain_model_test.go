package orders

import (
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/internal/tier/chain"
)

// The world of the drawn courses: replicas of the entries in a chain whose members and head change, in virtual time. It
// has what the control plane promises of the chain, and no more: an entry is committed once every member of its epoch's
// chain has it; the next epoch begins with the state of a member; entries that were not committed may vanish or stay; a
// member that does not hear of the next epoch goes on in the one before, and commits nothing there.

const (
	worldStep   = 10 * time.Millisecond
	callTimeout = 900 * time.Millisecond // after it a replica gives no answer
)

type replica struct {
	name        string
	epoch       int64
	chain       []*replica // of its epoch
	entries     []chain.Entry
	lastIndex   int64
	commitIndex int64
	active      bool // it has the state of its predecessor in this epoch
	pending     []pendingReply
}

// wait is an order that was decided and whose answer may not be told yet.
type pendingReply struct {
	dependsOn   int64
	confirmedAt time.Duration // when a round of confirmations ends; 0 where the answer needs none
	deadline    time.Duration
	reply       func(heard bool)
}

func (r *replica) head() bool { return r.active && r.chain[0] == r }
func (r *replica) tail() bool { return r.active && r.chain[len(r.chain)-1] == r }

func (r *replica) append(w Write) {
	r.lastIndex++
	r.entries = append(slices.Clip(r.entries), chain.Entry{Index: r.lastIndex, Key: w.Key, Value: w.Value})
}

// committed are the entries that are.
func (r *replica) committed() []chain.Entry {
	for i, e := range r.entries {
		if e.Index > r.commitIndex {
			return r.entries[:i]
		}
	}
	return r.entries
}

// commitTo commits, and of the committed entries of a key keeps the last.
func (r *replica) advanceCommit(index int64) {
	if index <= r.commitIndex {
		return
	}
	r.commitIndex = index
	last := make(map[string]int64, len(r.entries))
	for _, e := range r.committed() {
		last[e.Key] = e.Index
	}
	var kept []chain.Entry
	for _, e := range r.entries {
		if e.Index > index || last[e.Key] == e.Index {
			kept = append(kept, e)
		}
	}
	r.entries = kept
}

type chainModel struct {
	rng            *rand.Rand
	now            time.Duration
	epoch          int64
	replicas       []*replica
	scheduled      []event
	committedIndex int64                 // entries up to here are committed
	onCommit       func(chain.Entry)     // called for each, in order
	partialUpdate  bool                  // in this step an update ended between two entries
	onHeadStep     func(r *replica)      // what a head does by itself in each step
	logf           func(string, ...any)  // into the course's story
	epochConfirmed func(r *replica) bool // whether the epoch of a replica is confirmed
}

type event struct {
	due time.Duration
	run func()
}

func newChainModel(rng *rand.Rand, n int, start []chain.Entry) *chainModel {
	w := &chainModel{rng: rng, onCommit: func(chain.Entry) {}, onHeadStep: func(*replica) {}}
	w.epochConfirmed = func(r *replica) bool { return r.epoch == w.epoch && r.active }
	for i := range n {
		r := &replica{name: string(rune('A' + i)), entries: start}
		if len(start) > 0 {
			r.lastIndex = start[len(start)-1].Index
			r.commitIndex = r.lastIndex
		}
		w.replicas = append(w.replicas, r)
	}
	w.committedIndex = w.replicas[0].lastIndex
	w.beginEpoch(slices.Clone(w.replicas))
	return w
}

func (w *chainModel) schedule(d time.Duration, run func()) {
	w.scheduled = append(w.scheduled, event{w.now + d, run})
}

// begin has an epoch begin with a chain whose head has the state.
func (w *chainModel) beginEpoch(members []*replica) {
	w.epoch++
	for i, r := range members {
		r.epoch, r.chain, r.active = w.epoch, members, i == 0
		for _, one := range r.pending {
			one.reply(false)
		}
		r.pending = nil
	}
}

// change begins the next epoch with some of the replicas, or with all, without the others' hearing of it. The head is one that was in
// the chain and has its epoch's state: it stops there, so that nothing is committed in that epoch any more.
func (w *chainModel) changeView(all bool) *replica {
	var candidates []*replica
	for _, r := range w.replicas {
		if r.epoch == w.epoch && r.active {
			candidates = append(candidates, r)
		}
	}
	head := candidates[w.rng.IntN(len(candidates))]
	members := []*replica{head}
	for _, i := range w.rng.Perm(len(w.replicas)) {
		if r := w.replicas[i]; r != head && (all || len(members) < 2 || w.rng.IntN(2) == 0) {
			members = append(members, r)
		}
	}
	w.beginEpoch(members)
	w.logf("epoch %d: head %s of %d", w.epoch, head.name, len(members))
	return head
}

// pass sends what the successor lacks, or a part of it.
func (w *chainModel) replicate(a, b *replica) {
	if a.epoch != b.epoch || !a.active {
		return
	}
	if !b.active { // the whole state; what b had beyond it was never committed
		b.entries, b.lastIndex, b.commitIndex, b.active = a.entries, a.lastIndex, min(a.lastIndex, max(a.commitIndex, b.commitIndex)), true
	} else if i := slices.IndexFunc(a.entries, func(e chain.Entry) bool { return e.Index > b.lastIndex }); i >= 0 {
		more := a.entries[i:]
		if len(more) > 1 && w.rng.IntN(4) == 0 {
			more = more[:1+w.rng.IntN(len(more)-1)]
			w.partialUpdate = true
		}
		b.entries = append(slices.Clip(b.entries), more...)
		b.lastIndex = more[len(more)-1].Index
	}
	if b.tail() {
		for _, e := range b.entries {
			if e.Index > w.committedIndex {
				w.committedIndex = e.Index
				w.onCommit(e)
			}
		}
		b.advanceCommit(b.lastIndex)
	}
	a.advanceCommit(min(b.commitIndex, a.lastIndex))
}

func (w *chainModel) step() {
	w.now += worldStep
	w.partialUpdate = false
	due := w.scheduled
	w.scheduled = nil
	var later []event
	for _, e := range due {
		if e.due <= w.now {
			e.run()
		} else {
			later = append(later, e)
		}
	}
	w.scheduled = append(later, w.scheduled...)
	for _, r := range w.replicas {
		if r.head() {
			w.onHeadStep(r)
		}
		if i := slices.Index(r.chain, r); i+1 < len(r.chain) && w.rng.IntN(3) > 0 {
			w.replicate(r, r.chain[i+1])
		}
	}
	for _, r := range w.replicas {
		waits := r.pending
		r.pending = nil
		for _, one := range waits {
			switch {
			case one.dependsOn <= r.commitIndex && (one.confirmedAt == 0 || one.confirmedAt <= w.now && w.epochConfirmed(r)):
				one.reply(true)
			case w.now >= one.deadline:
				one.reply(false)
			default:
				r.pending = append(r.pending, one)
			}
		}
	}
}
