// Package quota divides a limit into conserved quota shares. Every relay of a fleet owns a share of a limit. A coordinator
// may grant calls on the shares that are pledged to it, each under a lease, and a share is pledged to one coordinator at a
// time. Therefore all coordinators of a limit together never grant more than the limit, whichever relays can reach each
// other: each side of a network partition grants at most the sum of the shares on that side, and a coordinator whose process
// was stalled grants nothing on leases that expired meanwhile.
//
// Clocks are not shared. A coordinator requests pledges with a stamp of its own clock, and a pledge carries the stamp that
// it answers. The coordinator counts the lease from its stamp; the relay counts it from the sending of the pledge, which is
// later. So the lease has expired at the coordinator before the relay pledges to another one, however late or often messages
// arrive. The speeds of clocks may differ by Terms.Drift at most. A relay that starts does not know what it pledged before,
// and waits for one lease.
//
// These are leases (Gray and Cheriton 1989) on the shares of an escrow (O'Neil 1986; Barbará and Garcia-Molina 1994), with
// fixed shares. The package is a pure state machine: it reads no clock, sends no message and starts no goroutine. Its types
// are not safe for concurrent use; the caller passes the present time by its own monotonic clock, and carries stamps, units
// and releases between Pool and Holder.
package quota

import "time"

// TotalUnits is all of a limit, in the units in which shares are counted.
const TotalUnits = 1 << 20

// NoCoordinator is the coordinator of a share that is not pledged.
const NoCoordinator = -1

// Terms are the terms of a lease. All relays of a fleet must use the same.
type Terms struct {
	Lease time.Duration // validity of a pledge
	Drift float64       // largest relative difference between the speeds of two clocks
}

// expiry returns when a relay may pledge its share to another coordinator, if it pledged it at the given time. The relay's
// clock may be fast and the coordinator's slow.
func (t Terms) expiry(pledgedAt time.Duration) time.Duration {
	return pledgedAt + t.Lease + time.Duration(float64(t.Lease)*t.Drift)
}

// Share returns the units of one relay in a fleet of that many. All shares sum to TotalUnits at most.
func Share(relays int) uint32 { return uint32(TotalUnits / max(1, relays)) }

// Stamp is an instant by a coordinator's clock in one of its incarnations. Stamps of different incarnations have no order.
type Stamp struct {
	Incarnation uint32
	At          time.Duration
}

// Limit is what a destination accepts by contract, from all relays together.
type Limit struct {
	Rate          float64 // calls a second
	Burst         float64 // calls at once after a rest; at least 1
	MaxConcurrent int     `json:"AtOnce"` // calls in flight; 0 for any number. The tag keeps the bytes that digests hash.
}
