package chain

import (
	"slices"

	"larchrouter/internal/tier/view"
)

// Entry is one change of the state, identified by its index.
type Entry struct {
	Index int64 // starts at 1, without gaps
	Key   string
	Value []byte // empty: the key is deleted
}

// State is the durable state of a member.
type State struct {
	// ActivatedEpoch is the last epoch in which the member had its predecessor's complete state, or was the head.
	ActivatedEpoch int64
	LastIndex      int64 // index of the last entry, even if that was compacted away
	Commit         int64 // all entries up to it are committed; at most LastIndex; never decreases
	// Entries are in order of their indexes: the last committed one of each key, and all after Commit.
	Entries []Entry
}

// Chain is one member's part of the chain in the current view.
type Chain struct {
	self          string // view.Member.ID
	view          view.View
	state         State
	commitCurrent bool                   // see CommitIsCurrent
	successor     sendStream             // to the successor
	learners      map[string]*sendStream // at the tail: to members outside the chain
	receiver      receiveStream          // from the predecessor, or at a learner from the tail
}

// New returns a member's part with the state on its disk, without a view.
func New(self string, s State) *Chain {
	c := &Chain{self: self, state: s, learners: map[string]*sendStream{}}
	c.resetReceiver()
	return c
}

// State returns the state that must be kept on disk. Entries are not modified in place: a copy of the State remains valid.
func (c *Chain) State() *State { return &c.state }

// Adopt makes a decided view the current one. It reports whether the state was changed, and so must be on disk before anything is
// sent.
func (c *Chain) Adopt(v view.View) (changed bool) {
	staysLearner := c.view.Epoch > 0 && c.IsLearner() && v.Position(c.self) < 0
	c.view, c.commitCurrent = v, false
	c.successor = sendStream{}
	c.learners = map[string]*sendStream{}
	if !staysLearner { // what a learner has received is committed, regardless of which member is the tail
		c.resetReceiver()
	}
	if v.Position(c.self) != 0 || c.state.ActivatedEpoch >= v.Epoch {
		c.commitAtTail() // this may be a restarted tail
		return false
	}
	if c.state.ActivatedEpoch < v.Chain[0].JoinedEpoch {
		return false // this member lacks the complete state: the view is invalid, and the member stays inactive in it
	}
	c.state.ActivatedEpoch = v.Epoch
	c.resetReceiver()
	c.commitAtTail()
	return true
}

// resetReceiver begins a new stream after the entries that the member will certainly keep: all entries if it is active, else the
// committed ones.
func (c *Chain) resetReceiver() {
	if c.IsActive() {
		c.receiver = receiveStream{lastIndex: c.state.LastIndex}
		return
	}
	c.receiver = receiveStream{lastIndex: c.state.Commit}
}

// IsActive reports whether this member is in the chain of its view and has been activated in it.
func (c *Chain) IsActive() bool {
	return c.view.Epoch > 0 && c.view.Position(c.self) >= 0 && c.state.ActivatedEpoch == c.view.Epoch
}

// IsLearner reports whether this member is outside the chain of its view.
func (c *Chain) IsLearner() bool { return c.view.Position(c.self) < 0 }

// CommitIsCurrent reports whether the commit index is at least as high as the tail's was at some time in this epoch and
// incarnation. The commit index on disk may be older and lack acknowledged writes; it is current once an acknowledgement has
// delivered the tail's.
func (c *Chain) CommitIsCurrent() bool { return c.IsActive() && c.commitCurrent }

// commitAtTail commits all entries if this member is the active tail, because every member of the chain then has them on disk.
func (c *Chain) commitAtTail() {
	if c.IsActive() && c.view.Tail() == c.self {
		c.commitCurrent = true
		c.commit(c.state.LastIndex)
	}
}

// Append adds an entry at the head. It returns false if this member is not the active head.
func (c *Chain) Append(key string, value []byte) (Entry, bool) {
	if !c.IsActive() || c.view.Head() != c.self {
		return Entry{}, false
	}
	entry := Entry{Index: c.state.LastIndex + 1, Key: key, Value: value}
	c.state.Entries = append(slices.Clip(c.state.Entries), entry)
	c.state.LastIndex = entry.Index
	return entry, true
}

// MarkDurable records that the current state is on disk.
func (c *Chain) MarkDurable() { c.commitAtTail() }

// NextUpdate returns the next update for the successor. It returns false if the successor has all entries, if the window is
// full, or if the successor's position is not known yet.
func (c *Chain) NextUpdate() (to string, u Update, ok bool) {
	to = c.view.Successor(c.self)
	if !c.IsActive() || to == "" {
		return to, Update{}, false
	}
	u, ok = c.successor.nextUpdate(c.state.Entries, c.state.LastIndex)
	u.Epoch, u.Commit = c.view.Epoch, c.state.Commit
	return to, u, ok
}

// HandleUpdate handles an update from the predecessor. ok is false if the update is of another sender or epoch, which needs no
// acknowledgement. If changed is true, the state must be on disk before the acknowledgement is sent.
func (c *Chain) HandleUpdate(from string, update Update) (changed, ok bool) {
	if update.Epoch != c.view.Epoch || c.view.Position(c.self) <= 0 || c.view.Predecessor(c.self) != from {
		return false, false
	}
	if c.IsActive() {
		return c.appendReceived(update), true
	}
	if update.Base != c.state.Commit || !c.receiver.handleUpdate(update) {
		return false, true // the sender continues at the acknowledged position
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

// appendReceived handles an update at an active member: it appends the complete entries.
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

// replaceUncommitted replaces all entries after the commit index by those of a complete transfer.
func (c *Chain) replaceUncommitted(through int64) {
	kept := slices.DeleteFunc(slices.Clone(c.state.Entries), func(e Entry) bool { return e.Index > c.state.Commit })
	c.state.Entries = append(kept, c.receiver.entries...)
	c.state.LastIndex = through
}
