package scenario

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is the timeline of a scenario for a number of relays and a seed. It depends on nothing else.
type Plan struct {
	Scenario *Scenario
	Relays   int
	Seed     uint64
	Phases   []Window
	Steps    []Step // in the order of their times
}

// Window is a phase and its time from the beginning of the run.
type Window struct {
	Phase
	From, To time.Duration
}

// NewPlan computes a plan. Coordinator returns the relay that coordinates a destination's limit while all relays are healthy.
func NewPlan(s *Scenario, relays int, seed uint64, coordinator func(dest int) int) Plan {
	p := Plan{Scenario: s, Relays: relays, Seed: seed}
	draw := rand.New(rand.NewPCG(seed, 1))
	at, size := time.Duration(0), p.InitialRelays()
	for n, phase := range s.allPhases(draw, relays) {
		window := Window{phase, at, at + phase.Duration}
		p.Phases = append(p.Phases, window)
		p.addStep(at, Network{Cuts: phase.Cuts, Links: phase.Links, Since: at})
		p.addRelayFaults(window, func(selector RelaySelector) []int {
			return p.selectRelays(selector, rand.New(rand.NewPCG(seed, 100+uint64(n))), coordinator)
		})
		for _, change := range phase.HostChanges {
			p.addHostChange(at, change)
		}
		if phase.Resize != nil {
			resize := *phase.Resize
			resize.To = min(resize.To, relays)
			p.addResize(at, size, resize)
			size = resize.To
		}
		for _, command := range phase.Commands {
			command.Relay, command.Of = command.Relay%relays, command.Of%relays
			p.addStep(at+command.At, Said{command})
		}
		at = window.To
	}
	// The network is healthy after the last phase, while pending messages run up to their deadlines.
	p.addStep(at, Network{Since: at})
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}

// addRelayFaults adds the steps of a phase that stop and kill relays and silence their agents.
func (p *Plan) addRelayFaults(w Window, selectRelays func(RelaySelector) []int) {
	for _, stop := range w.Stops {
		for _, relay := range selectRelays(stop.RelaySelector) {
			p.addStep(w.From+stop.At, Stopped{relay, true})
			p.addStep(w.From+stop.At+stop.Duration, Stopped{relay, false})
		}
	}
	for _, kill := range w.Kills {
		for _, relay := range selectRelays(kill.RelaySelector) {
			p.addStep(w.From+kill.At, Killed{relay, kill.Graceful})
			if kill.RestartAfter > 0 {
				p.addStep(w.From+kill.At+kill.RestartAfter, Started{relay, kill.EmptyDisk})
			}
		}
	}
	for _, agent := range w.SilentAgents {
		for _, relay := range selectRelays(agent.RelaySelector) {
			p.addStep(w.From, AgentSilent{relay, true})
			p.addStep(w.To, AgentSilent{relay, false})
		}
	}
}

// addResize adds the steps that change the fleet's size.
func (p *Plan) addResize(at time.Duration, from int, g Resize) {
	for i := g.To; i < from; i++ {
		p.addStep(at, Killed{i, true})
		at += g.Interval
	}
	for i := range min(from, g.To) {
		p.addStep(at, Killed{i, true})
		p.addStep(at, Relisted{i, g.To})
		p.addStep(at, Started{Relay: i})
		at += g.Interval
	}
	for i := from; i < g.To; i++ {
		p.addStep(at, Relisted{i, g.To})
		p.addStep(at, Started{Relay: i})
		at += g.Interval
	}
}

func (p *Plan) addStep(at time.Duration, action any) { p.Steps = append(p.Steps, Step{at, action}) }

// InitialRelays returns the number of relays that are in the fleet at the beginning.
func (p *Plan) InitialRelays() int {
	if p.Scenario.InitialRelays == 0 {
		return p.Relays
	}
	return min(p.Scenario.InitialRelays, p.Relays)
}

// Span returns how long clients submit messages.
func (p *Plan) Span() time.Duration { return p.Phases[len(p.Phases)-1].To }

// PhaseAt returns the index of the phase at a time; of the last one after the end.
func (p *Plan) PhaseAt(t time.Duration) int {
	for i, w := range p.Phases {
		if t < w.To {
			return i
		}
	}
	return len(p.Phases) - 1
}

func (p *Plan) addHostChange(at time.Duration, c HostChange) {
	for d, partner := range p.Scenario.Partners {
		if partner.Name != c.Partner {
			continue
		}
		for i, h := range partner.Hosts {
			if len(c.Hosts) == 0 || slices.Contains(c.Hosts, h.Name) {
				p.addStep(at+c.At, HostSet{d, i, c.Factor, c.Down, c.Hang, c.RetryAfter})
				p.addStep(at+c.At+c.Duration, HostSet{Partner: d, Host: i, Factor: 1})
			}
		}
	}
}

// selectRelays returns the relays that a selector selects: a required coordinator first, no excluded one.
func (p *Plan) selectRelays(w RelaySelector, draw *rand.Rand, coordinator func(dest int) int) (all []int) {
	n := w.Number
	if n == 0 {
		n = max(1, int(w.Share*float64(p.Relays)+0.5))
	}
	coordinatorOf := func(name string) int {
		return coordinator(slices.IndexFunc(p.Scenario.Partners, func(x Partner) bool { return x.Name == name }))
	}
	if w.Coordinator != "" {
		all = append(all, coordinatorOf(w.Coordinator))
	}
	for _, r := range draw.Perm(p.Relays) {
		if !slices.Contains(all, r) && (w.ExcludeCoordinator == "" || r != coordinatorOf(w.ExcludeCoordinator)) {
			all = append(all, r)
		}
	}
	return all[:min(n, len(all))]
}
