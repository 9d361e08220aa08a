// Package scenario reads a scenario of load and faults, an HCL file that people write, and works out from it what
// happens when: to which link, relay, agent and host. It decides nothing about relays and does no I/O, so the same file
// can be played with real processes (internal/relay/chaostest) and in virtual time.
package scenario

import (
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/quota"
)

// The bounds of a scenario: a trial ends by itself, on a machine that has other things to do.
const (
	MaxRelays = 64
	maxSpan   = 15 * time.Minute
	maxRate   = 2000 // messages a second
	maxPhases = 200
)

// Scenario is a file that was read without a fault, with the defaults filled in.
type Scenario struct {
	Title, About   string
	Seed           uint64
	Standalone     bool // relays of their own that share nothing
	Appliances     bool // relays of their own, with an operator's file each, in place of the platform's
	Relays         int
	InitialRelays  int // of them in the relays' files at first, and started; 0 for all
	Slots          int // calls out at once, for each relay
	MaxPending     int // messages that each relay holds at most
	Attempts       int // for one message
	Rules          choice.Rules
	Classes        []choice.Class
	Partners       []Partner
	Phases         []Phase
	RandomSchedule *RandomSchedule // further phases, drawn by the seed; nil for none
	Expect         []Expectation
}

// Partner is one destination and the messages that clients have for it.
type Partner struct {
	Name  string
	Hosts []Host
	Loads []Load
	Limit *quota.Limit // told to the relays; nil where they have to find it out
}

// Endpoint is the name of a host's endpoint, by which relays of their own know it.
func (p Partner) Endpoint(h Host) string { return p.Name + "-" + h.Name }

// Host is one endpoint, with a limit of its own.
type Host struct {
	Name          string
	Rate          float64       // calls a second, from all relays
	Burst         float64       // calls that it takes at once after a rest
	Debt          float64       // refused calls use the limit up, to so many below none
	MaxConcurrent int           // calls that it works on at once; 0 for any number
	RetryAfter    time.Duration // told with a refusal; 0 for none
	Latency       time.Duration
	ColdStart     bool // it comes back with the rules' share of its rate, and falls over when it is pushed
}

// Load are messages that clients hand in, at times by chance.
type Load struct {
	Class     string
	Rate      float64       // a second, of all clients
	Timeout   time.Duration // how long a message may be delivered
	HotRelays int           // so many relays get ...
	HotFactor float64       // ... so many times what the others get
}

// Phase is a span of the scenario in which the same faults hold.
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
	Resize       *Resize // nil for a fleet that stays as it is
	Expect       []Expectation
}

// Expectation is a bound on a part of a phase, or of the whole scenario.
type Expectation struct {
	From, To     time.Duration // of the phase; To is 0 for its end
	MinDelivered float64       // at least, of what could be: what hosts take, or what is handed in if that is less
	MaxOffered   float64       // at most, calls of any one second over what hosts take in it, less their bursts; 0 for no bound
	MaxRefused   float64       // at most, of the calls; 0 for no bound
}

// Span is how long messages are handed in.
func (s *Scenario) Span() (d time.Duration) {
	for _, p := range s.Phases {
		d += p.Duration
	}
	if s.RandomSchedule != nil {
		d += time.Duration(s.RandomSchedule.Phases) * (s.RandomSchedule.FaultDuration + s.RandomSchedule.CalmDuration)
	}
	return d
}

// ClassByName is the class of a name.
func (s *Scenario) ClassByName(name string) (choice.Class, int) {
	for i, c := range s.Classes {
		if c.Name == name {
			return c, i
		}
	}
	return choice.Class{}, -1
}
