package chain

// HandleLearnerUpdate takes an update of the tail outside the chain. What it changed must be on disk before it is told of.
//
// An update that was made before one that has come is refused: what was compacted away in between is neither in the
// beginning, which is newer, nor in the end, which is older. What tails have committed never goes back, so that no newer
// update is refused by this.
func (c *Chain) HandleLearnerUpdate(update Update) (changed bool) {
	if !c.IsLearner() || update.Base != c.state.Commit || update.Commit < c.receiver.senderCommit {
		return false
	}
	c.receiver.senderCommit = update.Commit
	if !c.receiver.handleUpdate(update) {
		return false
	}
	if !update.Complete || update.Through <= c.state.Commit || c.receiver.partial != nil {
		return false
	}
	c.replaceUncommitted(update.Through)
	c.commit(update.Through)
	c.resetReceiver()
	return true
}

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
