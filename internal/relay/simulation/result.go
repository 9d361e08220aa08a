package simulation

import (
	"fmt"
)

// Result has the counts of a day.
type Result struct {
	Offered, InTime, Late, Refused, Failed int // messages
	Value, OfferedValue                    float64
	Calls, OverLimit, RetryAfters          int // calls at a destination; rejected above a limit; with a retry-after
	GossipMessages, GossipBytes            int // delivered
	ColdOverloads                          int // routes that failed under overload in their cold start
	RetryAfterViolations, ColdViolations   int // violations: calls within a retry-after; overloads by relays that knew
	Steps                                  int
	Possible                               float64 // messages that the limits allow, per destination at most those offered
	ByDest                                 []DestinationCount
}

// DestinationCount has the counts of a destination.
type DestinationCount struct{ Offered, Served, Calls, OverLimit int }

// String returns the main counts in one line, as shares of the offered messages, of their value or of the calls.
func (r Result) String() string {
	return fmt.Sprintf("offered %d, in time %.1f%%, late %.1f%%, value %.1f%%, calls %d, over a limit %.1f%%, "+
		"gossip bytes per message %.1f",
		r.Offered, 100*float64(r.InTime)/float64(max(1, r.Offered)), 100*float64(r.Late)/float64(max(1, r.Offered)),
		100*r.Value/max(1e-9, r.OfferedValue),
		r.Calls, 100*float64(r.OverLimit)/float64(max(1, r.Calls)), float64(r.GossipBytes)/float64(max(1, r.Offered)))
}
