package choice

// Settings, events and actions: the types of the module's interface.

import "time"

// Effect is the effect of a second execution of a message.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota // idempotent: any number of executions does no harm
	Keyed                // idempotent by key: the destination drops duplicates within Class.Window
	Unsafe               // not idempotent: never retried after an attempt that may have run
)

// Class describes one class of message.
type Class struct {
	Name      string
	Aim       time.Duration // latency target: delivered within it, a message has its full value
	Deadline  time.Duration // from submission; a later delivery has no value
	Worth     float64       // value of a delivery within the latency target, at least 0
	LateShare float64       // share of the value that is left at the deadline, from 0 to 1
	Effect    Effect
	// SameZone limits retries of a keyed message to endpoints in the zone of the attempt that may have run;
	// otherwise every endpoint drops duplicates.
	SameZone bool
	Window   time.Duration // time for which a destination remembers a keyed message
	Ordered  bool          // messages with the same key are sent one at a time, in the order of arrival
}

// Kind describes one kind of destination.
type Kind struct {
	Apart   bool // endpoints are separate routes, each with its own rate limit and health
	PerCall int  // maximum number of messages in one call
}

// Rules are the parameters of the operating rules.
type Rules struct {
	AnswerGrace    time.Duration // time after the deadline within which a final answer still counts
	DrainGrace     time.Duration // time for which a draining endpoint still takes calls
	OverloadFactor float64       // a destination in slow start fails above this multiple ...
	Fall           time.Duration // ... of its current capacity, sustained for this window
	ColdFrom       float64       // share of its capacity with which a destination starts after an outage
	Cold           time.Duration // duration of the slow start, until it has its full capacity
	OrderSettle    time.Duration // pause of an ordering key after an attempt with an unknown outcome
}

