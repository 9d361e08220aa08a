package choice

// Views of the state, for operators. Nothing here makes decisions.

import (
	"math"
	"time"
)

// HostView is the state of a host. Times are relative to the last Step; 0 if they do not apply.
type HostView struct {
	Host
	Health  string        // healthy, suspect (in an outage: single trials only) or recovering (slow start)
	Why     string        // reason why it is not healthy; empty while it is
	For     time.Duration // time since it is not; 0 while healthy
	Wait    time.Duration // left of the retry-after that it requested
	Pause   time.Duration // left of this relay's own backoff after refusals
	Trial   time.Duration // time to the next trial while suspect
	Retry   time.Duration // time for which other hosts are preferred after failures
	Out     int           // calls in flight
	Latency time.Duration // smoothed, of served calls
	Rate    float64       // messages a second served to this relay, smoothed
	Limit   float64       // rate limit of this relay, calls a second; 0 for none
	Apart   bool          // the figures are of this host alone, else of its destination
}

// DestView is the state of a destination.
type DestView struct {
	Waiting int           // queued messages
	Out     int           // calls in flight
	Pause   time.Duration // left of a backoff that applies to all hosts
	Hosts   []HostView
}

// Views returns the state of all destinations and their hosts, by destination. It changes nothing; its cost
// grows with the number of hosts, not of messages.
func (c *Chooser) Views() map[int]DestView {
	views := make(map[int]DestView, len(c.destinations))
	for id, dest := range c.destinations {
		view := DestView{Waiting: dest.queued, Out: dest.inFlight, Pause: c.remaining(dest.backoffUntil)}
		for _, host := range dest.hosts {
			view.Hosts = append(view.Hosts, c.hostView(host))
		}
		views[id] = view
	}
	return views
}

// hostView returns the state of a host.
func (c *Chooser) hostView(host *endpoint) HostView {
	unit := host.unit
	view := HostView{
		Host: host.Host, Health: "healthy", Out: host.inFlight, Apart: host.dest.kind.Apart,
		Wait: c.remaining(unit.retryAfterUntil), Retry: c.remaining(host.avoidUntil),
		Latency: time.Duration(unit.latency * float64(time.Second)),
		Rate:    unit.currentRate(c), Limit: unit.rateLimit,
	}
	if unit.backoffUntil > unit.retryAfterUntil {
		view.Pause = c.remaining(unit.backoffUntil)
	}
	if unit.state != healthy {
		view.Health, view.Why, view.For = "recovering", unit.stateReason, c.now-unit.stateSince
	}
	if unit.state == suspect {
		view.Health, view.Trial = "suspect", c.remaining(unit.nextTrialAt)
	}
	return view
}

// remaining returns the duration from now to a time, 0 if it has passed.
func (c *Chooser) remaining(until time.Duration) time.Duration { return max(0, until-c.now) }

// currentRate returns the smoothed rate, decayed since the last served message.
func (u *healthUnit) currentRate(chooser *Chooser) float64 {
	if u.servedRate == 0 {
		return 0
	}
	return chooser.servedRate(u) * math.Exp(-(chooser.now-u.lastServed).Seconds()/chooser.cfg.Rules.Cold.Seconds())
}
