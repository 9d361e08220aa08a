package lease

import "time"

// Params are the parameters of the lease.
type Params struct {
	// Term is how long a grant lasts from the time at which its confirmation round was sent.
	Term time.Duration
	// MaxDrift bounds by how much a monotonic clock may be faster or slower than true time, as a fraction of it.
	MaxDrift float64
}

// DefaultMaxDrift is the default bound on the drift of monotonic clocks: well above that of quartz clocks, which is below 0.0005.
const DefaultMaxDrift = 0.01

// TakeoverWait returns how long a new head waits for the grants of earlier heads to expire: Term, extended for the case that the
// clock of the earlier head is the slowest and that of the new head the fastest that MaxDrift permits.
func (p Params) TakeoverWait() time.Duration {
	return time.Duration(float64(p.Term)*(1+p.MaxDrift)/(1-p.MaxDrift)) + 1
}

// Observation is what a node knows about the view and its own role in it.
type Observation struct {
	Epoch  int64
	IsHead bool // whether the node is the head of the view of Epoch
	// Active reports whether the node is the head, takes part in the chain, has not promised to the next epoch and is not shutting
	// down.
	Active bool
	// ConfirmedAt is when the newest confirmation round of this epoch that a majority has echoed was sent; HasConfirmed reports
	// whether there is one.
	ConfirmedAt  time.Duration
	HasConfirmed bool
}

// Release notifies the head of the next epoch that the sender makes no calls under its grants any more.
type Release struct {
	Epoch int64 // last epoch in which the sender was the head
	// Wait is how long the sender itself still had to wait for the grants of earlier heads; 0 if it did not have to wait.
	Wait time.Duration
}

// Grant is the right to carry out singleton tasks.
type Grant struct {
	Epoch int64
	Until time.Duration // exclusive, by this node's clock
}

// Call is a call made under a grant. Its address is its identity, so that its start and its end count once, however often they
// are recorded.
type Call struct {
	Epoch int64 // epoch of the grant
}

// tenure is a sequence of consecutive epochs with this node as the head.
type tenure struct {
	firstEpoch int64
	since      time.Duration // when the node adopted the view of firstEpoch
}

// Lease is a node's local state of the lease. It is not safe for concurrent use. Times are of the node's monotonic clock and must
// not decrease.
type Lease struct {
	params    Params
	startedAt time.Duration

	epoch  int64   // newest epoch observed
	tenure *tenure // nil while another node is the head
	active bool
	until  time.Duration // end of the newest grant in this epoch; 0 for none

	lostAt           time.Duration // end of the last tenure, or of the last call begun in an ended tenure if that is later
	hadEarlierTenure bool          // whether a tenure has ended since the node started

	inFlight map[*Call]struct{}
	unsent   *unsentRelease // release that waits for calls in flight; nil for none

	received     *receivedRelease // for the present tenure
	earlyRelease *receivedRelease // received before the view that begins the tenure it is for
	refusedEpoch int64            // newest epoch in which the platform has refused this node's token; 0 for none
}

// receivedRelease is a release that this node has received.
type receivedRelease struct {
	epoch  int64
	endsAt time.Duration // when the wait that its sender passed on is over
}

// unsentRelease is a release of a tenure that still has calls in flight.
type unsentRelease struct {
	epoch      int64
	mayActFrom time.Duration // when this node's own wait is over
}

// New returns the lease of a node that starts now and knows no view yet.
func New(params Params, now time.Duration) *Lease {
	return &Lease{params: params, startedAt: now, inFlight: map[*Call]struct{}{}}
}

// Observe processes a new observation. If this node was the head of the previous view and the present head is another node, it
// returns the release to send to that head once no call of this node is in flight: at once, or at the first observation after
// its calls have ended.
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
		// A head that held no grant because a call of an earlier tenure was in flight has nothing to release.
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

// Epoch returns the newest epoch that was observed.
func (l *Lease) Epoch() int64 { return l.epoch }

// HasUnsentRelease reports whether a release is delayed by calls in flight.
func (l *Lease) HasUnsentRelease() bool { return l.unsent != nil }

// takeRelease returns the delayed release, once the calls in flight have ended.
func (l *Lease) takeRelease(now time.Duration) (release Release, ok bool) {
	unsent := l.unsent
	if unsent == nil || l.hasStaleCalls() {
		return Release{}, false
	}
	l.unsent = nil
	return Release{Epoch: unsent.epoch, Wait: max(0, unsent.mayActFrom-now)}, true
}

// HandleRelease processes a release of the head of the epoch before this node's tenure. It may arrive before this node has adopted
// the view that begins the tenure, as the sender may be notified of that view earlier.
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

// preferredRelease returns the release of the newer epoch, or of two releases of the same epoch the one whose wait ends first.
// The first argument may be nil.
func preferredRelease(a, b *receivedRelease) *receivedRelease {
	if a == nil || a.epoch < b.epoch || a.epoch == b.epoch && b.endsAt < a.endsAt {
		return b
	}
	return a
}

// allowForDrift returns how long this node has to wait by its own clock until d has passed on another node's clock.
func (l *Lease) allowForDrift(d time.Duration) time.Duration {
	if d == 0 {
		return 0
	}
	return time.Duration(float64(d)*(1+l.params.MaxDrift)/(1-l.params.MaxDrift)) + 1
}

// mayActFrom returns the time from which on a grant may be used. The node must be the head.
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

// HandleRefusal records that the platform refused a call of an epoch because it has seen a higher token. The node has no grant
// until the next epoch.
func (l *Lease) HandleRefusal(epoch int64) { l.refusedEpoch = max(l.refusedEpoch, epoch) }

// CallStarted records the start of a call under a grant. CallEnded must follow.
func (l *Lease) CallStarted(c *Call) { l.inFlight[c] = struct{}{} }

// CallEnded records that a call was answered or given up, so that this node cannot send it any more. It does nothing for a call
// that is not in flight: one that was never started, or whose end was recorded before.
func (l *Lease) CallEnded(now time.Duration, c *Call) {
	if _, ok := l.inFlight[c]; !ok {
		return
	}
	delete(l.inFlight, c)
	if l.isStale(c) {
		l.lostAt = max(l.lostAt, now)
	}
}

// isStale reports whether a call was begun in a tenure that has ended.
func (l *Lease) isStale(c *Call) bool { return l.tenure == nil || c.Epoch < l.tenure.firstEpoch }

// hasStaleCalls reports whether a call begun in an ended tenure is in flight.
func (l *Lease) hasStaleCalls() bool {
	for c := range l.inFlight {
		if l.isStale(c) {
			return true
		}
	}
	return false
}

// Grant returns the grant that this node holds now, if any.
func (l *Lease) Grant(now time.Duration) (g Grant, ok bool) {
	if l.tenure == nil || !l.active || l.hasStaleCalls() || l.refusedEpoch >= l.epoch || now < l.mayActFrom() || now >= l.until {
		return Grant{}, false
	}
	return Grant{Epoch: l.epoch, Until: l.until}, true
}

// RemainingWait returns how long the head still waits for earlier grants to expire; 0 if it does not wait or is not the head. The
// wait restarts when a call begun in an ended tenure ends.
func (l *Lease) RemainingWait(now time.Duration) time.Duration {
	if l.tenure == nil {
		return 0
	}
	return max(0, l.mayActFrom()-now)
}
