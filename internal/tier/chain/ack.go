package chain

// Ack is what a member tells its predecessor once its state is on disk, and a learner the tail.
type Ack struct {
	Epoch           int64
	LastIndex       int64
	Commit          int64
	CommitIsCurrent bool
	Active          bool
	Received        Position // of the stream of updates
}

// CurrentAck is the present ack of this member, whoever wants it.
func (c *Chain) CurrentAck() Ack {
	return Ack{Epoch: c.view.Epoch, LastIndex: c.state.LastIndex, Commit: c.state.Commit, CommitIsCurrent: c.CommitIsCurrent(), Active: c.IsActive(), Received: c.receiver.position()}
}

// PredecessorAck of this member for its predecessor.
func (c *Chain) PredecessorAck() (to string, a Ack, ok bool) {
	to = c.view.Predecessor(c.self)
	return to, c.CurrentAck(), to != ""
}

// HandleAck takes the successor's ack, said in one of its lives. It tells whether more was committed.
func (c *Chain) HandleAck(from string, incarnation int64, ack Ack) (advanced bool) {
	if ack.Epoch != c.view.Epoch || c.view.Successor(c.self) != from || c.IsActive() && ack.Active && ack.LastIndex > c.state.LastIndex {
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
