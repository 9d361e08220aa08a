// Package choice makes the decisions of an outbound gateway: which message a
// relay sends next, to which endpoint, how long it waits, whether it tries
// again, and when it gives a message back.
//
// A relay embeds one Chooser. It hands Step the time and everything that has
// happened since the last call, carries out the actions that come back, and
// reports what became of them as later events. The package opens no
// connection, starts no goroutine and reads no clock.
//
// Times are durations since an epoch of the relay's choosing; they must never
// run backwards. The same seed and the same events yield the same actions.
package choice

import "time"

// Effect says what a second execution of a message would do.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota // a repeat does no harm
	Keyed                // the destination drops repeats for a while
	Unsafe               // a repeat must never happen
)

// Class describes one class of message.
type Class struct {
	Name      string
	Aim       time.Duration // delivered within this, it earns all its worth
	Deadline  time.Duration // after this it is worth nothing
	Worth     float64
	LateShare float64 // share of the worth that is left at the deadline
	Effect    Effect
	// SameZone limits repeats of a keyed message to endpoints in the zone of
	// the attempt that may have run; otherwise every endpoint drops them.
	SameZone bool
	Window   time.Duration // how long a keyed message is remembered
	Ordered  bool          // messages that share a key go one at a time, in order
}

// Kind describes one kind of destination.
type Kind struct {
	Apart   bool // endpoints are routes apart, each with limits and health of its own
	PerCall int  // messages that one call carries at most
}

// Rules are the figures of the operating rules.
type Rules struct {
	AnswerGrace    time.Duration // how long past its deadline a final answer still counts
	DrainGrace     time.Duration // how long a draining endpoint may still be sent to
	OverloadFactor float64       // a cold destination falls over above this multiple ...
	Fall           time.Duration // ... of its present capacity, kept up for this long
	ColdFrom       float64       // share of its capacity with which a destination returns
	Cold           time.Duration // time until it has all of its capacity again
	OrderSettle    time.Duration // rest of a key after an attempt whose end is unsure
}

// Settings configure a Chooser.
type Settings struct {
	Index       int // this relay's number, from 0
	Fleet       int // relays in all
	Workers     int // calls that may be out at once
	MaxHeld     int // messages held at most, sent or not
	MaxAttempts int // attempts for one message, those never sent included
	Tick        time.Duration
	Classes     []Class
	Kinds       []Kind
	Handshake   float64       // points for each new connection, for each message
	IdleConn    time.Duration // hosts close a connection that stood idle for so long
	ZoneFee     []float64     // points for each message a route apart takes on, by zone
	Halving     bool          // after the aim worth falls by half with each further aim; else evenly
	Listed      bool          // Host.Rate is the rate that a destination takes from all relays
	Cancels     bool          // Cancel is allowed
	Subscribe   bool          // list changes come only after Subscribe
	// ReportLimit is the place in Result.Report of the limit in calls a second;
	// below 0 where it is not reported.
	ReportLimit int
	// Granted has calls go out on grants alone, one each (Want, Granted, Spent). Whoever gives them keeps all
	// relays together under a route's limit and within the rule for one that returns; waits still bind here.
	Granted bool
	Rules   Rules
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. Refused, NoConnection and NotSent prove that the message never
// ran; Served proves that it did; the others prove nothing.
const (
	Served Outcome = iota
	Error
	Refused
	Timeout
	NoConnection
	Reset
	Cancelled
	NotSent
	Spoilt // no answer that can be read, by no fault of the host's: it may have run, and one says nothing of its health
)

// An Event tells a Chooser what happened. The types below are the events.
type Event interface{ event() }

// Arrival is a new message; the Chooser owes it one final answer.
type Arrival struct {
	ID    string
	Class int
	Dest  int
	Left  time.Duration // how long it may still be delivered
	Key   string        // key of the order; empty for none
}

// Result ends one attempt.
type Result struct {
	ID      string
	Host    string
	Attempt int
	Outcome Outcome
	Took    time.Duration // since the attempt went out
	Wait    time.Duration // told with Refused: send nothing there for so long; 0 if none was told
	Done    bool          // the message is finished; no answer is owed any more
	Report  []float64     // load report, if any
}

// Withdrawn says that nobody wants a message any more.
type Withdrawn struct{ ID string }

// State is an endpoint's state on the list.
type State int

// The states; none tells of health.
const (
	Gone State = iota
	Ready
	Draining
)

// Host is one endpoint as the list has it.
type Host struct {
	Addr  string
	Dest  int
	Kind  int
	Zone  int
	Rate  float64 // see Settings.Listed
	State State
}

// Listing is news of the endpoint list.
type Listing struct {
	Whole  bool // replaces the old list; else only changed entries
	Failed bool // asking for the list failed; the old one stands
	Hosts  []Host
}

// Retuned gives other settings: Classes, MaxAttempts, MaxHeld, Workers and Rules; what else differs is not taken.
// Classes may only become more: the earlier ones stay in their places, as messages under way have them. Settings
// that cannot be taken are logged and change nothing.
type Retuned struct{ Settings }

// Told says that a host has told this relay to wait, in answer to what another process of it sent.
type Told struct {
	Host string
	Wait time.Duration
}

// Granted gives leave for one call to a route, in answer to a Want. Each ends in one Spent.
type Granted struct {
	Dest  int
	Route string
	Grant uint32        // tells it from others
	For   time.Duration // it lapses if the call is not begun by then
	Well  bool          // the route has served other relays since this one may have seen it fail
}

// Heard is a note of another relay of the fleet, and Tell an action that sends one. A Chooser does neither; they
// pass between whoever carries notes and whoever gives grants (internal/relay/engine).
type Heard struct {
	From int // its number
	Note []byte
}

// Woken is the wake-up that a Wake action asked for.
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

// An Action is something the relay must do. The types below are the actions.
type Action interface{ action() }

// Send calls an endpoint with a message. The attempt ends as Timeout after the
// given time. Sends of one Step to one host share a call as far as
// Kind.PerCall allows.
type Send struct {
	ID      string
	Host    string
	Timeout time.Duration
}

// Refuse ends a message: it did not run, and the client may safely come again,
// best after the given time.
type Refuse struct {
	ID    string
	After time.Duration
	Why   Reason
}

// Fail ends a message; whether it ran is not known.
type Fail struct {
	ID  string
	Why Reason
}

// Cancel calls an attempt off; it still gets its Result.
type Cancel struct {
	ID      string
	Attempt int
}

// Wake asks for a Step with a Woken event after a while.
type Wake struct{ After time.Duration }

// Subscribe asks for changes of the endpoint list.
type Subscribe struct{}

// Health tells that a host began or ceased to be in an outage, or cold after one.
// A relay keeps it, and hands it to its successor as Unwell.
type Health struct {
	Host   string
	Unwell bool
	Base   float64 // messages a second served to this relay before
}

// Want tells how many calls could go to a destination now if they were granted, and what the next would be worth.
// It replaces the last one for that destination.
type Want struct {
	Dest   int
	Calls  int
	Value  float64
	Routes []string // to any of these, the best liked first
}

// Spent tells what became of a granted call; NotSent if it was not made, as when the grant has lapsed.
type Spent struct {
	Dest    int
	Route   string
	Grant   uint32
	Outcome Outcome
	Took    time.Duration
	Wait    time.Duration // told
}

// Tell sends a note to another relay of the fleet; it may be lost.
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
