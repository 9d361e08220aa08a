package lease

import "time"

// Params are the figures of the lease.
type Params struct {
	// Term is how long a grant lasts from the time at which its round was sent.
	Term time.Duration
	// MaxDrift bounds by how much a monotonic clock may be faster or slower than true time, as a share of it.
	MaxDrift float64
}

// DefaultMaxDrift is the bound on the drift of monotonic clocks: well beyond that of quartz clocks, which is below 0.0005.
const DefaultMaxDrift = 0.01

// TakeoverWait returns how long a new head waits for the grants of earlier heads to end: Term, if the clock of the earlier head is the
// slowest and that of the new one the fastest that MaxDrift permits.
func (p Params) TakeoverWait() time.Duration {
	return time.Duration(float64(p.Term)*(1+p.MaxDrift)/(1-p.MaxDrift)) + 1
}

// Observation is what a node knows of the view and of its own place in it.
type Observation struct {
	Epoch  int64
	IsHead bool // of the view of Epoch
	// Active: the node is the head, takes part in the chain, has not promised to the next epoch, and is not about to stop.
	Active bool
	// ConfirmedAt is when the newest confirmation round of this epoch was sent that a majority has confirmed; HasConfirmed
	// reports whether there is one.
	ConfirmedAt  time.Duration
	HasConfirmed bool
}

// Release notifies the head of the next epoch that the sender does not act any more.
type Release struct {
	Epoch int64 // the last epoch in which the sender was the head
	// Wait is what the sender itself still had to wait for the grants of heads before it; 0 if it could act.
	Wait time.Duration
}

// Grant is the right to act.
type Grant struct {
	Epoch int64
	Until time.Duration // by this node's clock; not after it
}

// Call is a call under a grant. Its address is its identity, so that its start and its end count once, however often they are
// noted.
type Call struct {
	Epoch int64 // of the grant
}

// headship is an unbroken run of epochs with this node as the head.
type tenure struct {
	firstEpoch int64
	since      time.Duration // when the node adopted the view of firstEpoch
}

// Lease is a node's part in the lease. It is not safe for concurrent use. Times are of the node's monotonic clock and do not go
// back.
type Lease struct {
	params    Params
	startedAt time.Duration

	epoch  int64   // newest that was observed
	tenure *tenure // nil while another node is the head
	active bool
	until  time.Duration // of the newest grant in this epoch; 0 for none

	lostAt           time.Duration // when the last headship ended, or the last call of one that had ended
	hadEarlierTenure bool          // there was an earlier headship

	inFlight map[*Call]struct{}
	unsent   *unsentRelease // waits for the calls of the headship that it releases; nil for none

	received     *receivedRelease // for this headship
	earlyRelease *receivedRelease // of an epoch after which this node may become the head; it came before the view
	refusedEpoch int64            // newest epoch in which the platform has refused this node's token; 0 for none
}

// receivedRelease is a release that has come.
type receivedRelease struct {
	epoch  int64
	endsAt time.Duration // when what its sender waited for is over
}

// unsentRelease is a release of a headship whose calls are in flight.
type unsentRelease struct {
	epoch      int64
	mayActFrom time.Duration // when what this node itself waited for is over
}

// New returns the lease of a node that starts now and knows no view.
func New(params Params, now time.Duration) *Lease {
	return &Lease{params: params, startedAt: now, inFlight: map[*Call]struct{}{}}
}

// Observe takes a new observation. It returns the release to send to the head of the view, if this node was the head of the
// view before and none of its calls is in flight any more: at once, or at the first observation after they have ended.
func (l *Lease) Observe(now time.Duration, o Observation) (release Release, ok bool) {
	if o.Epoch < l.epoch {
		return Release{}, false
	}
	if o.Epoch > l.epoch {
		l.enterEpoch(now, o)
	}
	l.active = o.IsHead && o.Active
	if o.IsHead && o.HasConfirmed {
		l.until = max(l.until, o.ConfirmedAt+l.params.Term)
	}
	return l.takeRelease(now)
}

// enterEpoch adopts a newer epoch.
func (l *Lease) enterEpoch(now time.Duration, o Observation) {
	consecutive := o.Epoch == l.epoch+1
	l.unsent = nil
	if l.tenure != nil && !(consecutive && o.IsHead) {
		// A head that could not act for a call of a headship before has nothing to release.
		if !o.IsHead && !l.hasStaleCalls() {
			l.unsent = &unsentRelease{epoch: l.epoch, mayActFrom: l.mayActFrom()}
		}
		l.tenure, l.lostAt, l.hadEarlierTenure = nil, now, true
	}
	l.epoch, l.until = o.Epoch, 0
	if o.IsHead && l.tenure == nil {
		l.tenure, l.received = &tenure{firstEpoch: o.Epoch, since: now}, nil
		if l.earlyRelease != nil && l.earlyRelease.epoch == o.Epoch-1 {
			l.received = l.earlyRelease
		}
	}
}

