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
			for relay, known := range when {
				if known < 0 || known > now || !b.running(relay, now, now) {
					continue
				}
				for peer := range when {
					if when[peer] < 0 && net.Connected(relay, peer, now) && b.running(peer, now, now) {
						when[peer], more = now, true
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
	for n, command := range c.Commands {
		if command.What != scenario.CommandDrain {
			continue
		}
		until := c.End + 1
		for _, later := range c.Commands[n+1:] {
			if later.Target == command.Target && later.What == scenario.CommandUndrain {
				until = min(until, later.At-commandTimeout) // it may have taken effect before its acknowledgement
			}
		}
		when := c.reachableSince(command.Relay, command.At)
		for _, call := range c.Calls {
			message := c.Messages[call.ID]
			if message == nil || call.First >= until || !c.matchesTarget(command.Target, call) {
				continue
			}
			due := when[message.Relay] + command.Within + drain.Grace
			if when[message.Relay] < 0 || call.First <= due {
				continue
			}
			if !c.running(message.Relay, when[message.Relay], due) { // it was paused or restarted meanwhile
				began := time.Duration(-1)
				for _, run := range c.Runs {
					if run.Relay == message.Relay && run.From <= call.First {
						began = max(began, run.From)
					}
				}
				if call.First <= began+command.Within+drain.Grace {
					continue
				}
			}
			c.addFinding("stale", "relay %d called host %s at %v; it could have known since %v that %s is drained, and had %v",
				message.Relay, c.host(call),
				call.First.Round(time.Millisecond), when[message.Relay].Round(time.Millisecond), command.Target, command.Within+drain.Grace)
		}
	}
}

// matchesTarget reports whether a call went to the target of a drain.
func (c *checker) matchesTarget(target string, k Call) bool {
	p := c.Plan.Scenario.Partners[k.Dest]
	scope, name, _ := strings.Cut(target, ":")
	return scope == "partner" && name == p.Name || scope == "endpoint" && name == p.Endpoint(p.Hosts[k.Host])
}
