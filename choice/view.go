package choice

import (
	"math"
	"time"
)

// HostView is what a Chooser holds of an endpoint, for people to read. Times are as of the last Step;
// a time that is not running is 0.
type HostView struct {
	Host
	Health  string        // healthy, suspect (single trials only) or recovering (within the budget of a cold one)
	Why     string        // it is not healthy; empty while it is
	For     time.Duration // since it is so; 0 while healthy
	Wait    time.Duration // left of a wait that it told
	Pause   time.Duration // left of a pause of this relay's own, after refusals
	Trial   time.Duration // until the next trial of a suspect
	Retry   time.Duration // until it is no longer put behind others, after failures
	Out     int           // calls
	Latency time.Duration // smoothed, of served calls
	Rate    float64       // messages served to this relay, a second
	Limit   float64       // calls a second that this relay allows itself; 0 for no limit
	Apart   bool          // the figures are of this endpoint alone, else of all of its destination
}

// DestView is what a Chooser holds of a destination.
type DestView struct {
	Waiting int // messages that are not out
	Out     int // calls
	Pause   time.Duration
	Hosts   []HostView
}

// Views returns all destinations with what is held of their endpoints, in no order. It changes nothing; its
// cost is that of the endpoints, not of the messages.
func (c *Chooser) Views() map[int]DestView {
	remaining := func(t time.Duration) time.Duration { return max(0, t-c.now) }
	views := make(map[int]DestView, len(c.destinations))
	for id, dest := range c.destinations {
		view := DestView{Waiting: dest.queued, Out: dest.inFlight, Pause: remaining(dest.backoffUntil)}
		for _, host := range dest.hosts {
			unit := host.unit
			hostView := HostView{Host: host.Host, Health: "healthy", Wait: remaining(unit.retryAfterUntil), Out: host.inFlight, Retry: remaining(host.avoidUntil),
				Latency: time.Duration(unit.latency * float64(time.Second)), Rate: unit.currentRate(c), Limit: unit.rateLimit, Apart: dest.kind.Apart}
			if unit.backoffUntil > unit.retryAfterUntil {
				hostView.Pause = remaining(unit.backoffUntil)
			}
			if unit.state != healthy {
				hostView.Health, hostView.Why, hostView.For = "recovering", unit.stateReason, c.now-unit.stateSince
			}
			if unit.state == suspect {
				hostView.Health, hostView.Trial = "suspect", remaining(unit.nextTrialAt)
			}
			view.Hosts = append(view.Hosts, hostView)
		}
		views[id] = view
	}
	return views
}

// rateNow is the smoothed rate, faded since the last message served.
func (u *healthUnit) currentRate(c *Chooser) float64 {
	if u.servedRate == 0 {
		return 0
	}
	return c.servedRate(u) * math.Exp(-(c.now-u.lastServed).Seconds()/c.cfg.Rules.Cold.Seconds())
}
