package choice

// The turn: what goes next, and where.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// aside is the share of worth by which a host that just failed, or is not yet well, comes later.
const avoidancePenalty = 0.02

// anyAge is past by any age.
const anyAge = -never

// turn fills the free slots: the destination with the fewest calls out goes first.
func (c *Chooser) fillSlots() {
	for dest, ok := c.looks.Min(); ok && dest.nextLookAt <= c.now; dest, ok = c.looks.Min() {
		c.looks.Remove(dest)
		c.markDirty(dest)
	}
	for _, dest := range c.dirty {
		c.evaluate(dest)
	}
	c.dirty = c.dirty[:0]
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
		default: // it guards against asking for ever: what was ready can be sent
			c.ready.Remove(dest)
		}
	}
	c.dirty = c.dirty[:0] // those sent to have been looked at
	if c.cfg.Cancels && c.callsInFlight >= c.cfg.Workers && c.ready.Len()+len(full) > 0 {
		c.cancelStuckCall()
	}
	for _, dest := range full {
		c.ready.Set(dest)
	}
}

// byTurn is the order of destinations that could be sent to. Trials go last, lest a small relay's slots fill
// with calls that may hang; those long due do not.
func compareSendOrder(a, b sendOrder) int {
	if a.onTrial != b.onTrial {
		if b.onTrial {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.inFlight, b.inFlight), cmp.Compare(a.lastSentAt, b.lastSentAt))
}

// look finds out whether a destination may be sent to now, and when that may change by itself.
func (c *Chooser) evaluate(dest *destination) {
	if dest.queued == 0 || c.now < dest.demandSince {
		c.reschedule(dest, false, sendOrder{}, dest.demandSince)
		return
	}
	c.updateRateLimits(dest)
	ready, nextLook, trialAt := false, never, never
	for _, host := range dest.hosts {
		if host.State != Ready {
			continue
		}
		if at := c.sendableAt(host.unit); at > c.now {
			nextLook = min(nextLook, at)
			continue
		}
		for _, group := range dest.groups {
			if msg, ok := group.messages.Min(); ok && group.keyAllows {
				if age := c.eligibleAge(group, host); c.now-msg.createdAt > age {
					ready = true
				} else if age < never {
					nextLook = min(nextLook, msg.createdAt+age+1)
				}
			}
		}
	}
	for _, unit := range dest.units {
		if unit.state != suspect {
			trialAt = c.now
			break
		}
		trialAt = min(trialAt, unit.nextTrialAt+c.cfg.Rules.Fall+1)
	}
	if ready && trialAt > c.now {
		nextLook = min(nextLook, trialAt)
	}
	c.reschedule(dest, ready, sendOrder{trialAt > c.now, dest.inFlight, dest.lastSentAt}, nextLook)
}