// HasUnsentRelease reports whether a release waits for calls in flight.
func (l *Lease) HasUnsentRelease() bool { return l.unsent != nil }

// takeRelease returns the release that waits for calls, if they have ended.
func (l *Lease) takeRelease(now time.Duration) (release Release, ok bool) {
	unsent := l.unsent
	if unsent == nil || l.hasStaleCalls() {
		return Release{}, false
	}
	l.unsent = nil
	return Release{Epoch: unsent.epoch, Wait: max(0, unsent.mayActFrom-now)}, true
}

// HandleRelease takes a release of the head of the epoch before this node's headship. It may come before this node has adopted
// the view that begins the headship, as the sender may be notified of that view earlier.
func (l *Lease) HandleRelease(now time.Duration, r Release) {
	if r.Wait < 0 {
		return
	}
	received := &receivedRelease{epoch: r.Epoch, endsAt: now + l.allowForDrift(r.Wait)}
	switch {
	case l.tenure != nil && r.Epoch == l.tenure.firstEpoch-1:
		l.received = preferredRelease(l.received, received)
	case r.Epoch >= l.epoch:
		l.earlyRelease = preferredRelease(l.earlyRelease, received)
	}
}

// earlier returns the release of the newer epoch, and of two releases of one epoch the one whose wait ends first. The first may
// be nil.
func preferredRelease(a, b *receivedRelease) *receivedRelease {
	if a == nil || a.epoch < b.epoch || a.epoch == b.epoch && b.endsAt < a.endsAt {
		return b
	}
	return a
}

// stretch returns how long this node waits by its own clock for a time of another node's clock.
func (l *Lease) allowForDrift(d time.Duration) time.Duration {
	if d == 0 {
		return 0
	}
	return time.Duration(float64(d)*(1+l.params.MaxDrift)/(1-l.params.MaxDrift)) + 1
}

// mayActFrom returns from when on a grant may be used. The node must be the head.
func (l *Lease) mayActFrom() time.Duration {
	from := l.tenure.since + l.params.TakeoverWait()
	if l.received != nil {
		from = min(from, l.received.endsAt)
	}
	from = max(from, l.startedAt+l.params.TakeoverWait())
	if l.hadEarlierTenure {
		from = max(from, l.lostAt+l.params.TakeoverWait())
	}
	return from
}

// HandleRefusal notes that the platform has refused a call of an epoch, as it has seen a higher token. The node does not act any more
// before the next epoch.
func (l *Lease) HandleRefusal(epoch int64) { l.refusedEpoch = max(l.refusedEpoch, epoch) }

// CallStarted notes that a call begins under a grant. CallEnded has to follow.
func (l *Lease) CallStarted(c *Call) { l.inFlight[c] = struct{}{} }

// CallEnded notes that a call was answered or given up, so that it cannot leave this node any more. It does nothing for a call
// that is not in flight: one that was never noted, or whose end was noted before.
func (l *Lease) CallEnded(now time.Duration, c *Call) {
	if _, ok := l.inFlight[c]; !ok {
		return
	}
	delete(l.inFlight, c)
	if l.isStale(c) {
		l.lostAt = max(l.lostAt, now)
	}
}

// isLate reports whether a call was begun in a headship that has ended.
func (l *Lease) isStale(c *Call) bool { return l.tenure == nil || c.Epoch < l.tenure.firstEpoch }

// hasLateCalls reports whether a call of a headship that has ended is in flight.
func (l *Lease) hasStaleCalls() bool {
	for c := range l.inFlight {
		if l.isStale(c) {
			return true
		}
	}
	return false
}

// Grant returns the right to act that this node has now, if it has one.
func (l *Lease) Grant(now time.Duration) (g Grant, ok bool) {
	if l.tenure == nil || !l.active || l.hasStaleCalls() || l.refusedEpoch >= l.epoch || now < l.mayActFrom() || now >= l.until {
		return Grant{}, false
	}
	return Grant{Epoch: l.epoch, Until: l.until}, true
}

// RemainingWait returns how long the head still waits for earlier grants to end; 0 if it does not, or is not the head. The wait begins
// anew when a call of a lost headship ends.
func (l *Lease) RemainingWait(now time.Duration) time.Duration {
	if l.tenure == nil {
		return 0
	}
	return max(0, l.mayActFrom()-now)
}
