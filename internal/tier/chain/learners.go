package chain

// HandleLearnerAck takes what a member outside the chain tells of itself, said in one of its lives: a tail sends it what it lacks.
func (c *Chain) HandleLearnerAck(from string, life int64, a Ack) {
	if !c.CommitIsCurrent() || c.view.Tail() != c.self || c.view.Position(from) >= 0 {
		return
	}
	o := c.learners[from]
	if o == nil {
		o = new(outgoing)
		c.learners[from] = o
	}
	if o.known && life < o.life {
		return // said in an earlier life
	}
	if o.base != a.Commit { // it has taken in what it was sent: the next transfer builds on that
		*o = outgoing{}
	}
	o.acked(life, a, a.Commit)
}

// RemoveLearner ends what is kept for a learner.
func (c *Chain) RemoveLearner(id string) { delete(c.learners, id) }

// LearnerIsBehind tells whether a learner lacks something that is committed.
func (c *Chain) LearnerIsBehind(id string) bool {
	o := c.learners[id]
	return o != nil && o.known && o.complete < c.state.Commit
}

// NextLearnerUpdate is the next part of what a learner lacks of what is committed.
func (c *Chain) NextLearnerUpdate(id string) (u Update, some bool) {
	o := c.learners[id]
	if o == nil || !c.CommitIsCurrent() || c.view.Tail() != c.self {
		return Update{}, false
	}
	u, some = o.next(c.state.Entries, c.state.Commit)
	u.Epoch, u.Commit = c.view.Epoch, c.state.Commit
	return u, some
}

// Resend has all that was sent and not answered since the last call sent again.
func (c *Chain) Resend() {
	c.successor.resend()
	for _, o := range c.learners {
		o.resend()
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
func (c *Chain) Transfers() (all []Transfer) {
	if to := c.view.Successor(c.self); c.IsActive() && to != "" && c.successor.complete < c.state.LastIndex {
		all = append(all, c.successor.transfer(to, c.state.LastIndex))
	}
	for id, o := range c.learners {
		if o.complete < c.state.Commit {
			all = append(all, o.transfer(id, c.state.Commit))
		}
	}
	return all
}

func (o *outgoing) transfer(id string, target int64) Transfer {
	return Transfer{ID: id, LastIndex: o.told.LastIndex, Target: target, PartialBytes: o.told.PartialBytes}
}
