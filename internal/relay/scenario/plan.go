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
	At time.Duration
	Do any
}

// What steps do. Relays are named by number, partners by their place in the scenario.
type (
	// Stopped has a relay stand still, or go on.
	Stopped struct {
		Relay int
		On    bool // it stands still from now on
	}
	// Killed ends a relay.
	Killed struct {
		Relay int
		Term  bool
	}
	// Started starts a relay again.
	Started struct {
		Relay int
		Empty bool
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
	if s.On {
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
	at, size := time.Duration(0), p.Listed()
	for n, ph := range s.all(draw, relays) {
		w := Window{ph, at, at + ph.For}
		p.Phases = append(p.Phases, w)
		p.add(at, Network{Cuts: ph.Cuts, Links: ph.Links, Since: at})
		pick := func(who Whom) []int { return p.pick(who, rand.New(rand.NewPCG(seed, 100+uint64(n))), steward) }
		for _, k := range ph.Stops {
			for _, r := range pick(k.Whom) {
				p.add(at+k.At, Stopped{r, true})
				p.add(at+k.At+k.For, Stopped{r, false})
			}
		}
		for _, k := range ph.Kills {
			for _, r := range pick(k.Whom) {
				p.add(at+k.At, Killed{r, k.Term})
				if k.Again > 0 {
					p.add(at+k.At+k.Again, Started{r, k.Empty})
				}
			}
		}
		for _, a := range ph.Agents {
			for _, r := range pick(a.Whom) {
				p.add(at, AgentSilent{r, true})
				p.add(w.To, AgentSilent{r, false})
			}
		}
		for _, c := range ph.Hosts {
			p.change(at, c)
		}
		if ph.Grow != nil {
			g := *ph.Grow
			g.To = min(g.To, relays)
			p.grow(at, size, g)
			size = g.To
		}
		for _, s := range ph.Says {
			s.Relay, s.Of = s.Relay%relays, s.Of%relays
			p.add(at+s.At, Said{s})
		}
		at = w.To
	}
	// At its end everything is well: what is still held has until its time is up.
	p.add(at, Network{Since: at})
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}

// grow works out how a fleet of one size becomes one of another.
func (p *Plan) grow(at time.Duration, from int, g Grow) {
	for i := g.To; i < from; i++ {
		p.add(at, Killed{i, true})
		at += g.Every
	}
	for i := range min(from, g.To) {
		p.add(at, Killed{i, true})
		p.add(at, Relisted{i, g.To})
		p.add(at, Started{Relay: i})
		at += g.Every
	}
	for i := from; i < g.To; i++ {
		p.add(at, Relisted{i, g.To})
		p.add(at, Started{Relay: i})
		at += g.Every
	}
}

func (p *Plan) add(at time.Duration, do any) { p.Steps = append(p.Steps, Step{at, do}) }

// Listed is how many relays are in the fleet at first.
func (p *Plan) Listed() int {
	if p.Scenario.Listed == 0 {
		return p.Relays
	}
	return min(p.Scenario.Listed, p.Relays)
}

// Span is how long messages are handed in.
func (p *Plan) Span() time.Duration { return p.Phases[len(p.Phases)-1].To }

// At is the phase that is played at a time, the last one after the end.
func (p *Plan) At(t time.Duration) int {
	for i, w := range p.Phases {
		if t < w.To {
			return i
		}
	}
	return len(p.Phases) - 1
}

func (p *Plan) change(at time.Duration, c Change) {
	for d, partner := range p.Scenario.Partners {
		if partner.Name != c.Partner {
			continue
		}
		for i, h := range partner.Hosts {
			if len(c.Hosts) == 0 || slices.Contains(c.Hosts, h.Name) {
				p.add(at+c.At, HostSet{d, i, c.Factor, c.Down, c.Hang, c.Wait})
				p.add(at+c.At+c.For, HostSet{Partner: d, Host: i, Factor: 1})
			}
		}
	}
}

// pick selects relays: a steward that is asked for comes first, one that is to be spared does not come.
func (p *Plan) pick(w Whom, draw *rand.Rand, steward func(dest int) int) (all []int) {
	n := w.Number
	if n == 0 {
		n = max(1, int(w.Share*float64(p.Relays)+0.5))
	}
	of := func(name string) int {
		return steward(slices.IndexFunc(p.Scenario.Partners, func(x Partner) bool { return x.Name == name }))
	}
	if w.Steward != "" {
		all = append(all, of(w.Steward))
	}
	for _, r := range draw.Perm(p.Relays) {
		if !slices.Contains(all, r) && (w.Spare == "" || r != of(w.Spare)) {
			all = append(all, r)
		}
	}
	return all[:min(n, len(all))]
}

// all are the phases of the file and those that are drawn.
func (s *Scenario) all(draw *rand.Rand, relays int) []Phase {
	out := slices.Clone(s.Phases)
	if s.Draw == nil {
		return out
	}
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(draw.Float64()*float64(b-a)) }
	some := func() Whom { return Whom{Share: 0.05 + 0.3*draw.Float64()} }
	for n := range s.Draw.Phases {
		ph := Phase{For: s.Draw.For}
		for len(ph.Name) == 0 || draw.Float64() < 0.3 { // now and then two at once
			name := ""
			switch draw.IntN(9) {
			case 0:
				ph.Cuts, name = append(ph.Cuts, Cut{Shape: Sides, Number: 2 + draw.IntN(max(1, min(5, relays-1)))}), "sides"
			case 1:
				ph.Cuts, name = append(ph.Cuts, Cut{Shape: Sides, Number: 2, OneWay: true}), "one-way"
			case 2:
				ph.Cuts, name = append(ph.Cuts, Cut{Shape: Nobody}), "nobody"
			case 3:
				ph.Cuts, name = append(ph.Cuts, Cut{Shape: Sides, Number: 2, Flap: between(100*time.Millisecond, time.Second)}), "flap"
			case 4:
				ph.Cuts, name = append(ph.Cuts, Cut{Shape: Alone, Number: 1 + draw.IntN(max(1, relays/4))}), "alone"
			case 5:
				ph.Links, name = Links{Lose: 0.4 * draw.Float64(), Double: 0.3 * draw.Float64(), Reorder: 0.3 * draw.Float64(),
					Jitter: between(0, 100*time.Millisecond), Late: between(50*time.Millisecond, 2*time.Second)}, "loss"
			case 6:
				at := between(0, s.Draw.For/2)
				ph.Stops, name = append(ph.Stops, Stop{Whom: some(), At: at, For: between(200*time.Millisecond, s.Draw.For-at)}), "stop"
			case 7:
				ph.Kills, name = append(ph.Kills, Kill{Whom: some(), At: between(0, s.Draw.For/2), Again: between(100*time.Millisecond, s.Draw.For/2),
					Empty: draw.Float64() < 0.3}), "kill"
			case 8:
				p := s.Partners[draw.IntN(len(s.Partners))]
				c := Change{Partner: p.Name, At: between(0, s.Draw.For/2), For: between(s.Draw.For/4, s.Draw.For/2), Factor: 1}
				if c.Down = draw.Float64() < 0.5; !c.Down {
					c.Factor = 0.3 + 0.5*draw.Float64()
				}
				ph.Hosts, name = append(ph.Hosts, c), "hosts"
			}
			if ph.Name != "" {
				name = ph.Name + "+" + name
			}
			ph.Name = name
		}
		ph.Name = fmt.Sprintf("%d-%s", n+1, ph.Name)
		calm := Phase{Name: fmt.Sprintf("%d-healed", n+1), For: s.Draw.Calm}
		if s.Appliances && draw.Float64() < 0.7 { // an operator drains a host at one relay, another opens it again later
			p := s.Partners[draw.IntN(len(s.Partners))]
			say := Say{What: SayDrain, Target: "endpoint:" + p.Endpoint(p.Hosts[draw.IntN(len(p.Hosts))]), Relay: draw.IntN(relays),
				At: between(0, s.Draw.For/2), Within: 3 * time.Second}
			ph.Says = append(ph.Says, say)
			say.What, say.Relay, say.At = SayUndrain, draw.IntN(relays), between(s.Draw.Calm/2, s.Draw.Calm)
			calm.Says = append(calm.Says, say)
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

// Carry says when a note comes, counted from now: once for each copy, and not at all if it is lost. Draw is of the link.
func (n Network) Carry(from, to int, now time.Duration, draw *rand.Rand) (after []time.Duration) {
	for _, c := range n.Cuts {
		if c.cuts(from, to, now-n.Since) {
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

// Joins tells whether what one relay sends another comes at all, at a time.
func (n Network) Joins(from, to int, now time.Duration) bool {
	for _, c := range n.Cuts {
		if c.cuts(from, to, now-n.Since) {
			return false
		}
	}
	return n.Links.Lose < 1
}

// cuts tells whether a cut loses what one relay sends another, so long after it began.
func (c Cut) cuts(from, to int, since time.Duration) bool {
	if c.Flap > 0 && since/c.Flap%2 == 1 {
		return false
	}
	switch c.Shape {
	case Sides:
		a, b := from%c.Number, to%c.Number
		return a != b && !(c.OneWay && a%2 == 0)
	case Alone:
		a, b := from < c.Number, to < c.Number
		return (a || b) && !(c.OneWay && b)
	case Chain:
		return from-to != 1 && to-from != 1
	}
	return true // nobody
}
