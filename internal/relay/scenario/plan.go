package scenario

import (
	"cmp"
	"fmt"
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

// Step is something that is done at a time: a Network, Stopped, Killed, Started, Relisted, AgentSilent, Said or HostSet.
type Step struct {
	At     time.Duration
	Action any
}

// What steps do. Relays are named by number, partners by their place in the scenario.
type (
	// Stopped has a relay stand still, or go on.
	Stopped struct {
		Relay  int
		Paused bool // it stands still from now on
	}
	// Killed ends a relay.
	Killed struct {
		Relay    int
		Graceful bool
	}
	// Started starts a relay again.
	Started struct {
		Relay     int
		EmptyDisk bool
	}
	// Relisted gives a relay a file with so many relays in its fleet.
	Relisted struct{ Relay, Size int }
	// AgentSilent has a relay's agent be silent, or answer again.
	AgentSilent struct {
		Relay  int
		Silent bool
	}
	// HostSet is how a host is from now on.
	HostSet struct {
		Partner, Host int
		Factor        float64
		Down, Hang    bool
		Wait          time.Duration
	}
)

// Said is what an operator says. Relay and Of are below the number of relays.
type Said struct{ Say }

// String says what happens to the relay, as reports of a trial have it.
func (s Stopped) String() string {
	if s.Paused {
		return fmt.Sprintf("relay %d stands still", s.Relay)
	}
	return fmt.Sprintf("relay %d goes on", s.Relay)
}

// String says what happens to the relay, as reports of a trial have it.
func (k Killed) String() string { return fmt.Sprintf("relay %d ends", k.Relay) }

// String says what happens to the relay, as reports of a trial have it.
func (s Started) String() string { return fmt.Sprintf("relay %d starts again", s.Relay) }

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

// allPhases are the phases of the file and those that are drawn.
func (s *Scenario) allPhases(draw *rand.Rand, relays int) []Phase {
	out := slices.Clone(s.Phases)
	if s.RandomSchedule == nil {
		return out
	}
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(draw.Float64()*float64(b-a)) }
	some := func() RelaySelector { return RelaySelector{Share: 0.05 + 0.3*draw.Float64()} }
	for n := range s.RandomSchedule.Phases {
		ph := Phase{Duration: s.RandomSchedule.FaultDuration}
		for len(ph.Name) == 0 || draw.Float64() < 0.3 { // now and then two at once
			name := ""
			switch draw.IntN(9) {
			case 0:
				ph.Cuts, name = append(ph.Cuts, Cut{Shape: CutSides, Number: 2 + draw.IntN(max(1, min(5, relays-1)))}), "sides"
			case 1:
				ph.Cuts, name = append(ph.Cuts, Cut{Shape: CutSides, Number: 2, OneWay: true}), "one-way"
			case 2:
				ph.Cuts, name = append(ph.Cuts, Cut{Shape: CutNobody}), "nobody"
			case 3:
				ph.Cuts, name = append(ph.Cuts, Cut{Shape: CutSides, Number: 2, Flap: between(100*time.Millisecond, time.Second)}), "flap"
			case 4:
				ph.Cuts, name = append(ph.Cuts, Cut{Shape: CutAlone, Number: 1 + draw.IntN(max(1, relays/4))}), "alone"
			case 5:
				ph.Links, name = Links{Lose: 0.4 * draw.Float64(), Double: 0.3 * draw.Float64(), Reorder: 0.3 * draw.Float64(),
					Jitter: between(0, 100*time.Millisecond), Late: between(50*time.Millisecond, 2*time.Second)}, "loss"
			case 6:
				at := between(0, s.RandomSchedule.FaultDuration/2)
				ph.Stops, name = append(ph.Stops, Stop{RelaySelector: some(), At: at, Duration: between(200*time.Millisecond, s.RandomSchedule.FaultDuration-at)}), "stop"
			case 7:
				ph.Kills, name = append(ph.Kills, Kill{RelaySelector: some(), At: between(0, s.RandomSchedule.FaultDuration/2), RestartAfter: between(100*time.Millisecond, s.RandomSchedule.FaultDuration/2),
					EmptyDisk: draw.Float64() < 0.3}), "kill"
			case 8:
				p := s.Partners[draw.IntN(len(s.Partners))]
				c := HostChange{Partner: p.Name, At: between(0, s.RandomSchedule.FaultDuration/2), Duration: between(s.RandomSchedule.FaultDuration/4, s.RandomSchedule.FaultDuration/2), Factor: 1}
				if c.Down = draw.Float64() < 0.5; !c.Down {
					c.Factor = 0.3 + 0.5*draw.Float64()
				}
				ph.HostChanges, name = append(ph.HostChanges, c), "hosts"
			}
			if ph.Name != "" {
				name = ph.Name + "+" + name
			}
			ph.Name = name
		}
		ph.Name = fmt.Sprintf("%d-%s", n+1, ph.Name)
		calm := Phase{Name: fmt.Sprintf("%d-healed", n+1), Duration: s.RandomSchedule.CalmDuration}
		if s.Appliances && draw.Float64() < 0.7 { // an operator drains a host at one relay, another opens it again later
			p := s.Partners[draw.IntN(len(s.Partners))]
			say := Say{What: CommandDrain, Target: "endpoint:" + p.Endpoint(p.Hosts[draw.IntN(len(p.Hosts))]), Relay: draw.IntN(relays),
				At: between(0, s.RandomSchedule.FaultDuration/2), Within: 3 * time.Second}
			ph.Commands = append(ph.Commands, say)
			say.What, say.Relay, say.At = CommandUndrain, draw.IntN(relays), between(s.RandomSchedule.CalmDuration/2, s.RandomSchedule.CalmDuration)
			calm.Commands = append(calm.Commands, say)
			ph.Name += "+drain"
		}
		out = append(out, ph, calm)
	}
	return out
}

