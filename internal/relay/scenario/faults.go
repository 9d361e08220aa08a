package scenario

import (
	"time"
)

// Shape is how a cut parts the fleet.
type Shape string

// The shapes.
const (
	CutSides  Shape = "sides"  // so many, relay by relay in turn; a relay hears its own side
	CutAlone  Shape = "alone"  // so many relays hear nobody and are heard by nobody
	CutNobody Shape = "nobody" // hears anybody
	CutChain  Shape = "chain"  // each hears the relays before and after it in number
)

// Cut loses all notes between some relays.
type Cut struct {
	Shape  Shape
	Number int           // of sides, or of relays that are alone
	OneWay bool          // relays of odd sides, or those that are alone, still hear the others and are not heard
	Flap   time.Duration // the cut comes and goes, so long each; 0 for a cut that stays
}

// Links is what becomes of notes that are not cut off.
type Links struct {
	Lose, Double, Reorder float64 // share of the notes; a reordered one comes after Late
	Delay, Jitter, Late   time.Duration
}

// RelaySelector selects relays: by number or share, drawn by the seed, with or without a partner's steward.
type RelaySelector struct {
	Number             int     // 0 for Share
	Share              float64 // of the fleet
	Coordinator        string  // the steward of this partner's destination is the first of them
	ExcludeCoordinator string  // the steward of this partner's destination is not one of them
}

// Stop has relays stand still (SIGSTOP) and go on (SIGCONT) without knowing it.
type Stop struct {
	RelaySelector
	At, Duration time.Duration
}

// Kill ends relays.
type Kill struct {
	RelaySelector
	At           time.Duration
	RestartAfter time.Duration // until they start again; 0 for never
	EmptyDisk    bool          // with an empty folder
	Graceful     bool          // SIGTERM, and SIGKILL 3.7 s later, in place of SIGKILL
}

// SilentAgent has the platform's agents of relays be silent for the phase.
type SilentAgent struct{ RelaySelector }

// HostChange is what becomes of a partner's hosts for a time.
type HostChange struct {
	Partner      string
	Hosts        []string // empty for all
	At, Duration time.Duration
	Factor       float64       // of the rate
	Down         bool          // no connection
	Hang         bool          // no answer
	RetryAfter   time.Duration // every call is turned away and told to wait so long; 0 for no such thing
}

// RandomSchedule is a course of faults drawn by the seed: so many phases, each with a fault and a calm one after it.
type RandomSchedule struct {
	Phases                      int
	FaultDuration, CalmDuration time.Duration
}
