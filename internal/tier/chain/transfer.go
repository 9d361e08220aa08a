package chain

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
