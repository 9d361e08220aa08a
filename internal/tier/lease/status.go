package lease

import "time"

// Cause is why a node has no grant.
type Cause int

// The causes. Of several that hold at once a Status has the first one, in this order.
const (
	NoCause      Cause = iota // the node has a grant
	NotHead                   // another node is the head, or none is known
	TokenRefused              // the platform has refused the token of this epoch
	NotActive                 // the head has promised to the next epoch, is not complete, or is about to stop
	NotConfirmed              // no majority has confirmed the head for a term
	JustStarted               // the node does not know what it did before its start
	EarlierGrant              // the grant of the head before may not be over
	LeaseLost                 // the node lost the lease a short while ago
)

// Status is the state of a lease, for operators.
type Status struct {
	Epoch     int64
	Held      bool
	Remaining time.Duration // until the grant ends, unless it is renewed; 0 without one
	Wait      time.Duration // what the head still waits before it may act; see RemainingWait
	Cause     Cause
}

// Status returns the state of the lease at a time.
func (l *Lease) Status(now time.Duration) Status {
	status := Status{Epoch: l.epoch, Wait: l.RemainingWait(now), Cause: l.cause(now)}
	if grant, ok := l.Grant(now); ok {
		status.Held, status.Remaining = true, grant.Until-now
	}
	return status
}

// cause returns why there is no grant at a time.
func (l *Lease) cause(now time.Duration) Cause {
	switch {
	case l.tenure == nil:
		return NotHead
	case l.refusedEpoch >= l.epoch:
		return TokenRefused
	case !l.active:
		return NotActive
	case now >= l.until:
		return NotConfirmed
	case now < l.mayActFrom():
		return l.waitCause()
	}
	return NoCause
}

// waitCause returns what a head waits for that is active and confirmed: that which ends last.
func (l *Lease) waitCause() Cause {
	switch from := l.mayActFrom(); {
	case from == l.startedAt+l.params.TakeoverWait():
		return JustStarted
	case l.hadEarlierTenure && from == l.lostAt+l.params.TakeoverWait():
		return LeaseLost
	}
	return EarlierGrant
}
