package chaostest

import (
	"slices"
	"time"

	"larchrouter/internal/relay/scenario"
)

// EventLog is the record of a run: what clients submitted and were answered, what hosts received, which notices agents got.
// Nothing in it is a relay's own account. Times count from the beginning of the run.
type EventLog struct {
	Plan          scenario.Plan
	Messages      map[string]*Message
	Calls         []Call
	Capacity      []CapacitySample
	Runs          []ReadySpan
	Scheduling    []SchedulingSample    // how long the run's processes waited for a processor
	Queried       []bool                // by relay: it was queried for outcomes at the end; nil with a platform, which gets notices
	Commands      []AcknowledgedCommand // in the order of their acknowledgements
	ColdOverloads int                   // how often a cold host failed under overload
	DatagramsLost int                   // by the links, as planned or as they could not be forwarded
	Datagrams     int                   // gossip that relays sent
	DatagramBytes int                   // of Datagrams
	Shed          int                   // messages that clients did not submit, as too many were in flight
	CPU           time.Duration         // used by the relays
	End           time.Duration         // the event log was closed
	Errors        []string              // of the run itself, or of a relay's process
}

// Message is a message that a client submitted.
type Message struct {
	ID       string
	Relay    int
	Dest     int
	Class    string
	Sent     time.Duration
	Timeout  time.Duration // from Sent to its deadline
	Status   int           // of the HTTP response; 0 for none within answerTimeout
	Answered time.Duration
	Notices  []Notice // of its outcome, from the agent or from a query
}

// Notice is an agent's notice of a message's outcome.
type Notice struct {
	At     time.Duration
	Status string
}

// Call is a call that a host received.
type Call struct {
	Dest, Host  int
	ID          string
	First, Last time.Duration // its first and last byte arrived
	Status      int
	RetryAfter  time.Duration // sent with the response; 0 for none
	Applied     bool          // it took effect
}

// AcknowledgedCommand is an operator's command that a relay has accepted.
type AcknowledgedCommand struct {
	scenario.Said
	At time.Duration // of the acknowledgement
}

// CapacitySample is the capacity of a destination's hosts during a span.
type CapacitySample struct {
	Dest     int
	From     time.Duration
	Duration time.Duration
	Calls    float64 // that they would serve in the span
	Burst    float64 // that they would serve in addition, after a pause
}

// ReadySpan is a span in which a relay was ready and not paused.
type ReadySpan struct {
	Relay     int
	From, To  time.Duration
	EmptyDisk bool // it started with an empty state directory: messages pending before may be lost
}

// running reports whether a relay was ready and not paused throughout a span.
func (b *EventLog) running(relay int, from, to time.Duration) bool {
	return slices.ContainsFunc(b.Runs, func(l ReadySpan) bool { return l.Relay == relay && l.From <= from && to <= l.To })
}
