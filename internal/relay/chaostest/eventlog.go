package chaostest

import (
	"slices"
	"time"

	"larchrouter/internal/relay/scenario"
)

// EventLog is what a trial has written down: what clients handed in and were told, what hosts were sent, what agents were
// told. Nothing in it comes from a relay's own account. Times count from the trial's beginning.
type EventLog struct {
	Plan          scenario.Plan
	Messages      map[string]*Message
	Calls         []Call
	Capacity      []CapacitySample
	Runs          []ReadySpan
	Scheduling    []SchedulingSample    // what the machine let the trial's processes do
	Queried       []bool                // by relay: it was asked at the end how its messages ended; nil under a platform, which is told
	Commands      []AcknowledgedCommand // by operators, in the order in which that was acknowledged
	ColdOverloads int                   // of cold hosts that were pushed over
	DatagramsLost int                   // notes that the links lost, by the plan or because they could not be passed on
	Datagrams     int                   // notes that relays sent
	DatagramBytes int                   // in them
	Shed          int                   // messages that clients could not hand in, as too many waited for an answer
	CPU           time.Duration         // that the relays used
	End           time.Duration         // the books were closed
	Errors        []string              // what went wrong with the trial itself, or with a relay's process
}

// Message is one that a client had.
type Message struct {
	ID       string
	Relay    int
	Dest     int
	Class    string
	Sent     time.Duration
	Timeout  time.Duration // it may be delivered so long
	Status   int           // answered; 0 for no answer in time
	Answered time.Duration
	Notices  []Notice // told to the agent
}

// Notice is a notice.
type Notice struct {
	At     time.Duration
	Status string
}

// Call is one that a host was sent.
type Call struct {
	Dest, Host  int
	ID          string
	First, Last time.Duration // its first and last byte came
	Status      int
	RetryAfter  time.Duration // told
	Applied     bool
}

// AcknowledgedCommand is what an operator said for the whole fleet.
type AcknowledgedCommand struct {
	scenario.Said
	At time.Duration // it was acknowledged
}

// CapacitySample is what the hosts of a destination took for a span.
type CapacitySample struct {
	Dest     int
	From     time.Duration
	Duration time.Duration
	Calls    float64 // that they would take
	Burst    float64 // that they would take at once beside
}

// ReadySpan is a span in which a relay was ready and ran.
type ReadySpan struct {
	Relay     int
	From, To  time.Duration
	EmptyDisk bool // it began with an empty folder: what was held before is lost with that, as it may be
}

// running tells whether a relay was ready and running throughout a span.
func (b *EventLog) running(relay int, from, to time.Duration) bool {
	return slices.ContainsFunc(b.Runs, func(l ReadySpan) bool { return l.Relay == relay && l.From <= from && to <= l.To })
}
