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

// MaxQuotaRelays is the largest fleet in which rights are pledged.
const MaxQuotaRelays = 64

const (
	pledgeRequestInterval = 100 * time.Millisecond  // a pledge that is half over is called for so often
	seekInterval          = 300 * time.Millisecond  // so often where there is none
	piggybackAge          = 150 * time.Millisecond  // a pledge that old is called for with a note that goes there anyway
	reachableTime         = time.Second             // a relay that was heard so long ago at most is told that it is heard
	grantWindow           = 600 * time.Millisecond  // one that was not heard for so long is granted nothing: what is granted to one on the other side of a cut is lost
	pledgeRequestTTL      = 760 * time.Millisecond  // a lease: who has not called for so long has nothing to grant, or is not heard
	deadTimeout           = 1500 * time.Millisecond // two leases: a relay of which nothing was heard for so long is dead or cut off
	nearlyAll             = 0.9                     // of the rights: whoever has so much sees what the fleet sees
	isolatedBackoff       = 0.8                     // is left of a rate after a refusal to one that is alone and goes on its own rights
)

// leaseTerms have a pledge called for four times before it lapses, so that three in ten notes lost cost few. Clocks of one kind
// of machine differ by less than a thousandth; a hundredth is allowed.
var leaseTerms = quota.Terms{Lease: 750 * time.Millisecond, Drift: 0.01}

// ownShare is this relay's part of a destination's limits, and who calls for it.
type ownShare struct {
	holder     *quota.Holder
	requesters map[int]pledgeRequester
}

// pledgeRequester is a steward that was heard calling.
type pledgeRequester struct {
	stamp      quota.Stamp
	receivedAt time.Duration // last, by this relay's clock
	receivesUs bool          // it hears this relay
}

func (f *Limiter) ownShareOf(dest int) *ownShare {
	r := f.ownShares[dest]
	if r == nil {
		r = &ownShare{holder: quota.NewHolder(leaseTerms, f.ownUnits(), f.startedAt), requesters: map[int]pledgeRequester{}}
		f.ownShares[dest] = r
	}
	return r
}

// requestPledges calls for the pledges that are due, as long as there are asks.
func (f *Limiter) requestPledges(k *coordinatorState) {
	if !f.settings.QuotaShares || len(k.requests) == 0 {
		return
	}
	tick := f.now >= k.pledgeRequestAt
	if tick {
		k.pledgeRequestAt = f.now + pledgeRequestInterval
	}
	seek := tick && f.now >= k.seekAt
	if seek {
		k.seekAt = f.now + seekInterval
	}
	for i := range f.settings.FleetSize {
		age, held := k.pool.Age(f.now, i)
		due := seek
		if held {
			due = tick && age >= leaseTerms.Lease/2 || f.outgoing[i] != nil && age >= piggybackAge
		}
		if !due || f.connectivity.partitioned && i != f.settings.Index {
			continue
		}
		r := record{kind: pledgeRequestKind, dest: k.dest, stamp: k.pool.Stamp(f.now.Truncate(time.Millisecond)), answer: f.receivedRecently(i)}
		if i != f.settings.Index {
			f.send(i, r)
		} else {
			f.pledgeRequested(i, r)
		}
	}
}

// receivedRecently tells whether a relay was heard of late.
func (f *Limiter) receivedRecently(i int) bool {
	return i == f.settings.Index || f.lastReceived[i] >= 0 && f.now-f.lastReceived[i] < reachableTime
}

// pledgeRequested takes in a call, and pledges to its steward if that is the one to pledge to.
func (f *Limiter) pledgeRequested(from int, r record) {
	if !f.settings.QuotaShares {
		return
	}
	own := f.ownShareOf(r.dest)
	c := own.requesters[from]
	if c.stamp.Incarnation == r.stamp.Incarnation && r.stamp.At < c.stamp.At {
		return // an old one
	}
	own.requesters[from] = pledgeRequester{r.stamp, f.now, r.answer}
	if !r.answer { // it cannot be pledged to before it has heard this relay
		f.send(from, record{kind: helloKind, answer: true})
	}
	if f.choosePledgee(r.dest) != from {
		return
	}
	if units, ok := own.holder.Pledge(f.now, from, r.stamp); ok {
		f.send(from, record{kind: pledgeKind, dest: r.dest, stamp: r.stamp, units: units})
	}
}