// Network is what becomes of notes from a time on.
type Network struct {
	Cuts  []Cut
	Links Links
	Since time.Duration
}

// Deliver says when a note comes, counted from now: once for each copy, and not at all if it is lost. Draw is of the link.
func (n Network) Deliver(from, to int, now time.Duration, draw *rand.Rand) (after []time.Duration) {
	for _, c := range n.Cuts {
		if c.drops(from, to, now-n.Since) {
			return nil
		}
	}
	l := n.Links
	if l.Lose > 0 && draw.Float64() < l.Lose {
		return nil
	}
	copies := 1
	if l.Double > 0 && draw.Float64() < l.Double {
		copies = 2
	}
	for range copies {
		d := l.Delay
		if l.Jitter > 0 {
			d += time.Duration(draw.Float64() * float64(l.Jitter))
		}
		if l.Reorder > 0 && draw.Float64() < l.Reorder {
			d += l.Late
		}
		after = append(after, d)
	}
	return after
}

// Connected tells whether what one relay sends another comes at all, at a time.
func (n Network) Connected(from, to int, now time.Duration) bool {
	for _, c := range n.Cuts {
		if c.drops(from, to, now-n.Since) {
			return false
		}
	}
	return n.Links.Lose < 1
}

// drops tells whether a cut loses what one relay sends another, so long after it began.
func (c Cut) drops(from, to int, since time.Duration) bool {
	if c.Flap > 0 && since/c.Flap%2 == 1 {
		return false
	}
	switch c.Shape {
	case CutSides:
		a, b := from%c.Number, to%c.Number
		return a != b && !(c.OneWay && a%2 == 0)
	case CutAlone:
		a, b := from < c.Number, to < c.Number
		return (a || b) && !(c.OneWay && b)
	case CutChain:
		return from-to != 1 && to-from != 1
	}
	return true // nobody
}
