package scenario

import (
	"fmt"
	"time"
)

// Step is an action at a time from the beginning of the run: a Network, Stopped, Killed, Started, Relisted, AgentSilent, Said or
// HostSet. Report pages print actions with %T and %+v: names of their types, and of fields of those without String, are output.
type Step struct {
	At     time.Duration
	Action any
}

// The actions. Relays, partners and hosts are given by index.
type (
	// Stopped pauses or resumes a relay.
	Stopped struct {
		Relay  int
		Paused bool // false to resume
	}
	// Killed terminates a relay.
	Killed struct {
		Relay    int
		Graceful bool // with SIGTERM first
	}
	// Started starts a relay that is not running.
	Started struct {
		Relay     int
		EmptyDisk bool
	}
	// Relisted replaces a relay's file by one with Size relays in the fleet.
	Relisted struct{ Relay, Size int }
	// AgentSilent makes a relay's agent unresponsive, or responsive again.
	AgentSilent struct {
		Relay  int
		Silent bool
	}
	// HostSet sets the behaviour of a host from now on, as HostChange describes it.
	HostSet struct {
		Partner, Host int
		Factor        float64
		Down, Hang    bool
		Wait          time.Duration
	}
)

// Said is an operator's command. Its Relay and Of are below the plan's number of relays.
type Said struct{ Say }

// String describes the action as reports show it.
func (s Stopped) String() string {
	if s.Paused {
		return fmt.Sprintf("relay %d stands still", s.Relay)
	}
	return fmt.Sprintf("relay %d goes on", s.Relay)
}

// String describes the action as reports show it.
func (k Killed) String() string { return fmt.Sprintf("relay %d ends", k.Relay) }

// String describes the action as reports show it.
func (s Started) String() string { return fmt.Sprintf("relay %d starts again", s.Relay) }
