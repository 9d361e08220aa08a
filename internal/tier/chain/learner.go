package chain

// HandleLearnerUpdate handles an update from the tail at a learner. It reports whether the state was changed, and so must be on
// disk before the acknowledgement is sent.
//
// An update that was sent at a lower commit index than one received before is rejected. If it ended a transfer whose beginning was
// sent later, the transfer might have no entry of a key that was written again in between: the beginning lacks the old entry, which
// was compacted away by then, and the end lacks the new entry. The commit index of tails never decreases, so no newer update is
// rejected for this reason.
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

// HandleLearnerAck handles an acknowledgement from a member outside the chain, sent in the given incarnation of its process. A
// tail whose commit index is current then updates that learner; other members ignore it.
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
		return
	}
	if stream.base != ack.Commit { // the learner has applied the last transfer: the next one builds on it
		*stream = sendStream{}
	}
	stream.handleAck(incarnation, ack, ack.Commit)
}

// RemoveLearner ends the stream to a learner.
func (c *Chain) RemoveLearner(id string) { delete(c.learners, id) }

// LearnerIsBehind reports whether a known learner lacks committed entries.
func (c *Chain) LearnerIsBehind(id string) bool {
	stream := c.learners[id]
	return stream != nil && stream.positionKnown && stream.completeThrough < c.state.Commit
}

// NextLearnerUpdate returns the next update for a learner. It returns false if the learner has all committed entries, if the
// window is full, or if this member does not update it.
func (c *Chain) NextLearnerUpdate(id string) (u Update, ok bool) {
	stream := c.learners[id]
	if stream == nil || !c.CommitIsCurrent() || c.view.Tail() != c.self {
		return Update{}, false
	}
	u, ok = stream.nextUpdate(c.state.Entries, c.state.Commit)
	u.Epoch, u.Commit = c.view.Epoch, c.state.Commit
	return u, ok
}
