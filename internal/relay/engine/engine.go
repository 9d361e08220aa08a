// Package engine joins the decisions about messages (choice) with those about what the fleet may send (internal/relay/fleetlimit),
// so that whoever drives them sees one step function: time and events in, actions out.
package engine

import (
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/fleetlimit"
	"larchrouter/internal/relay/quota"
	"larchrouter/internal/relay/settings"
)

// large is the number of relays from which a fleet works on grants.
const large = 16

// rounds is how often the two are led through one instant; what is left then waits for the next.
const rounds = 8

// Core decides for one relay. It is not safe for concurrent use.
type Core struct {
	*choice.Chooser
	fleet *fleetlimit.Fleet // nil where the relay goes by what it sees itself
	given []choice.Event    // not handed in yet
	// When each of the two wants to be woken, and when both are next; 0 for never. There is one timer.
	chooserAt, fleetAt, wakeAt time.Duration
}

// New returns the decisions for one relay.
func New(s settings.Settings, seed uint64) (c *Core, err error) {
	c = new(Core)
	s.Granted = s.Peers && s.Fleet >= large || s.Shares
	if s.Granted {
		if c.fleet, err = fleetlimit.New(fleetlimit.Settings{Index: s.Index, Fleet: s.Fleet, Seed: seed, Rules: s.Rules,
			Rights: s.Fleet <= fleetlimit.MostRights, Life: s.Life ^ uint32(seed), Limits: s.Limits, Weights: s.Weights}); err != nil {
			return nil, err
		}
	}
	c.Chooser, err = choice.New(s.Settings, seed)
	return c, err
}

// Routes are those that this relay is steward of and that are asked for now.
func (c *Core) Routes() []fleetlimit.RouteView {
	if c.fleet == nil {
		return nil
	}
	return c.fleet.Views()
}

// Parts are the limits that this relay has a part of.
func (c *Core) Parts() []fleetlimit.PartView {
	if c.fleet == nil {
		return nil
	}
	return c.fleet.PartViews()
}

// Resize says into how many parts limits are divided, and which relays are gone for good.
func (c *Core) Resize(parts int, lost []int) {
	if c.fleet != nil {
		c.fleet.Resize(parts, lost)
	}
}

// Tell takes in which limits are told from now on.
func (c *Core) Tell(limits map[int]quota.Limit) {
	if c.fleet != nil {
		c.fleet.Tell(limits)
	}
}

// Granted tells whether calls go out on grants of the fleet.
func (c *Core) Granted() bool { return c.fleet != nil }

// Step takes in all that happened, then decides once.
func (c *Core) Step(now time.Duration, events []choice.Event) (out []choice.Action) {
	if c.fleet == nil {
		return c.Chooser.Step(now, events)
	}
	in := c.given
	c.given = nil
	var heard []choice.Heard
	for _, e := range events {
		switch e := e.(type) {
		case choice.Heard:
			heard = append(heard, e)
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
	if c.fleetAt <= now {
		c.fleetAt = 0
	}
	for n := 0; n == 0 || len(in) > 0; n++ {
		if n == rounds { // whatever is wrong, time goes on
			c.given, c.fleetAt = in, now+time.Millisecond
			break
		}
		var said []choice.Action
		for _, a := range c.Chooser.Step(now, in) {
			switch a := a.(type) {
			case choice.Want, choice.Spent:
				said = append(said, a)
			case choice.Wake:
				c.chooserAt = now + a.After
			default:
				out = append(out, a)
			}
		}
		var acts []choice.Action
		acts, in = c.fleet.Step(now, heard, said)
		heard = nil
		for _, a := range acts {
			if w, ok := a.(choice.Wake); ok {
				c.fleetAt = now + w.After
			} else {
				out = append(out, a)
			}
		}
	}
	return c.wake(now, out)
}

// wake asks to be woken when the first of the two wants to be.
func (c *Core) wake(now time.Duration, out []choice.Action) []choice.Action {
	at := c.chooserAt
	if at == 0 || c.fleetAt > 0 && c.fleetAt < at {
		at = c.fleetAt
	}
	if at > 0 && (c.wakeAt <= now || at < c.wakeAt) {
		c.wakeAt = at
		out = append(out, choice.Wake{After: max(0, at-now)})
	}
	return out
}