// callOff frees a slot while all are taken and a message waits for one: the oldest call out beyond its
// destination's patience, twice that if the unit has served others since, and as often as it was tried, so
// that slow ones are served in the end. It guards against calls that nobody will answer. An unsafe message
// is lost by it: twice the patience while such calls hold no more than half of the slots. Half the room
// taken halves the patience.
func (c *Chooser) cancelStuckCall() {
	var stuck []*outboundCall
	for _, dest := range c.calling {
		for _, unit := range dest.units {
			for _, call := range unit.inFlight {
				if call.cancelled {
					return // one at a time
				}
				patience := c.unresponsiveTimeout(dest)
				if c.cfg.MaxHeld > 0 && 2*c.pending > c.cfg.MaxHeld {
					patience /= 2
				}
				if unit.lastServed >= call.sentAt {
					patience *= 2
				}
				patience *= time.Duration(call.messages[0].attempts)
				if c.now-call.sentAt > patience {
					stuck = append(stuck, call)
				} else {
					c.watchAt = min(c.watchAt, call.sentAt+patience+1)
				}
			}
		}
	}
	slices.SortFunc(stuck, func(a, b *outboundCall) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, call := range stuck {
		unsafe := slices.ContainsFunc(call.messages, func(msg *message) bool { return msg.class.Effect == Unsafe })
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

// sendOne sends the best message of a destination, and others along in the same call.
func (c *Chooser) sendNext(dest *destination) bool {
	c.updateRateLimits(dest)
	msg, host := c.chooseSend(dest)
	if msg == nil {
		return false
	}
	unit := host.unit
	c.callSequence++
	call := &outboundCall{sequence: c.callSequence, host: host, sentAt: c.now}
	c.callsInFlight, dest.inFlight, host.inFlight, dest.lastSentAt = c.callsInFlight+1, dest.inFlight+1, host.inFlight+1, c.now
	if !dest.listedCalling {
		dest.listedCalling, c.calling = true, append(c.calling, dest)
	}
	old, _ := slices.BinarySearch(unit.sendTimes, c.now-max(c.cfg.Rules.Cold, time.Second))
	unit.inFlight, unit.sendTimes = append(unit.inFlight, call), append(unit.sendTimes[old:], c.now)
	unit.tokens--
	if unit.state == suspect {
		unit.nextTrialAt = c.now + c.unresponsiveTimeout(dest)<<min(unit.failedTrials, 4) + c.trialBackoff(unit)
	}
	c.useGrant(call)
	c.send(msg, call)
	for len(call.messages) < dest.kind.PerCall && unit.state != suspect {
		msg := c.bestMessage(dest, append(c.openHosts[:0], host))
		if msg == nil {
			break
		}
		c.send(msg, call)
	}
	if len(call.messages) > 1 {
		unit.sendTimes = append(unit.sendTimes, c.now) // further messages weigh a little: counted as one more call
	}
	c.scheduleWatch(max(call.sentAt, unit.lastServed), dest)
	return true
}

func (c *Chooser) send(msg *message, call *outboundCall) {
	msg.lastTimeout = c.attemptTimeout(msg, call.host.unit)
	c.dequeue(msg)
	msg.attempts++
	msg.call = call
	call.messages = append(call.messages, msg)
	c.emit(Send{msg.ID, call.host.Addr, msg.lastTimeout})
}

// fitAge is the age that messages of a group must be past to go to a host, room in its unit apart; never if
// none may go there.
func (c *Chooser) eligibleAge(group *messageGroup, host *endpoint) time.Duration {
	if host.State != Ready || group.zone != anyZone && group.zone != host.Zone {
		return never
	}
	// What cannot be repeated is kept from a unit whose failures may have run until it has served
	// a few, unless its own time runs short.
	unit, class := host.unit, &c.cfg.Classes[group.class]
	proven := unit.state == healthy || !unit.mayHaveRun || unit.state == recovering && (!unit.sawErrors || unit.servedStreak >= outcomeHistory)
	if proven || class.Effect != Unsafe {
		return anyAge
	}
	return class.Deadline - class.Deadline/4
}

// loss is what a message of a class loses if it waits a while longer at an age. It is nothing up to the aim,
// then rises until the aim has passed, then falls or stays; where the deadline comes into reach it is all
// that is left, which falls again.
func (c *Chooser) waitingLoss(class *Class, age, wait time.Duration) float64 {
	if !c.cfg.Halving && age > class.Aim && age+wait < class.Deadline {
		return class.Worth * (1 - class.LateShare) * wait.Seconds() / (class.Deadline - class.Aim).Seconds()
	}
	return c.value(class, age) - c.value(class, age+wait)
}

// best is the message that loses most by waiting, among those that may go to one of some hosts. Within a
// group it is next to an age at which the course of the loss changes.
func (c *Chooser) bestMessage(dest *destination, hosts []*endpoint) *message {
	rate := 0.0
	for _, unit := range dest.units {
		rate += unit.servedRate
	}
	wait := c.minTarget
	if rate > 0 {
		wait = time.Duration(min(float64(dest.queued)/rate, 1e9) * float64(time.Second))
	}
	wait = min(max(wait, c.minTarget/8), 4*c.maxTimeout)
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

// pick chooses a message of a destination and a host for it.
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
		if msg != nil && c.now-msg.createdAt > c.eligibleAge(msg.group, host) && c.routeCost(msg, host) < minCost {
			best, minCost = host, c.routeCost(msg, host)
		}
	}
	return msg, best
}

// cost of a route in shares of worth: its fee, and what its pace and its calls out take of the aim.
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
