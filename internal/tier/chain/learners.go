package chain

// HandleLearnerAck takes what a member outside the chain tells of itself, said in one of its lives: a tail sends it what it lacks.
func (c *Chain) HandleLearnerAck(from string, incarnation int64, ack Ack) {
	if !c.CommitIsCurrent() || c.view.Tail() != c.self || c.view.Position(from) >= 0 {
		return
	}
	stream := c.learners[from]
	if stream == nil {
		stream = new(sendStream)
		c.learners[from] = stream
	}
	if stream.positionKnown && incarnation < stream.incarnation {
		return // said in an earlier life
	}
	if stream.base != ack.Commit { // it has taken in what it was sent: the next transfer builds on that
		*stream = sendStream{}
	}
	stream.handleAck(incarnation, ack, ack.Commit)
}

// RemoveLearner ends what is kept for a learner.
func (c *Chain) RemoveLearner(id string) { delete(c.learners, id) }

// LearnerIsBehind tells whether a learner lacks something that is committed.
func (c *Chain) LearnerIsBehind(id string) bool {
	stream := c.learners[id]
	return stream != nil && stream.positionKnown && stream.completeThrough < c.state.Commit
}

// NextLearnerUpdate is the next part of what a learner lacks of what is committed.
func (c *Chain) NextLearnerUpdate(id string) (u Update, ok bool) {
	stream := c.learners[id]
	if stream == nil || !c.CommitIsCurrent() || c.view.Tail() != c.self {
		return Update{}, false
	}
	u, ok = stream.nextUpdate(c.state.Entries, c.state.Commit)
	u.Epoch, u.Commit = c.view.Epoch, c.state.Commit
	return u, ok
}

// Resend has all that was sent and not answered since the last call sent again.
func (c *Chain) Resend() {
	c.successor.resend()
	for _, stream := range c.learners {
		stream.resend()
	}
}

// Transfer is how far a member has been brought.
type Transfer struct {
	ID           string
	LastIndex    int64 // all up to it has come
	Target       int64
	PartialBytes int64 // of the entry that is under way
}

// Transfers are those to members that lack something.
func (c *Chain) Transfers() (transfers []Transfer) {
	if successor := c.view.Successor(c.self); c.IsActive() && successor != "" && c.successor.completeThrough < c.state.LastIndex {
		transfers = append(transfers, c.successor.transfer(successor, c.state.LastIndex))
	}
	for id, stream := range c.learners {
		if stream.completeThrough < c.state.Commit {
			transfers = append(transfers, stream.transfer(id, c.state.Commit))
		}
	}
	return transfers
}

func (o *sendStream) transfer(id string, target int64) Transfer {
	return Transfer{ID: id, LastIndex: o.acknowledged.LastIndex, Target: target, PartialBytes: o.acknowledged.PartialBytes}
}
