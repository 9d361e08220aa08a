// Package engine combines the decisions about messages (choice) with those about what the fleet may send
// (internal/relay/fleetlimit) to one step function: time and events in, actions out. It reads no clock, does no
// I/O and starts no goroutine; the caller carries out the actions.
package engine

import (
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/fleetlimit"
	"larchrouter/internal/relay/quota"
	"larchrouter/internal/relay/settings"
)

// minGrantFleet is the number of relays from which a fleet sends calls on grants.
const minGrantFleet = 16

// maxRounds is how often the two are stepped at one instant. Events that are left then wait for the next step.
const maxRounds = 8

// Core decides for one relay. It is not safe for concurrent use.
type Core struct {
	*choice.Chooser
	limiter *fleetlimit.Limiter // nil if the relay decides by its own observations alone
	pending []choice.Event      // events that are not passed to the Chooser yet
	// Wake-ups that each of the two requested, and the one requested of the caller, which is the earlier of
	// both; 0 for none.
	chooserAt, limiterAt, wakeAt time.Duration
}

// New returns the decisions of one relay.
func New(s settings.Settings, seed uint64) (c *Core, err error) {
	c = new(Core)
	s.Granted = s.Peers && s.Fleet >= minGrantFleet || s.Shares
	if s.Granted {
		c.limiter, err = fleetlimit.New(fleetlimit.Settings{
			Index:       s.Index,
			FleetSize:   s.Fleet,
			Seed:        seed,
			Rules:       s.Rules,
			QuotaShares: s.Fleet <= fleetlimit.MaxQuotaRelays,
			Incarnation: s.Life ^ uint32(seed),
			Limits:      s.Limits,
			Weights:     s.Weights,
		})
		if err != nil {
			return nil, err
		}
	}
	c.Chooser, err = choice.New(s.Settings, seed)
	return c, err
}

// Routes returns the routes that this relay coordinates and that are requested now.
func (c *Core) Routes() []fleetlimit.RouteView {
	if c.limiter == nil {
		return nil
	}
	return c.limiter.RouteViews()
}

// Shares returns this relay's shares of limits.
func (c *Core) Shares() []fleetlimit.ShareView {
	if c.limiter == nil {
		return nil
	}
	return c.limiter.ShareViews()
}

// Resize sets the total weight by which limits are divided, and which relays are removed for good.
func (c *Core) Resize(totalWeight int, removed []int) {
	if c.limiter != nil {
		c.limiter.Resize(totalWeight, removed)
	}
}

// SetLimits sets the configured limits from now on.
func (c *Core) SetLimits(limits map[int]quota.Limit) {
	if c.limiter != nil {
		c.limiter.SetLimits(limits)
	}
}

// UsesGrants reports whether calls are sent on grants of the fleet.
func (c *Core) UsesGrants() bool { return c.limiter != nil }

// Step processes the events, then decides once. The Chooser and the limiter are stepped in turn until neither
// has events left.
func (c *Core) Step(now time.Duration, events []choice.Event) (out []choice.Action) {
	if c.limiter == nil {
		return c.Chooser.Step(now, events)
	}
	in := c.pending
	c.pending = nil
	var received []choice.Heard
	for _, e := range events {
		switch e := e.(type) {
		case choice.Heard:
			received = append(received, e)
		case choice.Woken:
			c.wakeAt = 0
		default:
			in = append(in, e)
		}
	}
	if c.chooserAt > 0 && c.chooserAt <= now {
		c.chooserAt = 0
		in = append(in, choice.Woken{})
	}
	if c.limiterAt <= now {
		c.limiterAt = 0
	}
	for round := 0; round == 0 || len(in) > 0; round++ {
		if round == maxRounds { // a fault of one of the two must not keep the caller here
			c.pending, c.limiterAt = in, now+time.Millisecond
			break
		}
		in, out = c.stepRound(now, in, received, out)
		received = nil
	}
	return c.scheduleWake(now, out)
}

// stepRound steps the Chooser, then the limiter with what the Chooser requested. It appends their actions to
// out, and returns the grants, which are events for the Chooser's next round.
func (c *Core) stepRound(now time.Duration, in []choice.Event, received []choice.Heard, out []choice.Action) (
	[]choice.Event, []choice.Action) {
	var requested []choice.Action
	for _, a := range c.Chooser.Step(now, in) {
		switch a := a.(type) {
		case choice.Want, choice.Spent:
			requested = append(requested, a)
		case choice.Wake:
			c.chooserAt = now + a.After
		default:
			out = append(out, a)
		}
	}
	actions, grants := c.limiter.Step(now, received, requested)
	for _, a := range actions {
		if w, ok := a.(choice.Wake); ok {
			c.limiterAt = now + w.After
		} else {
			out = append(out, a)
		}
	}
	return grants, out
}

// scheduleWake requests a wake-up for the earlier of the two that were requested.
func (c *Core) scheduleWake(now time.Duration, out []choice.Action) []choice.Action {
	at := c.chooserAt
	if at == 0 || c.limiterAt > 0 && c.limiterAt < at {
		at = c.limiterAt
	}
	if at > 0 && (c.wakeAt <= now || at < c.wakeAt) {
		c.wakeAt = at
		out = append(out, choice.Wake{After: max(0, at-now)})
	}
	return out
}
