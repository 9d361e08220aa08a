package view

// Ballot orders the proposals of one epoch.
type Ballot struct {
	Number   int64
	Proposer string
}

// Less tells whether b comes before o.
func (b Ballot) Less(o Ballot) bool {
	return b.Number < o.Number || b.Number == o.Number && b.Proposer < o.Proposer
}

// IsZero tells whether no ballot was made.
func (b Ballot) IsZero() bool { return b.Number == 0 }

// Acceptor is what a voter keeps on disk: the newest decided view that it knows, and its vote on the next. Whoever changes
// it syncs it before anything is answered.
type Acceptor struct {
	View       View
	Promised   Ballot // for epoch View.Epoch+1
	AcceptedAt Ballot
	Accepted   View // Epoch 0 for none
}

// HasPromised tells whether this voter has promised for the epoch after its view: it then takes no entries of its view's
// epoch and confirms no reads of it any more.
func (a *Acceptor) HasPromised() bool { return !a.Promised.IsZero() }

// Prepare promises to a ballot for an epoch, or tells that it does not.
func (a *Acceptor) Prepare(epoch int64, b Ballot) bool {
	if epoch != a.View.Epoch+1 || b.Less(a.Promised) {
		return false
	}
	a.Promised = b
	return true
}

// Accept votes for a view, unless a higher ballot was promised.
func (a *Acceptor) Accept(b Ballot, v View) bool {
	if v.Epoch != a.View.Epoch+1 || b.Less(a.Promised) {
		return false
	}
	a.Promised, a.AcceptedAt, a.Accepted = b, b, v
	return true
}

// Adopt takes a decided view, if it is newer.
func (a *Acceptor) Adopt(v View) bool {
	if v.Epoch <= a.View.Epoch {
		return false
	}
	*a = Acceptor{View: v}
	return true
}

// Promise is what a voter tells with its promise.
type Promise struct {
	From           Member
	AcceptedAt     Ballot
	Accepted       View
	ActivatedEpoch int64 // last epoch in which it had the whole state of its chain
}
