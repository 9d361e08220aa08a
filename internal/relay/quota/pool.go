package quota

import "time"

// Pool is a coordinator's state of the shares that are pledged to it.
type Pool struct {
	terms       Terms
	incarnation uint32
	pledges     map[int]pledge // by relay
}

// pledge is a relay's newest pledge, or a tombstone after its release: without units, already expired.
type pledge struct {
	units     uint32
	stamp     time.Duration // newest stamp that counts; pledges on older ones are ignored
	expiresAt time.Duration // by the coordinator's clock
}

// NewPool returns the empty state of a coordinator in one of its incarnations.
func NewPool(t Terms, incarnation uint32) *Pool {
	return &Pool{terms: t, incarnation: incarnation, pledges: map[int]pledge{}}
}

// Stamp returns the stamp that a request for pledges has to carry.
func (p *Pool) Stamp(now time.Duration) Stamp { return Stamp{p.incarnation, now} }

// Accept records a pledge of a relay that answers the request with the given stamp. It ignores one whose stamp is of
// another incarnation, has expired, lies in the future, or is not newer than that of the pledge or release it knows.
func (p *Pool) Accept(now time.Duration, relay int, units uint32, stamp Stamp) {
	old, known := p.pledges[relay]
	expiresAt := stamp.At + p.terms.Lease
	if stamp.Incarnation != p.incarnation || stamp.At > now || expiresAt <= now || known && stamp.At <= old.stamp {
		return
	}
	p.pledges[relay] = pledge{min(units, TotalUnits), stamp.At, expiresAt}
}

// Release gives up a relay's share, and returns the stamp up to which its pledges no longer count.
func (p *Pool) Release(now time.Duration, relay int) Stamp {
	p.pledges[relay] = pledge{stamp: now}
	return Stamp{p.incarnation, now}
}

// Age returns how long ago the request was sent that a relay's pledge answers, and reports whether the pledge is in force.
func (p *Pool) Age(now time.Duration, relay int) (age time.Duration, ok bool) {
	last := p.pledges[relay]
	return now - last.stamp, now < last.expiresAt
}

// Holders returns the relays whose pledges are in force, in no order.
func (p *Pool) Holders(now time.Duration) (relays []int) {
	for relay, last := range p.pledges {
		if now < last.expiresAt {
			relays = append(relays, relay)
		}
	}
	return relays
}

// Units returns the sum of the units in force, at most TotalUnits whatever the relays claim.
func (p *Pool) Units(now time.Duration) uint32 {
	sum := uint64(0)
	for _, last := range p.pledges {
		if now < last.expiresAt {
			sum += uint64(last.units)
		}
	}
	return uint32(min(sum, TotalUnits))
}

// Expire forgets expired pledges, and tombstones that no delayed pledge can precede any more.
func (p *Pool) Expire(now time.Duration) {
	for relay, last := range p.pledges {
		if now >= max(last.expiresAt, last.stamp+p.terms.Lease) {
			delete(p.pledges, relay)
		}
	}
}
