package reference

// Scheduling: which message is sent next, and to which endpoint.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// avoidancePenalty is the cost, in units of value, of a host that just failed or is not yet healthy.
const avoidancePenalty = 0.02

// fillSlots sends messages while slots are free: the destination with the fewest calls in flight goes first.
// One destination has at most three quarters of the slots, and at most half while others could use them.
func (c *Chooser) fillSlots() {
	maxShare := max(1, (3*c.cfg.Workers+3)/4-1)
	crowdedShare := max(1, c.cfg.Workers/2)
	ready := c.readyDestinations()
	var full []*destination
	for c.callsInFlight < c.cfg.Workers {
		ready = slices.DeleteFunc(ready, func(dest *destination) bool { return !c.hasSend(dest) })
		if len(ready) == 0 {
			last := len(full) - 1
			if last < 0 || full[last].inFlight >= maxShare {
				break
			}
			ready, full = append(ready, full[last]), full[:last]
		}
		dest := slices.MinFunc(ready, func(a, b *destination) int {
			return cmp.Or(cmp.Compare(c.onTrial(a), c.onTrial(b)), cmp.Compare(a.inFlight, b.inFlight),
				cmp.Compare(a.lastSentAt, b.lastSentAt), cmp.Compare(a.id, b.id))
		})
		limit := maxShare
		if len(ready) > 1 {
			limit = crowdedShare
		}
		if dest.inFlight >= limit {
			full = append(full, dest)
		}
		if dest.inFlight >= limit || !c.sendNext(dest) {
			ready = removeElement(ready, dest)
		}
	}
	noSlot := c.callsInFlight >= c.cfg.Workers
	if c.cfg.Cancels && noSlot && slices.ContainsFunc(append(ready, full...), c.hasSend) {
		c.cancelStuckCall()
	}
}

// readyDestinations returns the destinations with queued messages and a unit that can be sent to.
func (c *Chooser) readyDestinations() (ready []*destination) {
	for _, dest := range c.active {
		if len(dest.waiting) == 0 || c.now < dest.backoffUntil {
			continue
		}
		for _, unit := range dest.units {
			c.updateRateLimit(unit, dest)
		}
		if slices.ContainsFunc(dest.units, c.maySend) {
			ready = append(ready, dest)
		}
	}
	return ready
}

// hasSend reports whether a message of a destination could be sent now.
func (c *Chooser) hasSend(dest *destination) bool {
	msg, _ := c.chooseSend(dest)
	return msg != nil
}

// onTrial is 1 for a destination whose units are all suspect, without an overdue trial, else 0. Trials go
// last, so that the slots of a small relay do not fill with calls that may hang.
func (c *Chooser) onTrial(dest *destination) int {
	first := func(unit *healthUnit) bool {
		return unit.state != suspect || c.now-unit.nextTrialAt > c.cfg.Rules.Fall
	}
	if slices.ContainsFunc(dest.units, first) {
		return 0
	}
	return 1
}

