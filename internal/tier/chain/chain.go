// Package chain is chain replication of a small key-value state: entries enter at the head, each member has them on disk
// before it passes them on, the tail commits. Members outside the chain learn from the tail what is committed, and join
// once they have caught up. Pure: what has to be on disk and what has to be sent comes back as values.
package chain

import (
	"slices"

	"larchrouter/internal/tier/view"
)

// Entry is one numbered change of the state.
type Entry struct {
	Index int64
	Key   string
	Value []byte // empty deletes
}

// State is what a member keeps on disk.
type State struct {
	ActivatedEpoch int64   // the last epoch in which it had the whole state of its predecessor, or was head
	LastIndex      int64   // of the last entry
	Commit         int64   // entries up to here are committed for sure
	Entries        []Entry // by index: the last of each key among the committed, and all others
}

// Chain is one member's part.
type Chain struct {
	self          string
	view          view.View
	state         State
	commitCurrent bool // Commit is all that was committed when the tail was heard of last, in this life and epoch
	successor     sendStream
	learners      map[string]*sendStream // of a tail: members outside the chain
	receiver      receiveStream          // from the predecessor, or from the tail to a learner
}

// New makes a member's part from what its disk has.
func New(self string, s State) *Chain {
	c := &Chain{self: self, state: s, learners: map[string]*sendStream{}}
	c.resetReceiver()
	return c
}

// State is what is to be kept. The entries are shared: they are never changed in place.
func (c *Chain) State() *State { return &c.state }

// Adopt begins with a view. It tells whether the state was changed and must be on disk before anything is sent.
func (c *Chain) Adopt(v view.View) (changed bool) {
	staysLearner := c.view.Epoch > 0 && c.IsLearner() && v.Position(c.self) < 0
	c.view, c.commitCurrent = v, false
	c.successor = sendStream{}
	c.learners = map[string]*sendStream{}
	if !staysLearner { // what a learner was sent is committed, whoever is the tail
		c.resetReceiver()
	}
	if v.Position(c.self) != 0 || c.state.ActivatedEpoch >= v.Epoch {
		c.commitAtTail() // a tail that has started again
		return false
	}
	if c.state.ActivatedEpoch < v.Chain[0].JoinedEpoch {
		return false // not a holder: the view was not made by the rules, and this member takes no part
	}
	c.state.ActivatedEpoch = v.Epoch
	c.resetReceiver()
	c.commitAtTail()
	return true
}

// resetReceiver begins a stream anew, from what is in the state.
func (c *Chain) resetReceiver() {
	if c.IsActive() {
		c.receiver = receiveStream{lastIndex: c.state.LastIndex}
		return
	}
	c.receiver = receiveStream{lastIndex: c.state.Commit}
}

// IsActive tells whether this member takes part in the chain of its view.
func (c *Chain) IsActive() bool {
	return c.view.Epoch > 0 && c.view.Position(c.self) >= 0 && c.state.ActivatedEpoch == c.view.Epoch
}

// IsLearner tells whether this member has no place in the chain of its view.
func (c *Chain) IsLearner() bool { return c.view.Position(c.self) < 0 }

// CommitIsCurrent tells whether this member has everything committed that was acknowledged: what it kept on disk of Commit may be
// old, until its successor has told what the tail has.
func (c *Chain) CommitIsCurrent() bool { return c.IsActive() && c.commitCurrent }

// commitAtTail commits what is on disk where there is nobody behind.
func (c *Chain) commitAtTail() {
	if c.IsActive() && c.view.Tail() == c.self {
		c.commitCurrent = true
		c.commit(c.state.LastIndex)
	}
}

// Append takes one entry at the head. It has to be on disk before Next is sent.
func (c *Chain) Append(key string, value []byte) (Entry, bool) {
	if !c.IsActive() || c.view.Head() != c.self {
		return Entry{}, false
	}
	entry := Entry{Index: c.state.LastIndex + 1, Key: key, Value: value}
	c.state.Entries = append(slices.Clip(c.state.Entries), entry)
	c.state.LastIndex = entry.Index
	return entry, true
}

// MarkDurable says that all that the state has is on disk.
func (c *Chain) MarkDurable() { c.commitAtTail() }

// NextUpdate is the next part of what the successor lacks; none where it has all, or as much is under way as may be.
func (c *Chain) NextUpdate() (to string, u Update, ok bool) {
	to = c.view.Successor(c.self)
	if !c.IsActive() || to == "" {
		return to, Update{}, false
	}
	u, ok = c.successor.nextUpdate(c.state.Entries, c.state.LastIndex)
	u.Epoch, u.Commit = c.view.Epoch, c.state.Commit
	return to, u, ok
}

// HandleUpdate takes an update of the predecessor. What it changed must be on disk before Ack is sent.
func (c *Chain) HandleUpdate(from string, update Update) (changed, ok bool) {
	if update.Epoch != c.view.Epoch || c.view.Position(c.self) <= 0 || c.view.Predecessor(c.self) != from {
		return false, false
	}
	if c.IsActive() {
		return c.appendReceived(update), true
	}
	if update.Base != c.state.Commit || !c.receiver.handleUpdate(update) {
		return false, true // its answer tells from where on
	}
	if !update.Complete || c.receiver.partial != nil {
		return false, true
	}
	c.replaceUncommitted(update.Through)
	c.state.ActivatedEpoch = c.view.Epoch
	c.commit(min(update.Commit, c.state.LastIndex))
	c.resetReceiver()
	return true, true
}

// appendReceived takes whole entries of the stream in, as far as they have come.
func (c *Chain) appendReceived(update Update) (changed bool) {
	if !c.receiver.handleUpdate(update) {
		return false
	}
	if added := c.receiver.entries; len(added) > 0 {
		c.state.Entries = append(slices.Clip(c.state.Entries), added...)
		c.state.LastIndex = added[len(added)-1].Index
		c.receiver.entries = nil
		changed = true
	}
	c.commit(min(update.Commit, c.state.LastIndex))
	return changed
}

// replaceUncommitted puts what has come in the place of all that this member did not know to be committed.
func (c *Chain) replaceUncommitted(through int64) {
	kept := slices.DeleteFunc(slices.Clone(c.state.Entries), func(e Entry) bool { return e.Index > c.state.Commit })
	c.state.Entries = append(kept, c.receiver.entries...)
	c.state.LastIndex = through
}
