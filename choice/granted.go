package choice

// Calls under a fleet-wide rate limit: Wants state the demand of this relay, grants are kept until they are
// used or expire, and Spent reports the outcome of each. Which call uses a grant is decided in turn.go.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// wantInterval is the time after which a want is updated without an event, since values change with age.
const wantInterval = 250 * time.Millisecond

// callGrant is a permission for one call.
type callGrant struct {
	id         uint32
	expiresAt  time.Duration
	outcome    Outcome       // of the call's messages so far: Served if one was served
	ended      bool          // one of them has ended
	retryAfter time.Duration // the longest of them
}

// applyGrant adds a grant to its unit. One for an unknown route is returned.
func (c *Chooser) applyGrant(granted Granted) {
	dest := c.destinations[granted.Dest]
	unitIndex := -1
	if dest != nil {
		byRoute := func(unit *healthUnit) bool { return unit.key == granted.Route }
		unitIndex = slices.IndexFunc(dest.units, byRoute)
	}
	if unitIndex < 0 {
		c.emit(Spent{Dest: granted.Dest, Route: granted.Route, Grant: granted.Grant, Outcome: NotSent})
		return
	}
	unit := dest.units[unitIndex]
	avoided := func(host *endpoint) bool { return host.unit == unit && c.now < host.avoidUntil }
	if granted.Well && unit.state != healthy && !slices.ContainsFunc(dest.hosts, avoided) {
		unit.state, unit.stateSince, unit.mayHaveRun, unit.sawErrors = healthy, c.now, false, false
		unit.recentFailures, unit.unsuccessful = 0, 0
		c.emit(Health{unit.name, false, 0})
	}
	unit.grants = append(unit.grants, callGrant{id: granted.Grant, expiresAt: c.now + granted.For})
	c.nextGrantExpiry = min(c.nextGrantExpiry, c.now+granted.For)
	c.markDirty(dest)
}

// grantedAt returns the time at if the unit has a grant, else never.
func (u *healthUnit) grantedAt(at time.Duration) time.Duration {
	if len(u.grants) > 0 {
		return at
	}
	return never
}

// returnExpiredGrants returns the grants that were not used in time, in the order of destinations.
func (c *Chooser) returnExpiredGrants() {
	if c.now < c.nextGrantExpiry {
		return
	}
	c.nextGrantExpiry = never
	for _, id := range slices.Sorted(maps.Keys(c.destinations)) { // a fixed order, for determinism
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

// useGrant assigns the oldest grant of its unit, if any, to a call.
func (c *Chooser) useGrant(call *outboundCall) {
	if unit := call.host.unit; len(unit.grants) > 0 {
		grant := unit.grants[0]
		unit.grants = slices.Delete(unit.grants, 0, 1)
		call.grant = &grant
	}
}

// reportGrant records the outcome of one message of a call, and reports the grant with the last one. The call
// counts as served if one of its messages was.
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
		c.emit(Spent{Dest: call.host.dest.id, Route: unit.key, Grant: grant.id, Outcome: grant.outcome,
			Took: result.Took, Wait: grant.retryAfter})
	}
}

// updateWant updates the Want of a destination and returns when to update it again without an event.
func (c *Chooser) updateWant(dest *destination) (again time.Duration) {
	want := Want{Dest: dest.id}
	again = never
	if dest.queued > 0 && c.now >= dest.demandSince {
		var open []*endpoint
		open, again = c.wantedHosts(dest)
		if msg := c.bestMessage(dest, open); msg != nil {
			want = c.wantFor(msg, open)
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

// wantedHosts returns the hosts of a destination that queued messages could be sent to with a grant, and when
// to look at them again.
func (c *Chooser) wantedHosts(dest *destination) (open []*endpoint, again time.Duration) {
	again = c.now + wantInterval
	for _, host := range dest.hosts {
		eligible := func(group *messageGroup) bool { return c.eligible(group, host) }
		if at := max(host.unit.retryAfterUntil, host.unit.backoffUntil); host.State == Ready && at > c.now {
			again = min(again, at)
		} else if host.State == Ready && slices.ContainsFunc(dest.groups, eligible) {
			open = append(open, host)
		}
	}
	return open, again
}

// wantFor returns the Want of a destination whose best message is msg. It sorts the hosts by cost.
func (c *Chooser) wantFor(msg *message, open []*endpoint) Want {
	dest := msg.dest
	want := Want{Dest: dest.id}
	slices.SortStableFunc(open, func(a, b *endpoint) int {
		return cmp.Compare(c.routeCost(msg, a), c.routeCost(msg, b))
	})
	unused := 0
	for _, host := range open {
		if !slices.Contains(want.Routes, host.unit.key) {
			want.Routes = append(want.Routes, host.unit.key)
			unused += len(host.unit.grants)
		}
	}
	want.Calls = max(0, min(c.cfg.Workers, (dest.queued+dest.kind.PerCall-1)/dest.kind.PerCall)-unused)
	// The square root is between the value and a count of messages: the class that is served worst counts by
	// itself.
	perMessage := math.Sqrt(c.value(msg.class, c.now-msg.createdAt) + c.priorityBonus(msg))
	want.Value = perMessage * float64(min(dest.queued, dest.kind.PerCall))
	return want
}

// eligible reports whether a message of a group may go to a host, grants and waits aside.
func (c *Chooser) eligible(group *messageGroup, host *endpoint) bool {
	oldest, ok := group.messages.Min()
	return ok && group.keyAllows && c.now-oldest.createdAt > c.eligibleAge(group, host)
}

// emitWants emits the wants that have changed, but none while all slots are taken, since a grant could not be
// used.
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
