package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// allPhases returns the phases of the file followed by the random ones. The order of draws is part of a seed's meaning.
func (s *Scenario) allPhases(draw *rand.Rand, relays int) []Phase {
	phases := slices.Clone(s.Phases)
	if s.RandomSchedule == nil {
		return phases
	}
	random := randomPhases{s, draw, relays}
	for n := range s.RandomSchedule.Phases {
		faulty := Phase{Duration: s.RandomSchedule.FaultDuration}
		for len(faulty.Name) == 0 || draw.Float64() < 0.3 { // sometimes two faults or more at once
			name := random.addFault(&faulty)
			if faulty.Name != "" {
				name = faulty.Name + "+" + name
			}
			faulty.Name = name
		}
		faulty.Name = fmt.Sprintf("%d-%s", n+1, faulty.Name)
		calm := Phase{Name: fmt.Sprintf("%d-healed", n+1), Duration: s.RandomSchedule.CalmDuration}
		if s.Appliances && draw.Float64() < 0.7 {
			random.addDrain(&faulty, &calm)
		}
		phases = append(phases, faulty, calm)
	}
	return phases
}

// randomPhases draws the phases of a RandomSchedule.
type randomPhases struct {
	*Scenario
	draw   *rand.Rand
	relays int
}

// between draws a duration from [a, b).
func (r randomPhases) between(a, b time.Duration) time.Duration {
	return a + time.Duration(r.draw.Float64()*float64(b-a))
}

// selector draws the share of relays that a fault affects.
func (r randomPhases) selector() RelaySelector {
	return RelaySelector{Share: 0.05 + 0.3*r.draw.Float64()}
}

// addFault adds a random fault to a phase and returns the fault's name.
func (r randomPhases) addFault(ph *Phase) string {
	draw, duration := r.draw, r.RandomSchedule.FaultDuration
	switch draw.IntN(9) {
	case 0:
		ph.Cuts = append(ph.Cuts, Cut{Shape: CutSides, Number: 2 + draw.IntN(max(1, min(5, r.relays-1)))})
		return "sides"
	case 1:
		ph.Cuts = append(ph.Cuts, Cut{Shape: CutSides, Number: 2, OneWay: true})
		return "one-way"
	case 2:
		ph.Cuts = append(ph.Cuts, Cut{Shape: CutNobody})
		return "nobody"
	case 3:
		ph.Cuts = append(ph.Cuts, Cut{Shape: CutSides, Number: 2, Flap: r.between(100*time.Millisecond, time.Second)})
		return "flap"
	case 4:
		ph.Cuts = append(ph.Cuts, Cut{Shape: CutAlone, Number: 1 + draw.IntN(max(1, r.relays/4))})
		return "alone"
	case 5:
		ph.Links = Links{Lose: 0.4 * draw.Float64(), Double: 0.3 * draw.Float64(), Reorder: 0.3 * draw.Float64(),
			Jitter: r.between(0, 100*time.Millisecond), Late: r.between(50*time.Millisecond, 2*time.Second)}
		return "loss"
	case 6:
		at := r.between(0, duration/2)
		ph.Stops = append(ph.Stops, Stop{RelaySelector: r.selector(), At: at, Duration: r.between(200*time.Millisecond, duration-at)})
		return "stop"
	case 7:
		ph.Kills = append(ph.Kills, Kill{RelaySelector: r.selector(), At: r.between(0, duration/2),
			RestartAfter: r.between(100*time.Millisecond, duration/2), EmptyDisk: draw.Float64() < 0.3})
		return "kill"
	default:
		ph.HostChanges = append(ph.HostChanges, r.hostChange())
		return "hosts"
	}
}

// hostChange draws a partner whose hosts all fail or become slower.
func (r randomPhases) hostChange() HostChange {
	duration := r.RandomSchedule.FaultDuration
	partner := r.Partners[r.draw.IntN(len(r.Partners))]
	change := HostChange{Partner: partner.Name, At: r.between(0, duration/2), Duration: r.between(duration/4, duration/2), Factor: 1}
	if change.Down = r.draw.Float64() < 0.5; !change.Down {
		change.Factor = 0.3 + 0.5*r.draw.Float64()
	}
	return change
}

// addDrain has an operator drain a host at one relay in the faulty phase, and undrain it at another relay in the calm one.
func (r randomPhases) addDrain(faulty, calm *Phase) {
	partner := r.Partners[r.draw.IntN(len(r.Partners))]
	command := Say{What: CommandDrain, Target: "endpoint:" + partner.Endpoint(partner.Hosts[r.draw.IntN(len(partner.Hosts))]),
		Relay: r.draw.IntN(r.relays), At: r.between(0, r.RandomSchedule.FaultDuration/2), Within: 3 * time.Second}
	faulty.Commands = append(faulty.Commands, command)
	command.What, command.Relay = CommandUndrain, r.draw.IntN(r.relays)
	command.At = r.between(r.RandomSchedule.CalmDuration/2, r.RandomSchedule.CalmDuration)
	calm.Commands = append(calm.Commands, command)
	faulty.Name += "+drain"
}
