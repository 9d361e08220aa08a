package scenario

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is a scenario worked out for a number of relays and a seed: the same three give the same plan.
type Plan struct {
	Scenario *Scenario
	Relays   int
	Seed     uint64
	Phases   []Window
	Steps    []Step // in the order of their times
}

// Window is when a phase is played.
type Window struct {
	Phase
	From, To time.Duration
}

// NewPlan works a scenario out. Steward tells the relay that is steward of a destination of a fleet in which all are well.
func NewPlan(s *Scenario, relays int, seed uint64, steward func(dest int) int) Plan {
	p := Plan{Scenario: s, Relays: relays, Seed: seed}
	draw := rand.New(rand.NewPCG(seed, 1))
	at, size := time.Duration(0), p.InitialRelays()
	for n, ph := range s.allPhases(draw, relays) {
		w := Window{ph, at, at + ph.Duration}
		p.Phases = append(p.Phases, w)
		p.addStep(at, Network{Cuts: ph.Cuts, Links: ph.Links, Since: at})
		pick := func(who RelaySelector) []int {
			return p.selectRelays(who, rand.New(rand.NewPCG(seed, 100+uint64(n))), steward)
		}
		for _, k := range ph.Stops {
			for _, r := range pick(k.RelaySelector) {
				p.addStep(at+k.At, Stopped{r, true})
				p.addStep(at+k.At+k.Duration, Stopped{r, false})
			}
		}
		for _, k := range ph.Kills {
			for _, r := range pick(k.RelaySelector) {
				p.addStep(at+k.At, Killed{r, k.Graceful})
				if k.RestartAfter > 0 {
					p.addStep(at+k.At+k.RestartAfter, Started{r, k.EmptyDisk})
				}
			}
		}
		for _, a := range ph.SilentAgents {
			for _, r := range pick(a.RelaySelector) {
				p.addStep(at, AgentSilent{r, true})
				p.addStep(w.To, AgentSilent{r, false})
			}
		}
		for _, c := range ph.HostChanges {
			p.addHostChange(at, c)
		}
		if ph.Resize != nil {
			g := *ph.Resize
			g.To = min(g.To, relays)
			p.addResize(at, size, g)
			size = g.To
		}
		for _, s := range ph.Commands {
			s.Relay, s.Of = s.Relay%relays, s.Of%relays
			p.addStep(at+s.At, Said{s})
		}
		at = w.To
	}
	// At its end everything is well: what is still held has until its time is up.
	p.addStep(at, Network{Since: at})
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}

// addResize works out how a fleet of one size becomes one of another.
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

func (p *Plan) addStep(at time.Duration, do any) { p.Steps = append(p.Steps, Step{at, do}) }

// InitialRelays is how many relays are in the fleet at first.
func (p *Plan) InitialRelays() int {
	if p.Scenario.InitialRelays == 0 {
		return p.Relays
	}
	return min(p.Scenario.InitialRelays, p.Relays)
}

// Span is how long messages are handed in.
func (p *Plan) Span() time.Duration { return p.Phases[len(p.Phases)-1].To }

// PhaseAt is the phase that is played at a time, the last one after the end.
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

// selectRelays selects relays: a steward that is asked for comes first, one that is to be spared does not come.
func (p *Plan) selectRelays(w RelaySelector, draw *rand.Rand, steward func(dest int) int) (all []int) {
	n := w.Number
	if n == 0 {
		n = max(1, int(w.Share*float64(p.Relays)+0.5))
	}
	of := func(name string) int {
		return steward(slices.IndexFunc(p.Scenario.Partners, func(x Partner) bool { return x.Name == name }))
	}
	if w.Coordinator != "" {
		all = append(all, of(w.Coordinator))
	}
	for _, r := range draw.Perm(p.Relays) {
		if !slices.Contains(all, r) && (w.ExcludeCoordinator == "" || r != of(w.ExcludeCoordinator)) {
			all = append(all, r)
		}
	}
	return all[:min(n, len(all))]
}
