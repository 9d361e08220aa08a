package lease

import "time"

// checks are the invariants, in true time.
type checks struct {
	sim          *simulation
	holderOf     map[int64]*node // by token
	highestSent  int64
	bySending    map[string]*history // by subject: calls that were sent without a freeze, as they were sent
	byAcceptance map[string]*history // by subject: accepted calls, as they were accepted
}

func (c *checks) init(sim *simulation) {
	*c = checks{sim: sim, holderOf: map[int64]*node{}, bySending: map[string]*history{}, byAcceptance: map[string]*history{}}
	for _, subject := range subjects {
		c.bySending[subject], c.byAcceptance[subject] = &history{}, &history{}
	}
}

// holders checks that one node at most has a grant.
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

// sent checks a call when it leaves.
func (c *checks) sent(sent call) {
	c.sim.logEvent("%s calls %s with token %d, stood still %v", sent.holder, sent.subject, sent.token, sent.wasFrozen)
	if sent.token > 0 {
		if other := c.holderOf[sent.token]; other != nil && other != sent.holder {
			c.sim.fail("one token: %s and %s use %d", other, sent.holder, sent.token)
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
		c.sim.fail("A, B, A: %s is sent by %s, by another holder, and by it again within the term", sent.subject, sent.holder)
	}
}

// afterRelease checks that a call of a holder is not accepted after it has released the lease to another one that has it: that one
// may have acted, on another subject, and the fence is no help. A call that was given up, or whose process was killed, may come at any
// time.
func (c *checks) afterRelease(accepted call) {
	if !accepted.holder.unanswered[accepted.leaseCall] {
		return
	}
	for _, n := range c.sim.nodes {
		if n.holdsLease() && n.heldByReleaseOf(accepted.holder) {
			c.sim.fail("early release: %s of %s is accepted after its release has passed the lease on to %s", accepted.subject,
				accepted.holder, n)
		}
	}
}

// heldByReleaseOf reports whether a node that has a grant would still wait but for a release of another one.
func (n *node) heldByReleaseOf(other *node) bool {
	l := n.lease
	return l.received != nil && n.clockNow() < l.tenure.since+l.params.TakeoverWait() &&
		n.sim.decided[l.received.epoch].head == other.id
}

// accepted checks a call when the platform accepts it. Rule ONE on the order of holders of one subject needs a platform that checks
// fences.
func (c *checks) accepted(accepted call) {
	c.afterRelease(accepted)
	if !c.sim.platform.checksTokens {
		return
	}
	until := accepted.mayHaveActedUntil(c.sim.now)
	c.sim.logEvent("%s of %s with token %d is accepted", accepted.subject, accepted.holder, accepted.token)
	if c.byAcceptance[accepted.subject].addCall(accepted.holder, accepted.sentAt, until, c.sim.params.Term) {
		c.sim.fail("A, B, A: %s is accepted from %s, from another holder, and from it again within the term", accepted.subject,
			accepted.holder)
	}
}

// run is a sequence of calls of one holder.
type callSequence struct {
	holder *node
	last   time.Duration
}

// history is the order of the holders of one subject.
type history struct{ sequences []callSequence }

// returns adds a call that began at a time and acted up to another one. It reports whether its holder had acted within the term
// before it began, with another holder in between.
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
