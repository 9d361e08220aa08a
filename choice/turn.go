package choice

// Scheduling: which message is sent next, and to which endpoint.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// avoidancePenalty is the cost, in units of value, of a host that just failed or is not yet healthy.
const avoidancePenalty = 0.02

// anyAge is an eligible age that every message is past.
const anyAge = -never

// fillSlots sends messages while slots are free: the destination with the fewest calls in flight goes first.
// One destination has at most three quarters of the slots, and at most half while others could use them.
func (c *Chooser) fillSlots() {
	c.evaluateDirty()
	maxShare := max(1, (3*c.cfg.Workers+3)/4-1)
	crowdedShare := max(1, c.cfg.Workers/2)
	var full []*destination
	for c.callsInFlight < c.cfg.Workers {
		dest, ok := c.ready.Min()
		last := len(full) - 1
		if !ok && last >= 0 && full[last].inFlight < maxShare { // all others have sent what they could
			c.ready.Set(full[last])
			full = full[:last]
			continue
		}
		if !ok {
			break
		}
		limit := maxShare
		if c.ready.Len() > 1 {
			limit = crowdedShare
		}
		switch {
		case dest.inFlight >= limit:
			c.ready.Remove(dest)
			full = append(full, dest)
		case c.sendNext(dest):
			c.evaluate(dest)
		default: // guards against an endless loop: a destination that is ready can be sent to
			c.ready.Remove(dest)
		}
	}
	c.dirty = c.dirty[:0] // the destinations sent to have been evaluated
	if c.cfg.Cancels && c.callsInFlight >= c.cfg.Workers && c.ready.Len()+len(full) > 0 {
		c.cancelStuckCall()
	}
	for _, dest := range full {
		c.ready.Set(dest)
	}
}

// evaluateDirty evaluates the destinations with an event since their last evaluation, or with one that is
// due.
func (c *Chooser) evaluateDirty() {
	for dest, ok := c.evaluations.Min(); ok && dest.evaluateAt <= c.now; dest, ok = c.evaluations.Min() {
		c.evaluations.Remove(dest)
		c.markDirty(dest)
	}
	for _, dest := range c.dirty {
		c.evaluate(dest)
	}
	c.dirty = c.dirty[:0]
}

// compareSendOrder orders destinations that could be sent to. Trials go last, so that the slots of a small
// relay do not fill with calls that may hang, except trials that are long overdue.
func compareSendOrder(a, b sendOrder) int {
	if a.onTrial != b.onTrial {
		if b.onTrial {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.inFlight, b.inFlight), cmp.Compare(a.lastSentAt, b.lastSentAt))
}

// evaluate determines whether a destination can be sent to now, and when that may change without an event.
func (c *Chooser) evaluate(dest *destination) {
	if dest.queued == 0 || c.now < dest.demandSince {
		c.reschedule(dest, false, sendOrder{}, dest.demandSince)
		return
	}
	c.updateRateLimits(dest)
	ready, evaluateAt := false, never
	for _, host := range dest.hosts {
		if host.State != Ready {
			continue
		}
		if at := c.sendableAt(host.unit); at > c.now {
			evaluateAt = min(evaluateAt, at)
			continue
		}
		for _, group := range dest.groups {
			if msg, ok := group.messages.Min(); ok && group.keyAllows {
				if age := c.eligibleAge(group, host); c.now-msg.createdAt > age {
					ready = true
				} else if age < never {
					evaluateAt = min(evaluateAt, msg.createdAt+age+1)
				}
			}
		}
	}
	overdueAt := c.trialOverdueAt(dest)
	if ready && overdueAt > c.now {
		evaluateAt = min(evaluateAt, overdueAt)
	}
	c.reschedule(dest, ready, sendOrder{overdueAt > c.now, dest.inFlight, dest.lastSentAt}, evaluateAt)
}

// trialOverdueAt returns the time from which a destination on trial goes before others again; now if one of
// its units is not suspect.
func (c *Chooser) trialOverdueAt(dest *destination) time.Duration {
	at := never
	for _, unit := range dest.units {
		if unit.state != suspect {
			return c.now
		}
		at = min(at, unit.nextTrialAt+c.cfg.Rules.Fall+1)
	}
	return at
}

