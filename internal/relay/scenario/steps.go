package scenario

import (
	"fmt"
	"time"
)

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
