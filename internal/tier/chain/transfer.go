package chain

// Resend makes NextUpdate and NextLearnerUpdate return unacknowledged data again, for streams that have made no progress. The
// interval doubles with each retransmission, up to maxBackoff calls.
func (c *Chain) Resend() {
	c.successor.resend()
	for _, stream := range c.learners {
		stream.resend()
	}
}

// Transfer is the progress of the stream to a member that lacks entries.
type Transfer struct {
	ID           string // view.Member.ID
	LastIndex    int64  // all entries up to it have been received
	Target       int64  // index that the member has to reach
	PartialBytes int64  // bytes received of the entry after LastIndex
}

// Transfers returns the streams to members that lack entries.
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

func (s *sendStream) transfer(id string, target int64) Transfer {
	return Transfer{ID: id, LastIndex: s.acknowledged.LastIndex, Target: target, PartialBytes: s.acknowledged.PartialBytes}
}
