package fleetlimit

import (
	"math"
	"slices"
	"time"

	"larchrouter/internal/relay/faultinject"
	"larchrouter/internal/relay/quota"
)

// In a fleet of up to 64 relays the limits of a destination are held as rights (internal/relay/quota): each relay has an even
// part of them, a steward grants on the parts that were pledged to it, and so the stewards of all sides of a cut, the
// ones that stand in and the ones that come back, together grant what one would (a quarter more at most, see gone).
//
// A steward that has asks calls all relays for their pledges: each when its pledge is half over, again and again until it
// is renewed, and with whatever note goes to it before. A relay pledges to the one that ranks first of those that it hears
// call and that hear it, wherever it asks itself. A call says whether the steward has heard its receiver of late, and who
// was not heard says that it is there; so nobody pledges to a steward that does not hear it, and what is pledged is of use.
// A steward that hands a destination back lets go of what was pledged to it, so that nobody waits for a lease.
//
// Larger fleets have no rights: calls would cost more notes than they are worth (design/007). There the steward grants
// all, and a relay that is alone a multiple of its even share.

// MostRights is the largest fleet in which rights are pledged.
const MostRights = 64

const (
	callEvery = 100 * time.Millisecond  // a pledge that is half over is called for so often
	seekEvery = 300 * time.Millisecond  // so often where there is none
	rideAfter = 150 * time.Millisecond  // a pledge that old is called for with a note that goes there anyway
	hearFor   = time.Second             // a relay that was heard so long ago at most is told that it is heard
	grantFor  = 600 * time.Millisecond  // one that was not heard for so long is granted nothing: what is granted to one on the other side of a cut is lost
	callFresh = 760 * time.Millisecond  // a lease: who has not called for so long has nothing to grant, or is not heard
	goneFor   = 1500 * time.Millisecond // two leases: a relay of which nothing was heard for so long is dead or cut off
	most      = 0.9                     // of the rights: whoever has so much sees what the fleet sees
	aloneBack = 0.8                     // is left of a rate after a refusal to one that is alone and goes on its own rights
)

// terms have a pledge called for four times before it lapses, so that three in ten notes lost cost few. Clocks of one kind
// of machine differ by less than a thousandth; a hundredth is allowed.
var terms = quota.Terms{Lease: 750 * time.Millisecond, Drift: 0.01}

// right is this relay's part of a destination's limits, and who calls for it.
type right struct {
	holder *quota.Holder
	calls  map[int]caller
}

// caller is a steward that was heard calling.
type caller struct {
	stamp quota.Stamp
	at    time.Duration // last, by this relay's clock
	hears bool          // it hears this relay
}

func (f *Fleet) right(dest int) *right {
	r := f.rights[dest]
	if r == nil {
		r = &right{holder: quota.NewHolder(terms, f.own(), f.began), calls: map[int]caller{}}
		f.rights[dest] = r
	}
	return r
}

// call calls for the pledges that are due, as long as there are asks.
func (f *Fleet) call(k *desk) {
	if !f.set.Rights || len(k.asks) == 0 {
		return
	}
	tick := f.now >= k.callAt
	if tick {
		k.callAt = f.now + callEvery
	}
	seek := tick && f.now >= k.seekAt
	if seek {
		k.seekAt = f.now + seekEvery
	}
	for i := range f.set.Fleet {
		age, held := k.pool.Age(f.now, i)
		due := seek
		if held {
			due = tick && age >= terms.Lease/2 || f.notes[i] != nil && age >= rideAfter
		}
		if !due || f.hearing.cut && i != f.set.Index {
			continue
		}
		r := record{kind: callKind, dest: k.dest, stamp: k.pool.Stamp(f.now.Truncate(time.Millisecond)), answer: f.hearsOf(i)}
		if i != f.set.Index {
			f.send(i, r)
		} else {
			f.called(i, r)
		}
	}
}

// hearsOf tells whether a relay was heard of late.
func (f *Fleet) hearsOf(i int) bool {
	return i == f.set.Index || f.heardAt[i] >= 0 && f.now-f.heardAt[i] < hearFor
}

// called takes in a call, and pledges to its steward if that is the one to pledge to.
func (f *Fleet) called(from int, r record) {
	if !f.set.Rights {
		return
	}
	own := f.right(r.dest)
	c := own.calls[from]
	if c.stamp.Life == r.stamp.Life && r.stamp.At < c.stamp.At {
		return // an old one
	}
	own.calls[from] = caller{r.stamp, f.now, r.answer}
	if !r.answer { // it cannot be pledged to before it has heard this relay
		f.send(from, record{kind: helloKind, answer: true})
	}
	if f.choose(r.dest) != from {
		return
	}
	if units, ok := own.holder.Pledge(f.now, from, r.stamp); ok {
		f.send(from, record{kind: pledgeKind, dest: r.dest, stamp: r.stamp, units: units})
	}
}

// choose is whom to pledge to of those that call.
func (f *Fleet) choose(dest int) (steward int) {
	ranked, steward, best := f.errand(dest).ranked, quota.Nobody, math.MaxInt
	for i, c := range f.right(dest).calls {
		if f.now-c.at > callFresh || !c.hears {
			continue
		}
		at := slices.Index(ranked, i)
		if at < 0 {
			at = len(ranked) + i
		}
		if at < best {
			steward, best = i, at
		}
	}
	return steward
}

