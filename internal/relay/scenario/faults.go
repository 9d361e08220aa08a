package scenario

import "time"

// Shape is how a partition divides the fleet.
type Shape string

// The shapes.
const (
	CutSides  Shape = "sides"  // Number sides, assigned to relays in turn; only relays of one side reach each other
	CutAlone  Shape = "alone"  // the first Number relays neither send nor receive
	CutNobody Shape = "nobody" // no relay reaches another
	CutChain  Shape = "chain"  // each relay reaches those with the index before and after its own
)

// Cut is a network partition: gossip between some relays is lost. Report pages print its name and fields, as those of Links.
type Cut struct {
	Shape  Shape
	Number int           // of sides, or of isolated relays
	OneWay bool          // relays of odd sides, or isolated ones, still receive from the others
	Flap   time.Duration // the partition alternates between on and off, each for this long; 0 for a constant one
}

// Links is the quality of the links that no Cut affects.
type Links struct {
	Lose, Double, Reorder float64 // probabilities; a reordered datagram is delayed by Late
	Delay, Jitter, Late   time.Duration
}

// RelaySelector selects relays by number or share. The seed draws them; a partner's coordinator can be included or excluded.
type RelaySelector struct {
	Number             int     // 0 for Share
	Share              float64 // of the fleet
	Coordinator        string  // the coordinator of this partner's destination is selected first
	ExcludeCoordinator string  // the coordinator of this partner's destination is not selected
}

// Stop pauses relays (SIGSTOP) and resumes them (SIGCONT). At counts from the beginning of the phase.
type Stop struct {
	RelaySelector
	At, Duration time.Duration
}

// Kill terminates relays.
type Kill struct {
	RelaySelector
	At           time.Duration // from the beginning of the phase
	RestartAfter time.Duration // from At; 0 for never
	EmptyDisk    bool          // they restart with an empty state directory
	Graceful     bool          // SIGTERM, followed by SIGKILL after the grace period, in place of SIGKILL
}

// SilentAgent makes the platform's agents of relays unresponsive for the phase.
type SilentAgent struct{ RelaySelector }

// HostChange changes the behaviour of a partner's hosts for a time. At counts from the beginning of the phase.
type HostChange struct {
	Partner      string
	Hosts        []string // empty for all
	At, Duration time.Duration
	Factor       float64       // of the rate
	Down         bool          // refuses connections
	Hang         bool          // accepts calls and does not answer
	RetryAfter   time.Duration // rejects every call with this retry-after; 0 for none
}

// RandomSchedule is a sequence of faults drawn from the seed: Phases pairs of a phase with faults and a calm one.
type RandomSchedule struct {
	Phases                      int
	FaultDuration, CalmDuration time.Duration
}