// cancelStuckCall frees a slot while all are taken and a message is queued for one, as a guard against calls
// that never get a response. It cancels the oldest of the stuck calls, one at a time. A message that is not
// idempotent is lost by it: its call gets twice the unresponsive time-out while at most half of the slots
// have stuck calls.
func (c *Chooser) cancelStuckCall() {
	isUnsafe := func(msg *message) bool { return msg.class.Effect == Unsafe }
	var stuck []*outboundCall
	for _, dest := range c.active {
		for _, unit := range dest.units {
			for _, call := range unit.inFlight {
				if call.cancelled {
					return // one at a time
				}
				timeout := c.unresponsiveTimeout(dest)
				if c.cfg.MaxHeld > 0 && 2*c.pending > c.cfg.MaxHeld {
					timeout /= 2
				}
				if unit.lastServed >= call.sentAt {
					timeout *= 2
				}
				timeout *= time.Duration(call.messages[0].attempts)
				if c.now-call.sentAt > timeout {
					stuck = append(stuck, call)
				}
			}
		}
	}
	slices.SortFunc(stuck, func(a, b *outboundCall) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, call := range stuck {
		unsafe := slices.ContainsFunc(call.messages, isUnsafe)
		age, longest := c.now-call.sentAt, 2*c.unresponsiveTimeout(call.host.dest)
		if unsafe && 2*len(stuck) <= c.cfg.Workers && age < longest {
			continue
		}
		call.cancelled = true
		for _, msg := range call.messages {
			c.emit(Cancel{ID: msg.ID, Attempt: msg.attempts - 1})
		}
		return
	}
}

// sendNext sends the best message of a destination, and others with it in the same call. It reports whether
// there was one.
func (c *Chooser) sendNext(dest *destination) bool {
	msg, host := c.chooseSend(dest)
	if msg == nil {
		return false
	}
	unit := host.unit
	c.callSequence++
	call := &outboundCall{sequence: c.callSequence, host: host, sentAt: c.now}
	if !slices.Contains(c.calling, dest) {
		c.calling = append(c.calling, dest)
	}
	c.callsInFlight, dest.inFlight, host.inFlight = c.callsInFlight+1, dest.inFlight+1, host.inFlight+1
	dest.lastSentAt = c.now
	old := func(t time.Duration) bool { return c.now-t > max(c.cfg.Rules.Cold, time.Second) }
	unit.inFlight = append(unit.inFlight, call)
	unit.sendTimes = append(slices.DeleteFunc(unit.sendTimes, old), c.now)
	unit.tokens--
	if unit.state == suspect {
		timeout := c.unresponsiveTimeout(dest) << min(unit.failedTrials, 4)
		unit.nextTrialAt = c.now + timeout + c.trialBackoff(unit)
	}
	c.send(msg, call)
	for len(call.messages) < dest.kind.PerCall && unit.state != suspect {
		msg := c.bestMessage(dest, func(msg *message) bool { return c.eligible(msg, host) })
		if msg == nil {
			break
		}
		c.send(msg, call)
	}
	if len(call.messages) > 1 {
		unit.sendTimes = append(unit.sendTimes, c.now) // all further messages weigh as much as one more call
	}
	return true
}

// send starts the next attempt of a message as part of a call.
func (c *Chooser) send(msg *message, call *outboundCall) {
	dest := msg.dest
	msg.lastTimeout = c.attemptTimeout(msg, call.host.unit)
	dest.waiting = removeElement(dest.waiting, msg)
	msg.attempts++
	msg.call = call
	call.messages = append(call.messages, msg)
	c.emit(Send{ID: msg.ID, Host: call.host.Addr, Timeout: msg.lastTimeout})
}

// eligible reports whether a message may go to a host now, limits of its unit aside.
func (c *Chooser) eligible(msg *message, host *endpoint) bool {
	if host.State != Ready || !c.mayRetry(msg) || msg.attempts >= c.cfg.MaxAttempts {
		return false
	}
	if msg.class.Effect == Keyed && msg.class.SameZone && msg.mayHaveRun && host.Zone != msg.mayHaveRunZone {
		return false
	}
	// Messages that must not be retried are kept from a unit whose failed calls may have run until it has
	// served a few others, unless their deadline is near.
	unit := host.unit
	proven := unit.state == healthy || !unit.mayHaveRun ||
		unit.state == recovering && (!unit.sawErrors || unit.servedStreak >= outcomeHistory)
	return proven || msg.class.Effect != Unsafe || msg.deadline-c.now < msg.class.Deadline/4
}

// owedFirstAttempt reports whether a message was restored after a restart without an attempt, and has had
// none yet.
func (m *message) owedFirstAttempt() bool { return m.restoredUntried && m.attempts == 0 }

// bestMessage returns the message that loses most value by waiting, among those that pass a test.
func (c *Chooser) bestMessage(dest *destination, test func(*message) bool) *message {
	rate := 0.0
	for _, unit := range dest.units {
		rate += unit.servedRate
	}
	wait := c.minTarget
	if rate > 0 {
		wait = time.Duration(float64(len(dest.waiting)) / rate * float64(time.Second))
	}
	wait = min(max(wait, c.minTarget/8), 4*c.maxTimeout)
	byWorth := func(a, b Class) int { return cmp.Compare(a.Worth, b.Worth) }
	var best *message
	maxLoss := math.Inf(-1)
	for _, msg := range dest.waiting {
		if !c.keyAllows(msg) || !test(msg) {
			continue
		}
		loss := c.value(msg, c.now) - c.value(msg, c.now+wait)
		class, age := msg.class, c.now-msg.createdAt
		if !c.cfg.Halving && age > class.Aim && age+wait < class.Deadline {
			loss = class.Worth * (1 - class.LateShare) * wait.Seconds() / (class.Deadline - class.Aim).Seconds()
		}
		if msg.owedFirstAttempt() {
			loss += slices.MaxFunc(c.cfg.Classes, byWorth).Worth
		}
		if best == nil || loss > maxLoss || loss == maxLoss && msg.deadline < best.deadline {
			best, maxLoss = msg, loss
		}
	}
	return best
}

// chooseSend chooses a message of a destination and the host with the least cost for it.
func (c *Chooser) chooseSend(dest *destination) (*message, *endpoint) {
	var open []*endpoint
	for _, host := range dest.hosts {
		if host.State == Ready && c.maySend(host.unit) {
			open = append(open, host)
		}
	}
	msg := c.bestMessage(dest, func(msg *message) bool {
		return slices.ContainsFunc(open, func(host *endpoint) bool { return c.eligible(msg, host) })
	})
	var best *endpoint
	minCost := math.Inf(1)
	for _, host := range open {
		if msg != nil && c.eligible(msg, host) && c.routeCost(msg, host) < minCost {
			best, minCost = host, c.routeCost(msg, host)
		}
	}
	return msg, best
}

// routeCost returns the cost of a host for a message, in units of value: its fee, and the share of the
// latency target that its latency and its calls in flight take.
func (c *Chooser) routeCost(msg *message, host *endpoint) float64 {
	unit := host.unit
	cost := 0.0
	if msg.dest.kind.Apart && host.Zone < len(c.cfg.ZoneFee) {
		cost += c.cfg.ZoneFee[host.Zone]
	}
	if c.rarelyCalls(unit) {
		cost = cost/10 + host.preference/20
	}
	finish := unit.latency * float64(host.inFlight+1) / msg.class.Aim.Seconds()
	cost += max(0, finish-0.25) + finish/100
	if host == msg.lastHost || unit.state != healthy || host.failures > 0 {
		cost += avoidancePenalty
	}
	if c.now < host.avoidUntil {
		cost++
	}
	return cost
}
