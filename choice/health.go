package choice

// Health, pacing and waits.

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// outage of the last history outcomes of a unit must have failed: one stray error is none.
	history, outage = 5, 2
	budgetShare     = 0.9 // of the rule's budget for a cold destination
)

// bad takes in a failure or a refusal.
func (c *Chooser) bad(u *unit) {
	u.streak = 0
	u.bad++
	if u.state == suspect {
		u.trials++
		u.trialAt = c.now + c.gap(u)
	}
}

// failed takes in a failure. It is held against the host alone while another of its unit is well: that
// guards against the loss of one building, and of one machine among several.
func (c *Chooser) failed(h *host, o Outcome) {
	u, d := h.unit, h.dest
	h.fails++
	h.retryAt = c.now + min(c.set.Rules.Fall/8<<min(h.fails, 3), c.set.Rules.Fall/3)
	well := func(g *host) bool { return g.unit == u && g.State == Ready && g.fails == 0 }
	if slices.ContainsFunc(d.hosts, well) {
		return
	}
	c.bad(u)
	u.risky = u.risky || o != NoConnection
	u.errors = u.errors || o == Error
	u.note(true)
	alone := c.thin(u) && c.now-u.lastServed > c.set.Rules.Fall // nothing here speaks against an outage
	if u.state != suspect && (alone || bits.OnesCount(u.recent) >= outage) {
		c.suspect(u, d, "failures")
	}
}

// note remembers whether the last outcome was a failure.
func (u *unit) note(failed bool) {
	u.recent = u.recent << 1 & (1<<history - 1)
	if failed {
		u.recent |= 1
	}
}

// budget is this relay's share of the calls that the rule allows in its window, a while after a return.
func (c *Chooser) budget(u *unit, back time.Duration) float64 {
	rate := u.listed
	if rate == 0 {
		rate = u.base * float64(c.set.Fleet)
	}
	k := c.set.Rules
	share := min(1, k.ColdFrom+(1-k.ColdFrom)*back.Seconds()/k.Cold.Seconds())
	return budgetShare * k.OverloadFactor * share * rate * k.Fall.Seconds() / float64(c.set.Fleet)
}

// gap between trials, drawn by chance: it doubles up to a third of the rule's window, or to what leaves the
// trials of all relays within twice the budget of a unit just back. In a large fleet each relay tries for
// itself, and those that failed just before the return would come at once: there it is long from the start.
func (c *Chooser) gap(u *unit) time.Duration {
	fall := c.set.Rules.Fall
	longest := max(fall/3, min(2*c.set.Rules.Cold, time.Duration(float64(fall)/(2*c.budget(u, 0)))))
	gap := min(fall/8<<min(u.trials, 6), longest)
	if c.thin(u) {
		gap = longest
	}
	return gap/2 + time.Duration(c.rand.Float64()*float64(gap))
}

func (c *Chooser) suspect(u *unit, d *dest, why string) {
	if u.state == healthy {
		u.base = max(c.flow(u), 1/c.set.Rules.Cold.Seconds())
	}
	c.log("destination %d unit %s suspect: %s", d.id, u.name, why)
	u.state, u.since, u.why, u.trials, u.streak = suspect, c.now, why, 0, 0
	u.trialAt = c.now + c.gap(u)
	c.act(Health{u.name, true, u.base})
}

// refused takes in a refusal: a wait if one was told, a pause of its own and a lower pace if not.
func (c *Chooser) refused(u *unit, d *dest, wait time.Duration) {
	c.bad(u)
	u.waitUntil = max(u.waitUntil, c.now+wait)
	if c.set.Granted { // whoever gives the grants hears of it
		return
	}
	u.pauseUntil = max(c.now, u.waitUntil)
	if wait <= 0 || c.thin(u) {
		u.pauseUntil += c.spread(u, d, u.bad-1)
	}
	if d.refused > 0 {
		*d.luck -= *d.luck / 16
	}
	if d.refused++; d.refused >= len(d.units) && c.thin(u) {
		c.pause(d, c.now+2*c.spread(u, d, d.refused-len(d.units)))
	}
	if c.now-u.cutAt >= time.Second && !c.thin(u) {
		// Over at least the even share of a call, or the refused call alone counts as more than its share.
		span := min(max(time.Second, c.even(u)), c.set.Rules.Cold)
		own := c.sent(u, span) / span.Seconds()
		if flow := c.flow(u); flow > brisk { // one refusal in a lull says little of what it takes
			own = max(own, flow)
		}
		if u.limit == 0 || own < u.limit {
			u.limit = own
		}
		u.limit = max(u.limit*cut, 1/c.set.Rules.Cold.Seconds(), u.listed/float64(c.set.Fleet)/2)
		u.cutAt, u.tokens = c.now, max(-u.limit/2, min(u.tokens, 0)) // calls without a limit are no debt
	}
	// Refusals alone, for longer than a limit explains, are those of a shut destination.
	fall := c.set.Rules.Fall
	if u.state == healthy && (wait > 2*fall/3 || u.bad > 6 && c.now-u.lastServed >= fall) {
		c.suspect(u, d, "refusals only")
	}
}

