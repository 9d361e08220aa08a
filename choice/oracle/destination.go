package oracle

import "time"

// RestartCost is c of a destination: what a call that is cut and restarted costs besides the time it had.
const RestartCost = 100 * time.Millisecond

// Destination is one destination of the serving tier as a relay sees it: how long calls there may run before they are
// cut, and what became of them. It is not safe for concurrent use.
type Destination struct{ table Table }

// NewDestination is a destination of which nothing is known, with the maximal time-out of calls there.
func NewDestination(bound time.Duration) *Destination {
	return &Destination{New(width(bound), Cost{Fixed: RestartCost})}
}

func width(bound time.Duration) time.Duration { return max(bound/Buckets, 1) }

// SetBound changes the maximal time-out; what is known stays.
func (d *Destination) SetBound(bound time.Duration) { d.table.Rescale(width(bound)) }

// Timeout for the next try of a call that has so much time left; last is the time-out of the try before, 0 for none.
// It is left, so that the try is not cut, where the call may not be restarted (it is not idempotent, or this is its
// last try), where little is known of the destination, and where no restart could be answered in time.
func (d *Destination) Timeout(left, last time.Duration, canRestart bool) time.Duration {
	if !canRestart || d.table.Few() {
		return left
	}
	d.table.Look()
	t := d.table.Edge()
	if t == 0 {
		return left
	}
	if last > 0 {
		t = max(t, last+d.table.Width())
	}
	if t+d.table.Mean() >= left {
		return left
	}
	return t
}

// Served enters a call that was answered, also when that was after its time-out. Errors and refusals stay out.
func (d *Destination) Served(took time.Duration) { d.table.Add(took) }

// Cut enters a call that was cut at its time-out, or whose connection failed.
func (d *Destination) Cut() { d.table.CutShort() }
