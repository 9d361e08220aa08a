// Package scenario parses a scenario of load and faults from an HCL file and computes its timeline for a number of relays and a
// seed: what happens when to which link, relay, agent and host. The package does no I/O, reads no clock and starts no goroutine;
// the same file can be run with real processes (internal/relay/chaostest) and in virtual time.
//
// Parse returns a Scenario, NewPlan its Plan: phases and an ordered list of steps, which the caller executes. A Network, one of
// the steps, decides what happens to each datagram. Values are not modified after they are returned and may be shared.
package scenario

import (
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/quota"
)

// Bounds of a scenario, so that a run ends in reasonable time on a shared machine.
const (
	MaxRelays = 64 // in a fleet
	maxSpan   = 15 * time.Minute
	maxRate   = 2000 // messages per second
	maxPhases = 200
)

// Scenario is a valid file with the defaults filled in.
type Scenario struct {
	Title, About   string
	Seed           uint64
	Standalone     bool // appliances without a fleet: they share nothing
	Appliances     bool // each relay has an operator's file; otherwise a platform configures them
	Relays         int
	InitialRelays  int // number of relays in the fleet at the beginning; 0 for all
	Slots          int // calls in flight, per relay
	MaxPending     int // messages pending, per relay
	Attempts       int // per message
	Rules          choice.Rules
	Classes        []choice.Class
	Partners       []Partner
	Phases         []Phase
	RandomSchedule *RandomSchedule // phases after those of the file, drawn from the seed; nil for none
	Expect         []Expectation   // of the run as a whole
}

// Partner is a destination with the load that clients have for it.
type Partner struct {
	Name  string
	Hosts []Host
	Loads []Load
	Limit *quota.Limit // configured in the relays; nil if they have to estimate it
}

// Endpoint returns the name of a host's endpoint in an appliance's configuration.
func (p Partner) Endpoint(h Host) string { return p.Name + "-" + h.Name }

// Host is an endpoint of a partner, with a rate limit of its own.
type Host struct {
	Name          string
	Rate          float64       // calls per second, from all relays
	Burst         float64       // size of the token bucket, in calls
	Debt          float64       // rejected calls use tokens too, down to -Debt
	MaxConcurrent int           // calls in flight; 0 for no limit
	RetryAfter    time.Duration // sent with a rejection; 0 for none
	Latency       time.Duration
	ColdStart     bool // after an outage it has the rules' share of its rate, and fails if it is overloaded
}

// Load is a Poisson stream of messages that clients submit.
type Load struct {
	Class     string
	Rate      float64       // messages per second, of all clients
	Timeout   time.Duration // from submission to a message's deadline
	HotRelays int           // number of relays that get HotFactor times the load of the others
	HotFactor float64
}

// Phase is a part of a scenario with its faults, commands and expectations.
type Phase struct {
	Name         string
	Duration     time.Duration
	Cuts         []Cut
	Links        Links
	Stops        []Stop
	Kills        []Kill
	SilentAgents []SilentAgent
	HostChanges  []HostChange
	Commands     []Say
	Resize       *Resize // nil for no change of the fleet's size
	Expect       []Expectation
}

// Expectation bounds what is measured in a part of a phase, or of the run.
type Expectation struct {
	From, To     time.Duration // from the beginning of the phase; To is 0 for its end
	MinDelivered float64       // delivered messages as a share of the hosts' capacity, or of the submitted messages if fewer
	MaxOffered   float64       // calls of any second, less the bursts, as a share of the hosts' capacity in it; 0 for no bound
	MaxRefused   float64       // rejected calls as a share of all; 0 for no bound
}

// Span returns how long clients submit messages.
func (s *Scenario) Span() (d time.Duration) {
	for _, p := range s.Phases {
		d += p.Duration
	}
	if s.RandomSchedule != nil {
		d += time.Duration(s.RandomSchedule.Phases) * (s.RandomSchedule.FaultDuration + s.RandomSchedule.CalmDuration)
	}
	return d
}

// ClassByName returns a class and its index, which is -1 if there is none of that name.
func (s *Scenario) ClassByName(name string) (choice.Class, int) {
	for i, c := range s.Classes {
		if c.Name == name {
			return c, i
		}
	}
	return choice.Class{}, -1
}
