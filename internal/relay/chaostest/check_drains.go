package chaostest

import (
	"strings"
	"time"

	"larchrouter/internal/relay/drain"
	"larchrouter/internal/relay/scenario"
)

// linkStep is the resolution in time of reachableSince.
const linkStep = 10 * time.Millisecond

// reachableSince returns when an update that a relay had at a time could have reached each relay, over links that worked and
// relays that ran; -1 for relays that it could not reach. Links with random loss count as working.
func (b *EventLog) reachableSince(from int, at time.Duration) []time.Duration {
	when := make([]time.Duration, b.Plan.Relays)
	for i := range when {
		when[i] = -1
	}
	when[from] = at
	left := b.Plan.Relays - 1
	var net scenario.Network
	steps := b.Plan.Steps
	for now := at; now <= b.End && left > 0; now += linkStep {
		for len(steps) > 0 && steps[0].At <= now {
			if n, ok := steps[0].Action.(scenario.Network); ok {
				net = n
			}
			steps = steps[1:]
		}
		for more := true; more; {
			more = false
			for a, known := range when {
				if known < 0 || known > now || !b.running(a, now, now) {
					continue
				}
				for i := range when {
					if when[i] < 0 && net.Connected(a, i, now) && b.running(i, now, now) {
						when[i], more = now, true
						left--
					}
				}
			}
		}
	}
	return when
}

// checkDrains finds calls to drained targets from relays that the drain could have reached in time.
func (c *checker) checkDrains() {
	for n, w := range c.Commands {
		if w.What != scenario.CommandDrain {
			continue
		}
		until := c.End + 1
		for _, later := range c.Commands[n+1:] {
			if later.Target == w.Target && later.What == scenario.CommandUndrain {
				until = min(until, later.At-commandTimeout) // it may have taken effect before its acknowledgement
			}
		}
		when := c.reachableSince(w.Relay, w.At)
		for _, k := range c.Calls {
			m := c.Messages[k.ID]
			if m == nil || k.First >= until || !c.matchesTarget(w.Target, k) {
				continue
			}
			due := when[m.Relay] + w.Within + drain.Grace
			if when[m.Relay] < 0 || k.First <= due {
				continue
			}
			if !c.running(m.Relay, when[m.Relay], due) { // it was paused or restarted meanwhile
				began := time.Duration(-1)
				for _, l := range c.Runs {
					if l.Relay == m.Relay && l.From <= k.First {
						began = max(began, l.From)
					}
				}
				if k.First <= began+w.Within+drain.Grace {
					continue
				}
			}
			c.addFinding("stale", "relay %d called host %s at %v; it could have known since %v that %s is drained, and had %v",
				m.Relay, c.host(k),
				k.First.Round(time.Millisecond), when[m.Relay].Round(time.Millisecond), w.Target, w.Within+drain.Grace)
		}
	}
}

// matchesTarget reports whether a call went to the target of a drain.
func (c *checker) matchesTarget(target string, k Call) bool {
	p := c.Plan.Scenario.Partners[k.Dest]
	scope, name, _ := strings.Cut(target, ":")
	return scope == "partner" && name == p.Name || scope == "endpoint" && name == p.Endpoint(p.Hosts[k.Host])
}
