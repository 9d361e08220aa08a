package lease

import "time"

// subjects are what the platform keeps the highest fencing token for: usage, and two services in two zones each.
var subjects = []string{"usage", "scale a/1", "scale a/2", "scale b/1", "scale b/2"}

// call is a call of a lease holder to the platform.
type call struct {
	holder      *node // by machine: it stays the same holder after a restart
	leaseCall   *Call
	token       int64 // 0 for none
	subject     string
	sentAt      time.Duration
	incarnation int  // of the process
	wasFrozen   bool // the process was frozen between the check of its grant and the sending
}

// platform accepts calls. If it checks tokens, it refuses those with a lower token than it has seen for their subject.
type platform struct {
	checksTokens bool
	highest      map[string]int64
}

func newPlatform(checksTokens bool) platform {
	return platform{checksTokens: checksTokens, highest: map[string]int64{}}
}

func (p *platform) accepts(c call) bool {
	if p.checksTokens && c.token > 0 && c.token < p.highest[c.subject] {
		return false
	}
	p.highest[c.subject] = max(p.highest[c.subject], c.token)
	return true
}

// callPlatform makes a call for a random subject if the node has a grant. The process may freeze before the call is sent.
func (n *node) callPlatform() {
	n.observe()
	now := n.clock()
	grant, ok := n.lease.Grant(now)
	if !ok {
		return
	}
	stale := now != n.clockNow()
	subject := subjects[n.sim.rng.IntN(len(subjects))]
	checkedAt := n.sim.now
	leaseCall := &Call{Epoch: grant.Epoch}
	if n.sim.planted != staleCallsIgnored {
		n.lease.CallStarted(leaseCall)
	}
	if n.sim.oneIn(40, freezes) {
		n.freeze(n.sim.between(time.Millisecond, 6*time.Second))
	}
	var wait time.Duration // of the sending thread
	if n.sim.oneIn(4, freezes) {
		wait = n.sim.between(0, 2*maxThreadDelay)
	}
	n.sim.schedule(wait, n, n.incarnation, func() {
		n.call(call{
			holder: n, leaseCall: leaseCall, token: n.token(grant.Epoch), subject: subject,
			wasFrozen: stale || n.sim.now > checkedAt,
		})
	})
}

// callTimeout is how long a node waits for the response to a call.
const callTimeout = 2 * time.Second

// call sends a call, which may arrive late or not at all.
func (n *node) call(c call) {
	sim := n.sim
	c.sentAt, c.incarnation = sim.now, n.incarnation
	n.unanswered[c.leaseCall] = true
	sim.stats.calls++
	sim.checks.sent(c)
	delay := sim.between(10*time.Microsecond, 5*time.Millisecond)
	if sim.oneIn(6, slowCalls) {
		delay += sim.between(0, 5*time.Second)
		sim.stats.slowCalls++
	}
	lost := sim.oneIn(20, losses)
	sim.after(delay, func() {
		if !lost {
			n.arrive(c)
		}
	})
	answered := delay + sim.between(10*time.Microsecond, 5*time.Millisecond)
	if lost || answered > callTimeout {
		answered = callTimeout
	}
	sim.schedule(answered, n, n.incarnation, func() { n.endCall(c) })
}

// arrive delivers a call to the platform.
func (n *node) arrive(c call) {
	sim := n.sim
	if sim.platform.accepts(c) {
		sim.stats.accepted++
		sim.checks.accepted(c)
		return
	}
	sim.stats.refused++
	sim.schedule(sim.between(10*time.Microsecond, 5*time.Millisecond), n, c.incarnation, func() { n.lease.HandleRefusal(c.leaseCall.Epoch) })
}

func (n *node) endCall(c call) {
	delete(n.unanswered, c.leaseCall)
	if n.sim.planted != staleCallsIgnored {
		n.lease.CallEnded(n.clock(), c.leaseCall)
	}
}

// mayHaveActedUntil returns until when a call that is accepted now may have taken effect as far as its sender can know: up to its
// response or time-out, or up to its sending if the process has been killed since.
func (c call) mayHaveActedUntil(now time.Duration) time.Duration {
	if !c.holder.up || c.holder.incarnation != c.incarnation {
		return c.sentAt
	}
	return min(now, c.sentAt+callTimeout)
}

// token returns the fencing token of a call in an epoch.
func (n *node) token(epoch int64) int64 {
	switch n.sim.planted {
	case noFencingToken:
		return 0
	case tokenFromMemory: // a counter of epochs that restarts with the process
		if epoch != n.memoryEpoch {
			n.memoryEpoch = epoch
			n.memoryToken++
		}
		return n.sim.tokenBase + n.memoryToken
	}
	return n.sim.tokenBase + epoch
}
