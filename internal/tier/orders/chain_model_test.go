package orders

import (
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/internal/tier/chain"
)

const (
	simulationStep  = 10 * time.Millisecond
	callTimeout     = 900 * time.Millisecond // pending replies are dropped after this time
	readConfirmTime = 20 * time.Millisecond  // time until the epoch is confirmed for a read
)

// replica is a member of the simulated replication chain.
type replica struct {
	name        string
	epoch       int64
	chain       []*replica // the members of its epoch, head first
	entries     []chain.Entry
	lastIndex   int64
	commitIndex int64
	active      bool // in this epoch it is the head, or has received its predecessor's complete state
	pending     []pendingReply
}

// pendingReply is a reply with a decision that may not be reported yet.
type pendingReply struct {
	dependsOn   int64         // index that must be committed first
	confirmedAt time.Duration // when the epoch's confirmation ends; 0 if none is needed
	deadline    time.Duration // the operator gets no answer after this time
	reply       func(ok bool) // ok is false if the outcome is unknown
}

func (r *replica) isHead() bool { return r.active && r.chain[0] == r }
func (r *replica) isTail() bool { return r.active && r.chain[len(r.chain)-1] == r }

func (r *replica) append(w Write) {
	r.lastIndex++
	r.entries = append(slices.Clip(r.entries), chain.Entry{Index: r.lastIndex, Key: w.Key, Value: w.Value})
}

// committed returns the committed entries.
func (r *replica) committed() []chain.Entry {
	for i, e := range r.entries {
		if e.Index > r.commitIndex {
			return r.entries[:i]
		}
	}
	return r.entries
}

// advanceCommit raises the commit index and compacts the committed entries to the last one of each key.
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

// chainModel simulates, in virtual time, a replication chain with only the guarantees that the control plane gives. An
// entry is committed once every member of its epoch's chain has it. The next epoch starts with the state of one active
// member, so uncommitted entries may be kept or lost. A member that is not informed of the next epoch stays in the old
// one and commits nothing there.
type chainModel struct {
	rng            *rand.Rand
	now            time.Duration
	epoch          int64
	replicas       []*replica
	scheduled      []event
	committedIndex int64                 // all entries up to it are committed
	onCommit       func(chain.Entry)     // called for each committed entry, in order of index
	partialUpdate  bool                  // an update in this step was cut off between two entries
	onHeadStep     func(r *replica)      // called for each head in each step
	logf           func(string, ...any)  // adds a line to the simulation's event log
	epochConfirmed func(r *replica) bool // reports whether a majority would confirm the replica's epoch
}

// event is a function that runs when it is due.
type event struct {
	due time.Duration
	run func()
}

func newChainModel(rng *rand.Rand, n int, start []chain.Entry) *chainModel {
	m := &chainModel{rng: rng, onCommit: func(chain.Entry) {}, onHeadStep: func(*replica) {}}
	m.epochConfirmed = func(r *replica) bool { return r.epoch == m.epoch && r.active }
	for i := range n {
		r := &replica{name: string(rune('A' + i)), entries: start}
		if len(start) > 0 {
			r.lastIndex = start[len(start)-1].Index
			r.commitIndex = r.lastIndex
		}
		m.replicas = append(m.replicas, r)
	}
	m.committedIndex = m.replicas[0].lastIndex
	m.beginEpoch(slices.Clone(m.replicas))
	return m
}

func (m *chainModel) schedule(d time.Duration, run func()) {
	m.scheduled = append(m.scheduled, event{m.now + d, run})
}

// beginEpoch starts an epoch with a chain. The head keeps its state, and all pending replies of the members fail.
func (m *chainModel) beginEpoch(members []*replica) {
	m.epoch++
	for i, r := range members {
		r.epoch, r.chain, r.active = m.epoch, members, i == 0
		for _, reply := range r.pending {
			reply.reply(false)
		}
		r.pending = nil
	}
}

// changeView starts the next epoch with all or some of the replicas; the others are not informed. The new head is an
// active member of the current epoch: once it has left that epoch, nothing more is committed there.
func (m *chainModel) changeView(all bool) *replica {
	var candidates []*replica
	for _, r := range m.replicas {
		if r.epoch == m.epoch && r.active {
			candidates = append(candidates, r)
		}
	}
	head := candidates[m.rng.IntN(len(candidates))]
	members := []*replica{head}
	for _, i := range m.rng.Perm(len(m.replicas)) {
		if r := m.replicas[i]; r != head && (all || len(members) < 2 || m.rng.IntN(2) == 0) {
			members = append(members, r)
		}
	}
	m.beginEpoch(members)
	m.logf("epoch %d: head %s of %d", m.epoch, head.name, len(members))
	return head
}

// replicate sends a successor the entries that it lacks, or sometimes only a prefix of them.
func (m *chainModel) replicate(from, to *replica) {
	if from.epoch != to.epoch || !from.active {
		return
	}
	if !to.active { // transfers the complete state; further entries of the successor were never committed
		to.entries, to.lastIndex, to.active = from.entries, from.lastIndex, true
		to.commitIndex = min(from.lastIndex, max(from.commitIndex, to.commitIndex))
	} else if i := slices.IndexFunc(from.entries, func(e chain.Entry) bool { return e.Index > to.lastIndex }); i >= 0 {
		more := from.entries[i:]
		if len(more) > 1 && m.rng.IntN(4) == 0 {
			more = more[:1+m.rng.IntN(len(more)-1)]
			m.partialUpdate = true
		}
		to.entries = append(slices.Clip(to.entries), more...)
		to.lastIndex = more[len(more)-1].Index
	}
	if to.isTail() {
		for _, e := range to.entries {
			if e.Index > m.committedIndex {
				m.committedIndex = e.Index
				m.onCommit(e)
			}
		}
		to.advanceCommit(to.lastIndex)
	}
	from.advanceCommit(min(to.commitIndex, from.lastIndex))
}

// step advances the time by one step: it runs due events and heads, sends an update on each link, and sends replies.
func (m *chainModel) step() {
	m.now += simulationStep
	m.partialUpdate = false
	due := m.scheduled
	m.scheduled = nil
	var later []event
	for _, e := range due {
		if e.due <= m.now {
			e.run()
		} else {
			later = append(later, e)
		}
	}
	m.scheduled = append(later, m.scheduled...)
	for _, r := range m.replicas {
		if r.isHead() {
			m.onHeadStep(r)
		}
		if i := slices.Index(r.chain, r); i+1 < len(r.chain) && m.rng.IntN(3) > 0 {
			m.replicate(r, r.chain[i+1])
		}
	}
	for _, r := range m.replicas {
		pending := r.pending
		r.pending = nil
		for _, reply := range pending {
			switch {
			case reply.dependsOn <= r.commitIndex && (reply.confirmedAt == 0 || reply.confirmedAt <= m.now && m.epochConfirmed(r)):
				reply.reply(true)
			case m.now >= reply.deadline:
				reply.reply(false)
			default:
				r.pending = append(r.pending, reply)
			}
		}
	}
}
