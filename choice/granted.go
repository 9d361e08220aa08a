package choice

// Calls on grants: what this relay could use of them is told, those that it has are kept until they are used or
// lapse, and what became of each is told. Which call goes on one is decided where it ever was.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// lookAgain is how often a want is looked at again while it waits: messages grow old.
const wantInterval = 250 * time.Millisecond

// grant is leave for one call.
type callGrant struct {
	id         uint32
	expiresAt  time.Duration
	outcome    Outcome // of the call's messages so far
	ended      bool    // one of them has ended
	retryAfter time.Duration
}

// granted takes in a grant. One for a route that is not known is given back.
func (c *Chooser) applyGrant(granted Granted) {
	dest := c.destinations[granted.Dest]
	unitIndex := -1
	if dest != nil {
		unitIndex = slices.IndexFunc(dest.units, func(unit *healthUnit) bool { return unit.key == granted.Route })
	}
	if unitIndex < 0 {
		c.emit(Spent{Dest: granted.Dest, Route: granted.Route, Grant: granted.Grant, Outcome: NotSent})
		return
	}
	unit := dest.units[unitIndex]
	if granted.Well && unit.state != healthy && !slices.ContainsFunc(dest.hosts, func(host *endpoint) bool { return host.unit == unit && c.now < host.avoidUntil }) {
		unit.state, unit.stateSince, unit.mayHaveRun, unit.sawErrors, unit.recentFailures, unit.unsuccessful = healthy, c.now, false, false, 0, 0
		c.emit(Health{unit.name, false, 0})
	}
	unit.grants = append(unit.grants, callGrant{id: granted.Grant, expiresAt: c.now + granted.For})
	c.nextGrantExpiry = min(c.nextGrantExpiry, c.now+granted.For)
	c.markDirty(dest)
}

// leaveAt is when a call may go to a unit that may be sent to from a time: then if there is a grant for it.
func (u *healthUnit) grantedAt(at time.Duration) time.Duration {
	if len(u.grants) > 0 {
		return at
	}
	return never
}

// lapse gives back the grants that were not used in time.
func (c *Chooser) returnExpiredGrants() {
	if c.now < c.nextGrantExpiry {
		return
	}
	c.nextGrantExpiry = never
	for _, id := range slices.Sorted(maps.Keys(c.destinations)) { // the same events give the same actions
		dest := c.destinations[id]
		for _, unit := range dest.units {
			unit.grants = slices.DeleteFunc(unit.grants, func(grant callGrant) bool {
				if c.now < grant.expiresAt {
					c.nextGrantExpiry = min(c.nextGrantExpiry, grant.expiresAt)
					return false
				}
				c.emit(Spent{Dest: dest.id, Route: unit.key, Grant: grant.id, Outcome: NotSent})
				c.markDirty(dest)
				return true
			})
		}
	}
}

// spend has a call go on the grant that lapses first.
func (c *Chooser) useGrant(call *outboundCall) {
	if unit := call.host.unit; len(unit.grants) > 0 {
		grant := unit.grants[0]
		unit.grants = slices.Delete(unit.grants, 0, 1)
		call.grant = &grant
	}
}

// report takes in how one message of a call ended, and tells of the call once all have. It was served if one of
// them was.
func (c *Chooser) reportGrant(call *outboundCall, result Result) {
	grant := call.grant
	if result.Outcome == Served || result.Outcome == Refused {
		call.host.lastAnsweredAt = c.now
	}
	if grant == nil {
		return
	}
	if !grant.ended || result.Outcome == Served {
		grant.outcome = result.Outcome
	}
	grant.ended, grant.retryAfter = true, max(grant.retryAfter, result.Wait)
	if len(call.messages) == 0 {
		unit := call.host.unit
		c.emit(Spent{Dest: call.host.dest.id, Route: unit.key, Grant: grant.id, Outcome: grant.outcome, Took: result.Took, Wait: grant.retryAfter})
	}
}

// want works out what could go to a destination, and when to do so again.
func (c *Chooser) updateWant(dest *destination) (again time.Duration) {
	want := Want{Dest: dest.id}
	again = never
	if dest.queued > 0 && c.now >= dest.demandSince {
		again = c.now + wantInterval
		var open []*endpoint
		for _, host := range dest.hosts {
			if at := max(host.unit.retryAfterUntil, host.unit.backoffUntil); host.State == Ready && at > c.now {
				again = min(again, at)
			} else if host.State == Ready && slices.ContainsFunc(dest.groups, func(group *messageGroup) bool { return c.eligible(group, host) }) {
				open = append(open, host)
			}
		}
		if msg := c.bestMessage(dest, open); msg != nil {
			slices.SortStableFunc(open, func(a, b *endpoint) int { return cmp.Compare(c.routeCost(msg, a), c.routeCost(msg, b)) })
			live := 0
			for _, host := range open {
				if !slices.Contains(want.Routes, host.unit.key) {
					want.Routes = append(want.Routes, host.unit.key)
					live += len(host.unit.grants)
				}
			}
			want.Calls = max(0, min(c.cfg.Workers, (dest.queued+dest.kind.PerCall-1)/dest.kind.PerCall)-live)
			// Between worth and one for each message: the worst-served class counts for itself as well.
			want.Value = math.Sqrt(c.value(msg.class, c.now-msg.createdAt)+c.priorityBonus(msg)) * float64(min(dest.queued, dest.kind.PerCall))
		}
	}
	if want.Calls == 0 {
		want.Value, want.Routes = 0, nil
	}
	if want.Calls == dest.lastWant.Calls && slices.Equal(want.Routes, dest.lastWant.Routes) &&
		math.Abs(want.Value-dest.lastWant.Value) <= 0.1*dest.lastWant.Value {
		return again
	}
	if dest.lastWant = want; !dest.wantChanged {
		dest.wantChanged, c.changedWants = true, append(c.changedWants, dest)
	}
	return again
}

// fits tells whether a message of a group may go to a host by all but grants and waits.
func (c *Chooser) eligible(group *messageGroup, host *endpoint) bool {
	oldest, ok := group.messages.Min()
	return ok && group.keyAllows && c.now-oldest.createdAt > c.eligibleAge(group, host)
}

// ask tells the wants that have changed; while all slots are taken it waits, as a grant could not be used.
func (c *Chooser) emitWants() {
	if !c.cfg.Granted || c.callsInFlight >= c.cfg.Workers {
		return
	}
	for _, dest := range c.changedWants {
		dest.wantChanged = false
		c.emit(dest.lastWant)
	}
	c.changedWants = c.changedWants[:0]
}
