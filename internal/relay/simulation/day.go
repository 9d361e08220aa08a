package simulation

import (
	"math/rand/v2"
	"time"

	"larchrouter/internal/relay/settings"
)

// Route is an endpoint of a destination, with a rate limit of its own.
type Route struct {
	Limit           float64       // calls per second, from all relays
	Burst           float64       // size of the token bucket, in calls
	Debt            float64       // rejected calls use tokens too, down to -Debt
	MinRetryAfter   time.Duration // lower bound of its retry-after
	RetryAfterShare float64       // share of the rejections that have a retry-after
	ServiceTime     time.Duration // mean
	Zone            int
}

// Destination is a destination with its load.
type Destination struct {
	Routes []Route
	Kind   int
	Load   float64 // messages per second, from all relays
}

// Fault is a fault from From to To.
type Fault struct {
	From, To          time.Duration
	Dests             []int
	Down              bool    // connections time out, or are refused with RefuseConnections
	RefuseConnections bool    // connections are refused at once
	LimitFactor       float64 // of the rate limits; 0 for no change
	Kill              int     // number of relays that stop at From and restart from their journals at To
	// Drop reports whether gossip is lost, by the indexes of sender and receiver; nil for none.
	Drop func(from, to int) bool
}

// Day is a fleet with its load and its faults.
type Day struct {
	Relays        int
	Settings      settings.Settings // Fleet and Index are filled in
	Dests         []Destination
	Faults        []Fault
	Span          time.Duration // in which messages arrive
	Seed          uint64
	Delay         [2]time.Duration // of gossip, lower and upper bound
	LossRate      float64          // of gossip
	DuplicateRate float64
	Corrupt       func(note []byte, r *rand.Rand) []byte // returns what arrives of a gossip message; nil for no corruption
	Resizes       []Resize                               // of the fleet; empty for Relays throughout
}

// Resize sets the number of relays from a time on.
type Resize struct {
	From   time.Duration
	Relays int
}