// Settings configure a Chooser.
type Settings struct {
	Index       int           // this relay's number, from 0
	Fleet       int           // number of relays, at least 1
	Workers     int           // maximum number of calls in flight
	MaxHeld     int           // maximum number of pending messages, in flight or queued; 0 for no limit
	MaxAttempts int           // maximum attempts for one message, those that ended as NotSent included
	Tick        time.Duration // resolution of the relay's timers
	Classes     []Class
	Kinds       []Kind
	Handshake   float64       // cost of a new connection, in units of value for each message
	IdleConn    time.Duration // hosts close a connection after this idle time
	ZoneFee     []float64     // cost of each message on a separate route, in units of value, by zone
	Halving     bool          // value halves with each latency target past the first; else it falls linearly
	Listed      bool          // Host.Rate is the rate limit of a destination for all relays together
	Cancels     bool          // Cancel is allowed
	Subscribe   bool          // updates of the endpoint list come only after Subscribe
	// ReportLimit is the index in Result.Report of the rate limit in calls a second; negative if none is
	// reported.
	ReportLimit int
	// Granted makes every call need a grant (Want, Granted, Spent). The coordinator that issues grants
	// enforces the fleet-wide rate limit of a route and its slow start; waits are still enforced here.
	Granted bool
	Rules   Rules
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. Refused, NoConnection and NotSent prove that the message did not run; Served proves that it
// ran; after any other it may have run.
const (
	Served Outcome = iota
	Error
	Refused
	Timeout
	NoConnection
	Reset
	Cancelled
	NotSent
	Spoilt // unreadable response: it may have run; a single one does not count against the host's health
)

// An Event is an input of Step. The types below are the events.
type Event interface{ event() }

// Arrival submits a new message, which will get exactly one final answer.
type Arrival struct {
	ID    string
	Class int
	Dest  int
	Left  time.Duration // time to its deadline
	Key   string        // ordering key; empty for none
}

// Result ends one attempt.
type Result struct {
	ID      string
	Host    string
	Attempt int
	Outcome Outcome
	Took    time.Duration // since the attempt was sent
	Wait    time.Duration // the host's retry-after: nothing may be sent there for this time; 0 for none
	Done    bool          // the message has its final answer
	Report  []float64     // load report, if any
}

// Withdrawn cancels a message; it needs no final answer.
type Withdrawn struct{ ID string }

// State is an endpoint's state on the list.
type State int

// The states of the list; they are independent of health.
const (
	Gone State = iota
	Ready
	Draining
)

// Host is one entry of the endpoint list.
type Host struct {
	Addr  string
	Dest  int
	Kind  int
	Zone  int
	Rate  float64 // calls a second, see Settings.Listed
	State State
}

// Listing is an update of the endpoint list.
type Listing struct {
	Whole  bool // the complete list; else only the entries that changed
	Failed bool // the request for the list failed; the last one remains valid
	Hosts  []Host
}

// Retuned changes the settings Classes, MaxAttempts, MaxHeld, Workers and Rules; other differences are
// ignored. Classes may only be appended, since pending messages refer to the existing ones by index. Settings
// that are invalid are logged and change nothing.
type Retuned struct{ Settings }

// Told reports a wait (retry-after) that a host sent to another process of this relay.
type Told struct {
	Host string
	Wait time.Duration
}

// Granted permits one call to a route, in response to a Want. Each grant is reported back by one Spent.
type Granted struct {
	Dest  int
	Route string
	Grant uint32        // identifies the grant
	For   time.Duration // it expires unless the call is sent within this time
	Well  bool          // the route has served other relays since this relay may have seen it fail
}

// Heard is a message from another relay of the fleet, and Tell the action that sends one. A Chooser ignores
// the one and never returns the other: internal/relay/engine passes both between gossip and the issuer of
// grants.
type Heard struct {
	From int // index of the sender
	Note []byte
}

// Woken is the wake-up that a Wake action requested.
type Woken struct{}

func (Arrival) event()   {}
func (Restored) event()  {}
func (Unwell) event()    {}
func (Result) event()    {}
func (Withdrawn) event() {}
func (Listing) event()   {}
func (Retuned) event()   {}
func (Told) event()      {}
func (Granted) event()   {}
func (Heard) event()     {}
func (Woken) event()     {}

// An Action is an output of Step that the relay must carry out. The types below are the actions.
type Action interface{ action() }

// Send starts an attempt. It ends as Timeout after the given time. Sends of one Step to one host share a call
// as far as Kind.PerCall allows.
type Send struct {
	ID      string
	Host    string
	Timeout time.Duration
}

// Refuse is a final answer: the message did not run or may safely be executed again. The client may submit it
// again, best after the given time.
type Refuse struct {
	ID    string
	After time.Duration
	Why   Reason
}

// Fail is a final answer: whether the message ran is not known.
type Fail struct {
	ID  string
	Why Reason
}

// Cancel aborts an attempt, which still ends in a Result.
type Cancel struct {
	ID      string
	Attempt int
}

// Wake requests a Step with a Woken event after the given time.
type Wake struct{ After time.Duration }

// Subscribe requests updates of the endpoint list.
type Subscribe struct{}

// Health reports the begin (Unwell) or the end of an outage of a host, including the slow start after it.
// The relay stores it and passes it to its successor process as an Unwell event.
type Health struct {
	Host   string
	Unwell bool
	Base   float64 // messages a second served to this relay before the outage
}

// Want states how many calls could be sent to a destination now if they were granted, and the value of the
// next. It replaces the last Want for that destination.
type Want struct {
	Dest   int
	Calls  int
	Value  float64
	Routes []string // any of these would do; in order of preference
}

// Spent reports the outcome of a granted call; NotSent if none was made, as when the grant expired.
type Spent struct {
	Dest    int
	Route   string
	Grant   uint32
	Outcome Outcome
	Took    time.Duration
	Wait    time.Duration // the host's retry-after, 0 for none
}

// Tell sends a message to another relay of the fleet; it may be lost.
type Tell struct {
	To   int
	Note []byte
}

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Wake) action()      {}
func (Subscribe) action() {}
func (Want) action()      {}
func (Spent) action()     {}
func (Tell) action()      {}
func (Log) action()       {}
func (Health) action()    {}