// pledged takes in a pledge.
func (f *Fleet) pledged(from int, r record) {
	if k := f.desks[r.dest]; k != nil && f.set.Rights {
		k.pool.Take(f.now, from, min(r.units, f.partOf(from)), r.stamp)
	}
}

// release lets go of all that was pledged for a destination.
func (f *Fleet) release(k *desk) {
	if !f.set.Rights {
		return
	}
	holders := k.pool.Holders(f.now)
	slices.Sort(holders) // the same events give the same actions
	for _, i := range holders {
		f.send(i, record{kind: releaseKind, dest: k.dest, stamp: k.pool.Release(f.now.Truncate(time.Millisecond), i)})
	}
}

// meets tells whether a relay showed of late that it hears this one: what it did not answer was lost.
func (f *Fleet) meets(relay int) bool {
	return f.set.Rights && f.metAt[relay] >= 0 && f.now-f.metAt[relay] < askTries*answerIn
}

// probe asks all that may be steward in place of one that does not answer whether they are there. So those that are not,
// on the other side of a cut, are passed over together, and not one after the other.
func (f *Fleet) probe(e *errand) {
	if !f.set.Rights || f.hearing.cut {
		return
	}
	for _, i := range e.ranked {
		if i != f.set.Index && i != e.asked && f.silent[i] <= f.now && f.probed[i] < 0 && !f.meets(i) {
			f.probed[i] = f.now
			f.send(i, record{kind: helloKind})
		}
	}
}

// probes passes over those that did not answer.
func (f *Fleet) probes() {
	for i, since := range f.probed {
		if since < 0 {
			continue
		}
		if f.metAt[i] >= since {
			f.probed[i] = -1
		} else if f.now-since >= answerIn {
			f.probed[i] = -1
			f.pass(i)
		}
	}
}

// part is what of a destination's limits may be granted here, as a share, and whether this relay sees no calls but its own.
func (f *Fleet) part(k *desk) (part float64, alone bool) {
	alone = f.hearing.cut || k.lone
	switch {
	case f.set.Rights:
		at := f.now
		if plant.Is(plant.Lease) {
			at = 0
		}
		each := 1 / float64(f.parts)
		part = min(1, float64(k.pool.Units(at))/float64(quota.Part(f.parts))*each)
		if k.told == nil && part >= claimFrom(f.relays()) {
			part = min(1, part+each*float64(f.gone()))
		}
		return part, alone
	case alone:
		return 1 / float64(f.set.Fleet), true
	}
	return 1, false
}

// gone counts the parts of relays of which nothing was heard for long. Most such relays are dead, and their parts would be lost; a
// few may be cut off and go on with what is theirs. So whoever has three quarters of the parts, or in a small fleet more than
// half, claims theirs as well, and nobody else does. A limit that was told is a contract: there nobody claims anything.
func (f *Fleet) gone() (n int) {
	for i, at := range f.heardAt {
		if i != f.set.Index && !f.lost[i] && f.now-max(at, f.began) >= goneFor {
			n += f.weight(i)
		}
	}
	return n
}

// few is the number of relays from which three quarters are asked for: of fewer, one that is down would cost all the rest
// of its part.
const few = 8

// claimed are the relays whose parts it takes to claim the rest.
func claimed(relays int) int {
	if relays < few {
		return relays/2 + 1
	}
	return (3*relays + 3) / 4
}

func claimFrom(relays int) float64 { return float64(claimed(relays))/float64(relays) - 1e-9 }

// Over is the stated bound on what all sides of a cut together may grant of a limit that was found out: 1 while no side
// claims; those that are not of a side that does may be cut off and go on with what is theirs. Of a limit that was told it
// is 1 always.
func Over(relays int) float64 { return 1 + float64(relays-claimed(relays))/float64(relays) }

// weight is how many parts a relay has.
func (f *Fleet) weight(i int) int {
	if f.set.Weights == nil {
		return 1
	}
	return f.set.Weights[i]
}

// total is the sum of weights.
func total(weights []int, relays int) (n int) {
	if weights == nil {
		return relays
	}
	for _, w := range weights {
		n += w
	}
	return n
}

// relays counts those that are not gone for good.
func (f *Fleet) relays() (n int) {
	for _, lost := range f.lost {
		if !lost {
			n++
		}
	}
	return max(1, n)
}

// partOf is what a relay has of each limit; parts sum to share.Whole at most.
func (f *Fleet) partOf(i int) uint32 {
	if f.lost[i] {
		return 0
	}
	return min(quota.Whole, uint32(f.weight(i))*quota.Part(f.parts))
}

// own is this relay's part.
func (f *Fleet) own() uint32 { return f.partOf(f.set.Index) }

// Resize says into how many parts limits are divided, by weights, and which relays are gone for good: their parts are the
// others'. All that heard of a larger number go by it (internal/relay/override), so no more parts are used than there are.
func (f *Fleet) Resize(parts int, lost []int) {
	clear(f.lost)
	for _, i := range lost {
		f.lost[i] = true
	}
	f.parts = max(1, parts)
	for _, r := range f.rights {
		r.holder.Resize(f.own())
	}
}

// lend tells a pacer what may be granted on it from now on.
func (p *pacer) lend(part float64, alone bool) {
	if p.rights && part < most && p.share >= most && p.found && p.limit > 0 {
		p.rate = min(p.rate, p.limit) // what others grant is not seen here, so it goes by what was measured, and no further
	}
	p.share, p.alone = part, alone
}

// even is a share that is above 0, to divide by.
func (p *pacer) even() float64 { return max(p.share, 1.0/256) }
