package simulation

import (
	"math/rand/v2"
	"time"

	"larchrouter/internal/relay/settings"
)

// Route is one endpoint of a destination, with limits of its own.
type Route struct {
	Limit           float64       // calls a second from all relays
	Burst           float64       // calls that it takes at once after a rest
	Debt            float64       // refused calls use the limit up, to so many calls below none
	MinRetryAfter   time.Duration // the least that it tells to wait
	RetryAfterShare float64       // share of the refusals that tell it
	ServiceTime     time.Duration // mean
	Zone            int
}

// Destination is one destination.
type Destination struct {
	Routes []Route
	Kind   int
	Load   float64 // messages a second from all relays
}

// Fault is something that befalls the day.
type Fault struct {
	From, To          time.Duration
	Dests             []int
	Down              bool    // calls are not answered, or find no connection where Shut is set
	RefuseConnections bool    // new connections are refused at once
	LimitFactor       float64 // share of the limit that is left; 0 for all
	Kill              int     // so many relays end at From, and start with nothing at To
	// Drop tells which notes are lost from From to To, by the numbers of sender and receiver; nil for none.
	Drop func(from, to int) bool
}

// Day is what is played.
type Day struct {
	Relays        int
	Settings      settings.Settings // Fleet and Index are filled in
	Dests         []Destination
	Faults        []Fault
	Span          time.Duration // messages arrive so long
	Seed          uint64
	Delay         [2]time.Duration // of a note, least and most
	LossRate      float64          // share of the notes
	DuplicateRate float64
	Corrupt       func(note []byte, r *rand.Rand) []byte // what becomes of a note on the way; nil for nothing
	Resizes       []Resize                               // the fleet's size over time; empty for Relays throughout
}

// Resize says how many relays there are from a time on.
type Resize struct {
	From   time.Duration
	Relays int
}
