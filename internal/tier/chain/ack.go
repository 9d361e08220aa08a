package chain

// Ack is an acknowledgement: a member reports its durable state to its predecessor, or a learner to the tail.
type Ack struct {
	Epoch           int64
	LastIndex       int64
	Commit          int64
	CommitIsCurrent bool
	Active          bool
	Received        Position // in the stream of updates; not durable until it is applied to the state
}

// CurrentAck returns this member's acknowledgement. The state must be on disk before it is sent.
func (c *Chain) CurrentAck() Ack {
	return Ack{Epoch: c.view.Epoch, LastIndex: c.state.LastIndex, Commit: c.state.Commit, CommitIsCurrent: c.CommitIsCurrent(),
		Active: c.IsActive(), Received: c.receiver.position()}
}

// PredecessorAck returns this member's acknowledgement and the predecessor to send it to; ok is false if there is none.
func (c *Chain) PredecessorAck() (to string, a Ack, ok bool) {
	to = c.view.Predecessor(c.self)
	return to, c.CurrentAck(), to != ""
}

// HandleAck handles an acknowledgement from the successor, sent in the given incarnation of its process. It reports whether the
// commit index advanced or became current.
func (c *Chain) HandleAck(from string, incarnation int64, ack Ack) (advanced bool) {
	if ack.Epoch != c.view.Epoch || c.view.Successor(c.self) != from ||
		c.IsActive() && ack.Active && ack.LastIndex > c.state.LastIndex {
		return false
	}
	completeThrough := int64(-1)
	if ack.Active {
		completeThrough = ack.LastIndex
	}
	c.successor.handleAck(incarnation, ack, completeThrough)
	if !ack.Active || !c.IsActive() {
		return false
	}
	before := c.state.Commit
	c.commit(min(ack.Commit, c.state.LastIndex))
	if ack.CommitIsCurrent && !c.commitCurrent {
		c.commitCurrent = true
		return true
	}
	return c.state.Commit > before
}
