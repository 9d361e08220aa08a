package view

// Ballot is a proposal number. Ballots order the proposals of one epoch; the proposer's identity makes them unique.
type Ballot struct {
	Number   int64
	Proposer string // Member.ID
}

// Less reports whether b is ordered before o.
func (b Ballot) Less(o Ballot) bool {
	return b.Number < o.Number || b.Number == o.Number && b.Proposer < o.Proposer
}

// IsZero reports whether b is the zero value, which stands for no ballot and is lower than all others.
func (b Ballot) IsZero() bool { return b.Number == 0 }

// Acceptor is the durable state of a voter: the newest decided view that it knows, and its votes on the view of the next
// epoch. The caller syncs each change to disk before it responds to the request that made it.
type Acceptor struct {
	View           View
	Promised       Ballot // highest ballot promised or accepted for epoch View.Epoch+1; never decreases within an epoch
	AcceptedBallot Ballot // ballot under which Accepted was accepted
	Accepted       View   // of epoch View.Epoch+1; its Epoch is 0 if none was accepted
}

// HasPromised reports whether the voter has promised or accepted a ballot for the epoch after its view. From then on it must
// not store entries of its view's epoch, nor confirm reads in it.
func (a *Acceptor) HasPromised() bool { return !a.Promised.IsZero() }

// Prepare handles a prepare request (phase 1). It reports whether the acceptor promises to accept nothing below the ballot;
// it does so again for the ballot that it promised last. The response must carry Accepted and AcceptedBallot.
func (a *Acceptor) Prepare(epoch int64, b Ballot) bool {
	if epoch != a.View.Epoch+1 || b.Less(a.Promised) {
		return false
	}
	a.Promised = b
	return true
}

// Accept handles an accept request (phase 2). It reports whether the view was accepted, which it is unless a higher ballot
// was promised.
func (a *Acceptor) Accept(b Ballot, v View) bool {
	if v.Epoch != a.View.Epoch+1 || b.Less(a.Promised) {
		return false
	}
	a.Promised, a.AcceptedBallot, a.Accepted = b, b, v
	return true
}

// Adopt makes a decided view the current one and discards the votes of earlier epochs. It reports whether the view was newer.
func (a *Acceptor) Adopt(v View) bool {
	if v.Epoch <= a.View.Epoch {
		return false
	}
	*a = Acceptor{View: v}
	return true
}

// Promise is a voter's promise in response to a prepare request.
type Promise struct {
	From           Member
	AcceptedBallot Ballot
	Accepted       View
	ActivatedEpoch int64 // last epoch in which the voter had the complete state of its chain (chain.State.ActivatedEpoch)
}
