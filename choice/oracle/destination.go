package oracle

import "time"

// RestartCost is the cost c of a retry in the serving tier, in addition to the time-out before it.
const RestartCost = 100 * time.Millisecond

// Destination estimates the time-outs of calls to one destination of the serving tier from their outcomes. It
// is not safe for concurrent use.
type Destination struct{ table Table }

// NewDestination returns a destination without samples; bound is the maximum time-out of its calls.
func NewDestination(bound time.Duration) *Destination {
	return &Destination{New(width(bound), Cost{Fixed: RestartCost})}
}

func width(bound time.Duration) time.Duration { return max(bound/Buckets, 1) }

// SetBound changes the maximum time-out; the samples are kept.
func (d *Destination) SetBound(bound time.Duration) { d.table.Rescale(width(bound)) }

// Timeout returns the time-out of the next attempt of a call whose deadline is left away; last is the
// time-out of the attempt before, 0 for none. It returns left, so that there is no retry, if the call must
// not be retried (it is not idempotent, or this is its last attempt), if there are few samples, and if no
// retry could complete in time.
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

// Served records the latency of a served call, also after its time-out. Errors and rejections are not
// recorded.
func (d *Destination) Served(took time.Duration) { d.table.Add(took) }

// Cut records a call that ended at its time-out, or whose connection failed.
func (d *Destination) Cut() { d.table.CutShort() }