// spread is a pause drawn by chance, so that relays do not come back in step. It doubles with each step up
// to the even share of a call, sooner the fewer calls after a refusal are served at this kind: where refused
// calls use up the limit, retries alone can keep it shut. It may harm where refusals come by chance.
func (c *Chooser) spread(u *unit, d *dest, step int) time.Duration {
	pause := (c.minAim / 4).Seconds() * math.Exp2(float64(min(step, 10))) / math.Pow(2*(*d.luck), 3)
	return time.Duration(min(pause, c.even(u).Seconds()) * (0.5 + c.rand.Float64()) * float64(time.Second))
}

func (c *Chooser) served(u *unit, d *dest, took time.Duration) {
	if u.pace == 0 {
		u.pace = took.Seconds()
	}
	u.pace += (took.Seconds() - u.pace) / 8
	cold := c.set.Rules.Cold.Seconds()
	u.served = u.served*math.Exp(-(c.now-u.lastServed).Seconds()/cold) + 1/cold
	short := u.bad == 0 || !u.errors && c.now-u.lastServed < c.set.Rules.Fall
	u.lastServed, u.bad = c.now, 0
	u.streak++
	u.note(false)
	switch {
	case u.state == healthy && u.recent == 0:
		u.risky, u.errors = false, false
	case u.state == suspect && short:
		u.state, u.since, u.risky, u.recent = healthy, c.now, false, 0
		c.act(Health{u.name, false, 0})
	case u.state == suspect:
		u.state, u.since, u.recent = recovering, c.now, 0
		c.log("destination %d unit %s recovering", d.id, u.name)
	case u.state == recovering && c.now-u.since >= c.set.Rules.Cold:
		u.state, u.since, u.risky, u.errors = healthy, c.now, false, false
		c.log("destination %d unit %s healthy", d.id, u.name)
		c.act(Health{u.name, false, 0})
	}
}

// watch makes units suspect that leave calls unanswered: a guard against any silence, before a
// time-out tells. It holds as well against calls that unsafe messages leave out for long.
func (c *Chooser) watch() {
	c.watchAt = never
	c.calling = slices.DeleteFunc(c.calling, func(d *dest) bool {
		for _, u := range d.units {
			if u.state != healthy || len(u.outs) == 0 {
				continue
			}
			if quiet := c.now - max(u.outs[0].sent, u.lastServed); quiet < c.patience(d) {
				c.watchFrom(c.now-quiet, d)
				continue
			}
			u.risky = true
			c.suspect(u, d, "silent")
			c.touch(d)
		}
		d.calling = d.out > 0
		return !d.calling
	})
}

// watchFrom has a silence noticed that began at a time.
func (c *Chooser) watchFrom(begin time.Duration, d *dest) {
	c.watchAt = min(c.watchAt, begin+c.patience(d))
}

// sent counts the calls to a unit within a span until now.
func (c *Chooser) sent(u *unit, span time.Duration) float64 {
	first, _ := slices.BinarySearch(u.sends, c.now-span)
	return float64(len(u.sends) - first)
}

// roomAt is when a unit may be sent a call, by what is known now: at once, never unless something happens, or
// not before that time.
func (c *Chooser) roomAt(u *unit) time.Duration {
	at := max(c.now, u.waitUntil, u.pauseUntil)
	switch {
	case c.set.Granted:
		return u.leaveAt(at)
	case u.state == suspect && len(u.outs) > 1:
		return never
	case u.state == suspect:
		return max(at, u.trialAt)
	case u.state == recovering:
		at = max(at, c.budgetAt(u))
	}
	return max(at, c.tokenAt(u))
}

// budgetAt is when the budget of a cold unit has room for a call, or a time before that.
func (c *Chooser) budgetAt(u *unit) time.Duration {
	at := c.freeAt(u, c.budget(u, c.now-u.since))
	if at > c.now { // and the budget grows until then
		at = max(c.now+1, c.freeAt(u, c.budget(u, at-u.since)))
	}
	return at
}

// freeAt is when a budget of calls in the rule's window, or of one in a longer one, has room for a call.
func (c *Chooser) freeAt(u *unit, budget float64) time.Duration {
	span := time.Duration(float64(c.set.Rules.Fall) / min(1, budget))
	first, _ := slices.BinarySearch(u.sends, c.now-span)
	over := len(u.sends) - first + 1 - int(max(1, budget))
	if over <= 0 {
		return c.now
	}
	return u.sends[first+over-1] + span + 1
}
