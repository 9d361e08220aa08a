// Package quota holds a limit as rights that are conserved. Each relay of a fleet has a part of a limit; whoever grants calls
// on it, a steward, may grant on the parts that were pledged to it, each for a lease, and a part is pledged to one steward
// at a time. So whoever hears whom, all stewards of a limit together grant no more than the limit: a fleet that is cut
// in two grants on each side as much as that side has, and a steward that stood still grants nothing on what has lapsed.
//
// No clock is shared. A steward calls for pledges with a stamp of its own clock, and a pledge brings back the stamp that it
// answers. The steward counts the lease from its stamp, the relay from the sending of the pledge, which came later: so the
// lease is over for the steward before the relay pledges anew, however late or often notes come. Clocks may run at
// different speeds, by Drift at most. A relay that starts does not know what it had pledged, and waits for a lease.
//
// These are leases (Gray and Cheriton 1989) on the parts of an escrow (O'Neil 1986; Barbará and Garcia-Molina 1994), with the
// parts fixed. The package decides and does nothing else: no clock, no note, no goroutine.
package quota

import "time"

// Whole is all of a limit, in units that parts are counted in.
const Whole = 1 << 20

// Terms of a lease.
type Terms struct {
	Lease time.Duration // a pledge holds so long
	Drift float64       // by which clocks of relays may differ in speed, as a share
}

// over is when a relay may pledge anew what it pledged at a time: its clock may be fast, and the steward's slow.
func (t Terms) over(at time.Duration) time.Duration {
	return at + t.Lease + time.Duration(float64(t.Lease)*t.Drift)
}

// Part is what each relay of a fleet has of a limit. Parts sum to Whole at most.
func Part(relays int) uint32 { return uint32(Whole / max(1, relays)) }

// Stamp is an instant by a steward's clock, in one of its lives: a clock begins anew with each.
type Stamp struct {
	Life uint32
	At   time.Duration
}

// Limit is what a partner takes by its contract, of all relays together.
type Limit struct {
	Rate   float64 // calls a second
	Burst  float64 // calls at once after a rest, 1 at least
	AtOnce int     // calls under way; 0 for any number
}

// Nobody is whom a part is pledged to that is free.
const Nobody = -1

// Holder is a relay's book of its own part.
type Holder struct {
	terms Terms
	units uint32
	to    int
	until time.Duration // by this relay's clock, then the pledge is over wherever its notes may be
	last  Stamp         // the newest that it was pledged on to that one
	lives bool          // it was pledged to more than one life of that one: their stamps have no order
}

// NewHolder returns the book of a relay that starts now: what it had pledged before is unknown.
func NewHolder(t Terms, units uint32, now time.Duration) *Holder {
	return &Holder{terms: t, units: units, to: Nobody, until: t.over(now)}
}

// Resize says how large the part is from now on. What is pledged stays as it was until it is renewed or lapses.
func (h *Holder) Resize(units uint32) { h.units = units }

// Pledge pledges the part to a steward that called with a stamp, or renews that. It is refused while the part is, or may
// be, pledged to another.
func (h *Holder) Pledge(now time.Duration, to int, on Stamp) (units uint32, ok bool) {
	if to != h.to {
		if now < h.until {
			return 0, false
		}
		h.to, h.last, h.lives = to, on, false
	}
	h.lives = h.lives || on.Life != h.last.Life
	if on.At > h.last.At {
		h.last.At = on.At
	}
	h.until = max(h.until, h.terms.over(now))
	return h.units, true
}

// Released takes in that a steward lets go of the part, and of what answers calls up to a stamp. That is heeded only if
// nothing was pledged to it on a newer one: the word may be late.
func (h *Holder) Released(now time.Duration, by int, upTo Stamp) {
	if by == h.to && !h.lives && upTo.Life == h.last.Life && upTo.At >= h.last.At {
		h.until, h.to = min(h.until, now), Nobody
	}
}

// To is whom the part is pledged to; Nobody if it is free.
func (h *Holder) To(now time.Duration) (steward int) {
	if now >= h.until {
		return Nobody
	}
	return h.to
}

// FreeAt is when the part may be pledged to another.
func (h *Holder) FreeAt() time.Duration { return h.until }

// Pool is a steward's book of what was pledged to it.
type Pool struct {
	terms Terms
	life  uint32
	by    map[int]pledge
}

type pledge struct {
	units uint32
	stamp time.Duration // the newest that counts
	until time.Duration // by the steward's clock
}

// NewPool returns the book of a steward in one of its lives.
func NewPool(t Terms, life uint32) *Pool { return &Pool{terms: t, life: life, by: map[int]pledge{}} }

// Stamp is what a call says.
func (p *Pool) Stamp(now time.Duration) Stamp { return Stamp{p.life, now} }

// Take takes in a pledge that answers a call with a stamp. One that is of another life, that comes too late or after a
// newer one, or that answers a call which is yet to be made, changes nothing.
func (p *Pool) Take(now time.Duration, from int, units uint32, on Stamp) {
	old, known := p.by[from]
	until := on.At + p.terms.Lease
	if on.Life != p.life || on.At > now || until <= now || known && on.At <= old.stamp {
		return
	}
	p.by[from] = pledge{min(units, Whole), on.At, until}
}

// Release lets go of a relay's part, and returns the stamp up to which its pledges count no more.
func (p *Pool) Release(now time.Duration, from int) Stamp {
	p.by[from] = pledge{stamp: now}
	return Stamp{p.life, now}
}

// Age is how long ago the call was made that a relay's pledge answers, and whether that is in force.
func (p *Pool) Age(now time.Duration, from int) (age time.Duration, ok bool) {
	x := p.by[from]
	return now - x.stamp, now < x.until
}

// Holders are the relays whose pledges are in force, in no order.
func (p *Pool) Holders(now time.Duration) (all []int) {
	for from, x := range p.by {
		if now < x.until {
			all = append(all, from)
		}
	}
	return all
}

// Units are those in force, at most Whole whatever relays say.
func (p *Pool) Units(now time.Duration) uint32 {
	sum := uint64(0)
	for _, x := range p.by {
		if now < x.until {
			sum += uint64(x.units)
		}
	}
	return uint32(min(sum, Whole))
}

// Sweep forgets what has lapsed, and releases that no pledge can be late for any more.
func (p *Pool) Sweep(now time.Duration) {
	for from, x := range p.by {
		if now >= max(x.until, x.stamp+p.terms.Lease) {
			delete(p.by, from)
		}
	}
}
