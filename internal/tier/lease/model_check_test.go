package lease

import "time"

// checks verifies the invariants, in true time.
type checks struct {
	sim          *simulation
	holderOf     map[int64]*node // sender by token
	highestSent  int64
	bySending    map[string]*history // by subject: calls sent by processes that were not frozen, in the order of sending
	byAcceptance map[string]*history // by subject: accepted calls, in the order of acceptance
}

func (c *checks) init(sim *simulation) {
	*c = checks{sim: sim, holderOf: map[int64]*node{}, bySending: map[string]*history{}, byAcceptance: map[string]*history{}}
	for _, subject := range subjects {
		c.bySending[subject], c.byAcceptance[subject] = &history{}, &history{}
	}
}

// holders checks that at most one node has a grant.
func (c *checks) holders() {
	var holder *node
	for _, n := range c.sim.nodes {
		if !n.holdsLease() {
			continue
		}
		if holder != nil {
			c.sim.fail("two holders: %s in epoch %d, %s in epoch %d", holder, holder.disk.view.epoch, n, n.disk.view.epoch)
		}
		holder = n
	}
}

// sent checks a call when it is sent.
func (c *checks) sent(sent call) {
	c.sim.logEvent("%s calls %s with token %d, was frozen %v", sent.holder, sent.subject, sent.token, sent.wasFrozen)
	if sent.token > 0 {
		if other := c.holderOf[sent.token]; other != nil && other != sent.holder {
			c.sim.fail("duplicate token: %s and %s use %d", other, sent.holder, sent.token)
		}
		c.holderOf[sent.token] = sent.holder
	}
	if sent.wasFrozen {
		return
	}
	if sent.token > 0 && sent.token < c.highestSent {
		c.sim.fail("token order: %s sends %d after %d", sent.holder, sent.token, c.highestSent)
	}
	c.highestSent = max(c.highestSent, sent.token)
	if c.bySending[sent.subject].addCall(sent.holder, sent.sentAt, sent.sentAt, c.sim.params.Term) {
		c.sim.fail("A, B, A: calls for %s sent by %s, another holder and the first again within the term", sent.subject, sent.holder)
	}
}

// afterRelease checks that a call is not accepted after its sender has released the lease to a node that now holds it: that node
// may have made calls for another subject, against which the fencing token does not help. A call that was given up, or whose
// process was killed, may arrive at any time.
func (c *checks) afterRelease(accepted call) {
	if !accepted.holder.unanswered[accepted.leaseCall] {
		return
	}
	for _, n := range c.sim.nodes {
		if n.holdsLease() && n.heldByReleaseOf(accepted.holder) {
			c.sim.fail("early release: call for %s of %s accepted after its release has passed the lease on to %s", accepted.subject,
				accepted.holder, n)
		}
	}
}

// heldByReleaseOf reports whether a node with a grant would still have to wait without a release of the other node.
func (n *node) heldByReleaseOf(other *node) bool {
	l := n.lease
	return l.received != nil && n.clockNow() < l.tenure.since+l.params.TakeoverWait() &&
		n.sim.decided[l.received.epoch].head == other.id
}

// accepted checks a call when the platform accepts it. That the holders of a subject do not alternate (A, B, A) within a term is
// only guaranteed if the platform checks fencing tokens.
func (c *checks) accepted(accepted call) {
	c.afterRelease(accepted)
	if !c.sim.platform.checksTokens {
		return
	}
	until := accepted.mayHaveActedUntil(c.sim.now)
	c.sim.logEvent("call for %s of %s with token %d accepted", accepted.subject, accepted.holder, accepted.token)
	if c.byAcceptance[accepted.subject].addCall(accepted.holder, accepted.sentAt, until, c.sim.params.Term) {
		c.sim.fail("A, B, A: calls for %s accepted from %s, another holder and the first again within the term", accepted.subject,
			accepted.holder)
	}
}

// callSequence is a sequence of consecutive calls for one subject by the same holder.
type callSequence struct {
	holder *node
	last   time.Duration // until when it may have acted
}

// history is the sequence of the holders of one subject.
type history struct{ sequences []callSequence }

// addCall adds a call that began at a time and may have acted until another. It reports whether its holder had already acted less
// than a term before it began, with another holder in between.
func (h *history) addCall(holder *node, began, until, term time.Duration) bool {
	if last := len(h.sequences) - 1; last >= 0 && h.sequences[last].holder == holder {
		h.sequences[last].last = max(h.sequences[last].last, until)
	} else {
		h.sequences = append(h.sequences, callSequence{holder, until})
	}
	for _, earlier := range h.sequences[:len(h.sequences)-1] {
		if earlier.holder == holder && began-earlier.last < term {
			return true
		}
	}
	return false
}
