package simulation

import (
	"fmt"
)

// Result is what was counted.
type Result struct {
	Offered, InTime, Late, Refused, Failed int // messages
	Value, OfferedValue                    float64
	Calls, OverLimit, RetryAfters          int // calls that reached a destination; refused above a limit; told to wait
	GossipMessages, GossipBytes            int // delivered
	ColdOverloads                          int // routes that fell over when cold
	RetryAfterViolations, ColdViolations   int // rules broken: calls within a told wait; routes pushed over by those that knew
	Steps                                  int
	Possible                               float64 // messages a second that limits would allow, times the span, at most what was offered
	ByDest                                 []DestinationCount
}

// DestinationCount is what one destination saw.
type DestinationCount struct{ Offered, Served, Calls, OverLimit int }

// String gives the main counts in one line, as shares of the messages offered, of the worth asked for or of the calls.
func (r Result) String() string {
	return fmt.Sprintf("offered %d, in time %.1f%%, late %.1f%%, worth %.1f%%, calls %d, over a limit %.1f%%, note bytes for each message %.1f",
		r.Offered, 100*float64(r.InTime)/float64(max(1, r.Offered)), 100*float64(r.Late)/float64(max(1, r.Offered)), 100*r.Value/max(1e-9, r.OfferedValue),
		r.Calls, 100*float64(r.OverLimit)/float64(max(1, r.Calls)), float64(r.GossipBytes)/float64(max(1, r.Offered)))
}
