package lease

import "time"

// Cause is the reason why a node has no grant.
type Cause int

// The causes. If several apply at once, a Status has the first one in this order.
const (
	NoCause      Cause = iota // the node has a grant
	NotHead                   // another node is the head, or none is known
	TokenRefused              // the platform refused the token of this epoch
	NotActive                 // the head has promised to the next epoch, lacks the complete state, or is shutting down
	NotConfirmed              // no majority has confirmed the head within the last Term
	JustStarted               // the node does not know which calls it made before it started
	EarlierGrant              // the grant of an earlier head may not have expired yet
	LeaseLost                 // the node lost the lease, or a call of an ended tenure ended, less than TakeoverWait ago
)

// Status is the state of a lease, for operators.
type Status struct {
	Epoch     int64
	Held      bool
	Remaining time.Duration // until the grant ends, unless it is renewed; 0 without one
	Wait      time.Duration // see RemainingWait
	Cause     Cause
}

// Status returns the state of the lease at the given time.
func (l *Lease) Status(now time.Duration) Status {
	status := Status{Epoch: l.epoch, Wait: l.RemainingWait(now), Cause: l.cause(now)}
	if grant, ok := l.Grant(now); ok {
		status.Held, status.Remaining = true, grant.Until-now
	}
	return status
}

// cause returns the reason why there is no grant at the given time.
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

// waitCause returns the cause of the wait of an active, confirmed head: the one that ends last.
func (l *Lease) waitCause() Cause {
	switch from := l.mayActFrom(); {
	case from == l.startedAt+l.params.TakeoverWait():
		return JustStarted
	case l.hadEarlierTenure && from == l.lostAt+l.params.TakeoverWait():
		return LeaseLost
	}
	return EarlierGrant
}