// cancelStuckCall frees a slot while all are taken and a message is queued for one, as a guard against calls
// that never get a response. It cancels the oldest of the stuck calls, one at a time. A message that is not
// idempotent is lost by it: its call gets twice the unresponsive time-out while at most half of the slots
// have stuck calls.
func (c *Chooser) cancelStuckCall() {
	isUnsafe := func(msg *message) bool { return msg.class.Effect == Unsafe }
	stuck, ok := c.stuckCalls()
	if !ok {
		return
	}
	slices.SortFunc(stuck, func(a, b *outboundCall) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, call := range stuck {
		unsafe := slices.ContainsFunc(call.messages, isUnsafe)
		unsafeDeadline := call.sentAt + 2*c.unresponsiveTimeout(call.host.dest)
		if unsafe && 2*len(stuck) <= c.cfg.Workers && c.now < unsafeDeadline {
			c.watchAt = min(c.watchAt, unsafeDeadline)
			continue
		}
		call.cancelled = true
		for _, msg := range call.messages {
			c.emit(Cancel{msg.ID, msg.attempts - 1})
		}
		return
	}
}

// stuckCalls returns the calls in flight beyond their time-out; not ok if a call is being cancelled already.
func (c *Chooser) stuckCalls() (stuck []*outboundCall, ok bool) {
	for _, dest := range c.calling {
		for _, unit := range dest.units {
			for _, call := range unit.inFlight {
				if call.cancelled {
					return nil, false
				}
				timeout := c.stuckTimeout(dest, unit, call)
				if c.now-call.sentAt > timeout {
					stuck = append(stuck, call)
				} else {
					c.watchAt = min(c.watchAt, call.sentAt+timeout+1)
				}
			}
		}
	}
	return stuck, true
}

// stuckTimeout returns the time after which a call may be cancelled: the unresponsive time-out of its
// destination, half of it while more than half of the capacity is taken, twice if the unit has served others
// since, times the number of attempts, so that slow calls complete in the end.
func (c *Chooser) stuckTimeout(dest *destination, unit *healthUnit, call *outboundCall) time.Duration {
	timeout := c.unresponsiveTimeout(dest)
	if c.cfg.MaxHeld > 0 && 2*c.pending > c.cfg.MaxHeld {
		timeout /= 2
	}
	if unit.lastServed >= call.sentAt {
		timeout *= 2
	}
	return timeout * time.Duration(call.messages[0].attempts)
}

// sendNext sends the best message of a destination, and others with it in the same call. It reports whether
// there was one.
func (c *Chooser) sendNext(dest *destination) bool {
	c.updateRateLimits(dest)
	msg, host := c.chooseSend(dest)
	if msg == nil {
		return false
	}
	unit := host.unit
	call := c.openCall(dest, host)
	c.send(msg, call)
	for len(call.messages) < dest.kind.PerCall && unit.state != suspect {
		msg := c.bestMessage(dest, append(c.openHosts[:0], host))
		if msg == nil {
			break
		}
		c.send(msg, call)
	}
	if len(call.messages) > 1 {
		unit.sendTimes = append(unit.sendTimes, c.now) // all further messages weigh as much as one more call
	}
	c.scheduleWatch(max(call.sentAt, unit.lastServed), dest)
	return true
}

// openCall takes a slot, a token and, if needed, a grant for a call to a host.
func (c *Chooser) openCall(dest *destination, host *endpoint) *outboundCall {
	unit := host.unit
	c.callSequence++
	call := &outboundCall{sequence: c.callSequence, host: host, sentAt: c.now}
	c.callsInFlight, dest.inFlight, host.inFlight = c.callsInFlight+1, dest.inFlight+1, host.inFlight+1
	dest.lastSentAt = c.now
	if !dest.listedCalling {
		dest.listedCalling, c.calling = true, append(c.calling, dest)
	}
	old, _ := slices.BinarySearch(unit.sendTimes, c.now-max(c.cfg.Rules.Cold, time.Second))
	unit.inFlight, unit.sendTimes = append(unit.inFlight, call), append(unit.sendTimes[old:], c.now)
	unit.tokens--
	if unit.state == suspect {
		timeout := c.unresponsiveTimeout(dest) << min(unit.failedTrials, 4)
		unit.nextTrialAt = c.now + timeout + c.trialBackoff(unit)
	}
	c.useGrant(call)
	return call
}

// send starts the next attempt of a message as part of a call.
func (c *Chooser) send(msg *message, call *outboundCall) {
	msg.lastTimeout = c.attemptTimeout(msg, call.host.unit)
	c.dequeue(msg)
	msg.attempts++
	msg.call = call
	call.messages = append(call.messages, msg)
	c.emit(Send{msg.ID, call.host.Addr, msg.lastTimeout})
}

// eligibleAge returns the age that messages of a group must be past to go to a host, limits of its unit
// aside; never if none may go there.
func (c *Chooser) eligibleAge(group *messageGroup, host *endpoint) time.Duration {
	if host.State != Ready || group.zone != anyZone && group.zone != host.Zone {
		return never
	}
	// Messages that must not be retried are kept from a unit whose failed calls may have run until it has
	// served a few others, unless their deadline is near.
	unit, class := host.unit, &c.cfg.Classes[group.class]
	proven := unit.state == healthy || !unit.mayHaveRun ||
		unit.state == recovering && (!unit.sawErrors || unit.servedStreak >= outcomeHistory)
	if proven || class.Effect != Unsafe {
		return anyAge
	}
	return class.Deadline - class.Deadline/4
}

// waitingLoss returns the value that a message of a class loses if it waits longer at an age. It is zero up
// to the latency target, rises until the target has passed, then falls or is constant; from where the wait
// crosses the deadline it is all the value that is left, which falls again.
func (c *Chooser) waitingLoss(class *Class, age, wait time.Duration) float64 {
	if !c.cfg.Halving && age > class.Aim && age+wait < class.Deadline {
		return class.Worth * (1 - class.LateShare) * wait.Seconds() / (class.Deadline - class.Aim).Seconds()
	}
	return c.value(class, age) - c.value(class, age+wait)
}

// expectedWait returns the time for which a message of a destination that is not sent now is expected to
// wait: that in which the backlog is served.
func (c *Chooser) expectedWait(dest *destination) time.Duration {
	rate := 0.0
	for _, unit := range dest.units {
		rate += unit.servedRate
	}
	wait := c.minTarget
	if rate > 0 {
		wait = time.Duration(min(float64(dest.queued)/rate, 1e9) * float64(time.Second))
	}
	return min(max(wait, c.minTarget/8), 4*c.maxTimeout)
}

// bestMessage returns the message that loses most value by waiting, among those that may go to one of the
// hosts; nil if there is none. Within a group only messages next to an age at which the slope of the loss
// changes can be the best, so only these are considered.
func (c *Chooser) bestMessage(dest *destination, hosts []*endpoint) *message {
	wait := c.expectedWait(dest)
	var best *message
	maxLoss := math.Inf(-1)
	consider := func(msg *message, minAge time.Duration) {
		if c.now-msg.createdAt <= minAge {
			return
		}
		loss := c.waitingLoss(msg.class, c.now-msg.createdAt, wait) + c.priorityBonus(msg)
		if best == nil || loss > maxLoss || loss == maxLoss && earlierDeadline(msg, best) {
			best, maxLoss = msg, loss
		}
	}
	for _, group := range dest.groups {
		oldest, ok := group.messages.Min()
		minAge := never
		for _, host := range hosts {
			minAge = min(minAge, c.eligibleAge(group, host))
		}
		if !ok || !group.keyAllows || c.now-oldest.createdAt <= minAge {
			continue
		}
		consider(oldest, minAge)
		class := &c.cfg.Classes[group.class]
		for _, age := range [...]time.Duration{
			max(minAge, -class.Deadline), class.Aim - wait, class.Aim, class.Deadline - wait} {
			if msg, ok := c.oldestWithin(group, age); ok {
				consider(msg, minAge)
			}
			if msg, ok := c.youngestPast(group, age); ok {
				consider(msg, minAge)
			}
		}
	}
	return best
}

// chooseSend chooses a message of a destination and the host with the least cost for it.
func (c *Chooser) chooseSend(dest *destination) (*message, *endpoint) {
	c.openHosts = c.openHosts[:0]
	for _, host := range dest.hosts {
		if host.State == Ready && c.sendableAt(host.unit) <= c.now {
			c.openHosts = append(c.openHosts, host)
		}
	}
	msg := c.bestMessage(dest, c.openHosts)
	var best *endpoint
	minCost := math.Inf(1)
	for _, host := range c.openHosts {
		if msg == nil || c.now-msg.createdAt <= c.eligibleAge(msg.group, host) {
			continue
		}
		if cost := c.routeCost(msg, host); cost < minCost {
			best, minCost = host, cost
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
	if c.rarelyCalls(unit) && !c.cfg.Granted {
		cost = cost/10 + host.preference/20
	}
	finish := unit.latency * float64(host.inFlight+1) / msg.class.Aim.Seconds()
	cost += max(0, finish-0.25) + finish/100
	if c.cfg.Granted && !c.hasWarmConnection(host) {
		cost += c.cfg.Handshake
	}
	if host == msg.lastHost || unit.state != healthy || host.failures > 0 {
		cost += avoidancePenalty
	}
	if c.now < host.avoidUntil {
		cost++
	}
	return cost
}
