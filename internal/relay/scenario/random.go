package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

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