// choosePledgee is whom to pledge to of those that call.
func (f *Limiter) choosePledgee(dest int) (steward int) {
	ranked, steward, best := f.requestFor(dest).candidates, quota.NoCoordinator, math.MaxInt
	for i, c := range f.ownShareOf(dest).requesters {
		if f.now-c.receivedAt > pledgeRequestTTL || !c.receivesUs {
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

// acceptPledge takes in a pledge.
func (f *Limiter) acceptPledge(from int, r record) {
	if k := f.coordinated[r.dest]; k != nil && f.settings.QuotaShares {
		k.pool.Accept(f.now, from, min(r.units, f.shareOf(from)), r.stamp)
	}
}

// releasePledges lets go of all that was pledged for a destination.
func (f *Limiter) releasePledges(k *coordinatorState) {
	if !f.settings.QuotaShares {
		return
	}
	holders := k.pool.Holders(f.now)
	slices.Sort(holders) // the same events give the same actions
	for _, i := range holders {
		f.send(i, record{kind: releaseKind, dest: k.dest, stamp: k.pool.Release(f.now.Truncate(time.Millisecond), i)})
	}
}

// reachableRecently tells whether a relay showed of late that it hears this one: what it did not answer was lost.
func (f *Limiter) reachableRecently(relay int) bool {
	return f.settings.QuotaShares && f.lastReachable[relay] >= 0 && f.now-f.lastReachable[relay] < maxAttempts*answerTimeout
}

// probeCandidates asks all that may be steward in place of one that does not answer whether they are there. So those that are not,
// on the other side of a cut, are passed over together, and not one after the other.
func (f *Limiter) probeCandidates(e *request) {
	if !f.settings.QuotaShares || f.connectivity.partitioned {
		return
	}
	for _, i := range e.candidates {
		if i != f.settings.Index && i != e.coordinator && f.skipUntil[i] <= f.now && f.probedAt[i] < 0 && !f.reachableRecently(i) {
			f.probedAt[i] = f.now
			f.send(i, record{kind: helloKind})
		}
	}
}

// expireProbes passes over those that did not answer.
func (f *Limiter) expireProbes() {
	for i, since := range f.probedAt {
		if since < 0 {
			continue
		}
		if f.lastReachable[i] >= since {
			f.probedAt[i] = -1
		} else if f.now-since >= answerTimeout {
			f.probedAt[i] = -1
			f.skip(i)
		}
	}
}

// grantableShare is what of a destination's limits may be granted here, as a share, and whether this relay sees no calls but its own.
func (f *Limiter) grantableShare(k *coordinatorState) (part float64, alone bool) {
	alone = f.connectivity.partitioned || k.alone
	switch {
	case f.settings.QuotaShares:
		at := f.now
		if plant.Is(plant.Lease) {
			at = 0
		}
		each := 1 / float64(f.totalWeight)
		part = min(1, float64(k.pool.Units(at))/float64(quota.Share(f.totalWeight))*each)
		if k.configured == nil && part >= claimThreshold(f.remainingRelays()) {
			part = min(1, part+each*float64(f.deadWeight()))
		}
		return part, alone
	case alone:
		return 1 / float64(f.settings.FleetSize), true
	}
	return 1, false
}

// deadWeight counts the parts of relays of which nothing was heard for long. Most such relays are dead, and their parts would be lost; a
// few may be cut off and go on with what is theirs. So whoever has three quarters of the parts, or in a small fleet more than
// half, claims theirs as well, and nobody else does. A limit that was told is a contract: there nobody claims anything.
func (f *Limiter) deadWeight() (n int) {
	for i, at := range f.lastReceived {
		if i != f.settings.Index && !f.removed[i] && f.now-max(at, f.startedAt) >= deadTimeout {
			n += f.weight(i)
		}
	}
	return n
}

// smallFleet is the number of relays from which three quarters are asked for: of fewer, one that is down would cost all the rest
// of its part.
const smallFleet = 8

// claimQuorum are the relays whose parts it takes to claim the rest.
func claimQuorum(relays int) int {
	if relays < smallFleet {
		return relays/2 + 1
	}
	return (3*relays + 3) / 4
}

func claimThreshold(relays int) float64 { return float64(claimQuorum(relays))/float64(relays) - 1e-9 }

// OvergrantBound is the stated bound on what all sides of a cut together may grant of a limit that was found out: 1 while no side
// claims; those that are not of a side that does may be cut off and go on with what is theirs. Of a limit that was told it
// is 1 always.
func OvergrantBound(relays int) float64 {
	return 1 + float64(relays-claimQuorum(relays))/float64(relays)
}

// weight is how many parts a relay has.
func (f *Limiter) weight(i int) int {
	if f.settings.Weights == nil {
		return 1
	}
	return f.settings.Weights[i]
}

// sumWeights is the sum of weights.
func sumWeights(weights []int, relays int) (n int) {
	if weights == nil {
		return relays
	}
	for _, w := range weights {
		n += w
	}
	return n
}

// remainingRelays counts those that are not gone for good.
func (f *Limiter) remainingRelays() (n int) {
	for _, lost := range f.removed {
		if !lost {
			n++
		}
	}
	return max(1, n)
}

// shareOf is what a relay has of each limit; parts sum to share.Whole at most.
func (f *Limiter) shareOf(i int) uint32 {
	if f.removed[i] {
		return 0
	}
	return min(quota.TotalUnits, uint32(f.weight(i))*quota.Share(f.totalWeight))
}

// ownUnits is this relay's part.
func (f *Limiter) ownUnits() uint32 { return f.shareOf(f.settings.Index) }

// Resize says into how many parts limits are divided, by weights, and which relays are gone for good: their parts are the
// others'. All that heard of a larger number go by it (internal/relay/override), so no more parts are used than there are.
func (f *Limiter) Resize(parts int, lost []int) {
	clear(f.removed)
	for _, i := range lost {
		f.removed[i] = true
	}
	f.totalWeight = max(1, parts)
	for _, r := range f.ownShares {
		r.holder.Resize(f.ownUnits())
	}
}

// setShare tells a pacer what may be granted on it from now on.
func (p *pacer) setShare(part float64, alone bool) {
	if p.quotaShares && part < nearlyAll && p.share >= nearlyAll && p.limitKnown && p.limit > 0 {
		p.rate = min(p.rate, p.limit) // what others grant is not seen here, so it goes by what was measured, and no further
	}
	p.share, p.alone = part, alone
}

// positiveShare is a share that is above 0, to divide by.
func (p *pacer) positiveShare() float64 { return max(p.share, 1.0/256) }
