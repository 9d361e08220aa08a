package fleetlimit

import (
	"math"
	"slices"
	"time"

	"larchrouter/internal/relay/faultinject"
	"larchrouter/internal/relay/quota"
)

// In a fleet of up to 64 relays the limits of a destination are divided into quota shares
// (internal/relay/quota): each relay owns a share, a coordinator grants on the shares that were pledged to it,
// and so the coordinators on all sides of a partition, those that stand in and those that return, together grant
// what one would (a quarter more at most, see deadWeight).
//
// A coordinator with pending requests requests pledges from all relays: from each when half of its lease is
// over, repeatedly until it is renewed, and with any message that goes there before. A relay pledges to the
// preferred candidate of those whose pledge requests it receives and that receive from it, wherever it sends its
// own requests. A pledge request states whether the coordinator has recently received from the receiver, and a
// relay that was not received answers with a hello; so no relay pledges to a coordinator that does not receive
// it, and what is pledged is of use. A coordinator that hands over a destination releases what was pledged to
// it, so that no relay waits for a lease.
//
// Larger fleets have no quota shares: pledges would cost more messages than they are worth (design/007). There
// the coordinator grants all, and an isolated relay a multiple of its equal share.

// MaxQuotaRelays is the size of the largest fleet that uses quota shares.
const MaxQuotaRelays = 64

const (
	pledgeRequestInterval = 100 * time.Millisecond // of a pledge whose lease is half over
	seekInterval          = 300 * time.Millisecond // of a relay without a pledge
	piggybackAge          = 150 * time.Millisecond // a pledge that old is renewed with a message that goes there anyway
	reachableTime         = time.Second            // a relay whose message arrived so recently is reported as received
	// A relay that was not received from for so long is granted nothing: a grant to the other side of a
	// partition is lost.
	grantWindow = 600 * time.Millisecond
	// A lease: a coordinator without a pledge request for so long has nothing to grant, or is not received.
	pledgeRequestTTL = 760 * time.Millisecond
	// Two leases: a relay not received from for so long is dead or partitioned
	deadTimeout     = 1500 * time.Millisecond
	nearlyAll       = 0.9 // of the shares: a coordinator with so much sees what the fleet sees
	isolatedBackoff = 0.8 // of a rate after a refusal to an isolated relay that uses its own share
)

// leaseTerms have a pledge requested four times before it expires, so that three in ten messages lost cost few.
// Clocks of one kind of machine differ by less than a thousandth; a hundredth is allowed.
var leaseTerms = quota.Terms{Lease: 750 * time.Millisecond, Drift: 0.01}

// ownShare is this relay's share of a destination's limits, and the coordinators that request it.
type ownShare struct {
	holder     *quota.Holder
	requesters map[int]pledgeRequester // by relay
}

// pledgeRequester is a coordinator whose pledge request was received.
type pledgeRequester struct {
	stamp      quota.Stamp
	receivedAt time.Duration // by this relay's clock
	receivesUs bool          // it receives this relay's messages
}

// ownShareOf returns this relay's share of a destination, a new one if there is none.
func (l *Limiter) ownShareOf(dest int) *ownShare {
	own := l.ownShares[dest]
	if own == nil {
		own = &ownShare{holder: quota.NewHolder(leaseTerms, l.ownUnits(), l.startedAt), requesters: map[int]pledgeRequester{}}
		l.ownShares[dest] = own
	}
	return own
}

// requestPledges sends the pledge requests that are due, as long as there are pending requests.
func (l *Limiter) requestPledges(coord *coordinatorState) {
	if !l.settings.QuotaShares || len(coord.requests) == 0 {
		return
	}
	tick := l.now >= coord.pledgeRequestAt
	if tick {
		coord.pledgeRequestAt = l.now + pledgeRequestInterval
	}
	seek := tick && l.now >= coord.seekAt
	if seek {
		coord.seekAt = l.now + seekInterval
	}
	for i := range l.settings.FleetSize {
		age, inForce := coord.pool.Age(l.now, i)
		due := seek
		if inForce {
			due = tick && age >= leaseTerms.Lease/2 || l.outgoing[i] != nil && age >= piggybackAge
		}
		if !due || l.connectivity.partitioned && i != l.settings.Index {
			continue
		}
		r := record{kind: pledgeRequestKind, dest: coord.dest, answer: l.receivedRecently(i)}
		r.stamp = coord.pool.Stamp(l.now.Truncate(time.Millisecond))
		if i != l.settings.Index {
			l.send(i, r)
		} else {
			l.pledgeRequested(i, r)
		}
	}
}

// receivedRecently reports whether a message of a relay arrived recently.
func (l *Limiter) receivedRecently(relay int) bool {
	return relay == l.settings.Index || l.lastReceived[relay] >= 0 && l.now-l.lastReceived[relay] < reachableTime
}

// pledgeRequested processes a pledge request, and pledges the share if its coordinator is the one to pledge to.
func (l *Limiter) pledgeRequested(from int, r record) {
	if !l.settings.QuotaShares {
		return
	}
	own := l.ownShareOf(r.dest)
	last := own.requesters[from]
	if last.stamp.Incarnation == r.stamp.Incarnation && r.stamp.At < last.stamp.At {
		return // delayed
	}
	own.requesters[from] = pledgeRequester{r.stamp, l.now, r.answer}
	if !r.answer { // nothing can be pledged to it before it receives from this relay
		l.send(from, record{kind: helloKind, answer: true})
	}
	if l.choosePledgee(r.dest) != from {
		return
	}
	if units, ok := own.holder.Pledge(l.now, from, r.stamp); ok {
		l.send(from, record{kind: pledgeKind, dest: r.dest, stamp: r.stamp, units: units})
	}
}

// choosePledgee returns the coordinator to pledge to: the preferred one of those that request it and receive
// this relay.
func (l *Limiter) choosePledgee(dest int) (coordinator int) {
	candidates, coordinator, best := l.requestFor(dest).candidates, quota.NoCoordinator, math.MaxInt
	for i, requester := range l.ownShareOf(dest).requesters {
		if l.now-requester.receivedAt > pledgeRequestTTL || !requester.receivesUs {
			continue
		}
		rank := slices.Index(candidates, i)
		if rank < 0 {
			rank = len(candidates) + i
		}
		if rank < best {
			coordinator, best = i, rank
		}
	}
	return coordinator
}

// acceptPledge records a pledge.
func (l *Limiter) acceptPledge(from int, r record) {
	if coord := l.coordinated[r.dest]; coord != nil && l.settings.QuotaShares {
		coord.pool.Accept(l.now, from, min(r.units, l.shareOf(from)), r.stamp)
	}
}

// releasePledges releases all that was pledged to this relay for a destination.
func (l *Limiter) releasePledges(coord *coordinatorState) {
	if !l.settings.QuotaShares {
		return
	}
	holders := coord.pool.Holders(l.now)
	slices.Sort(holders) // the same events give the same actions
	for _, i := range holders {
		l.send(i, record{kind: releaseKind, dest: coord.dest, stamp: coord.pool.Release(l.now.Truncate(time.Millisecond), i)})
	}
}

// reachableRecently reports whether a relay showed recently that it receives this relay's messages: an
// unanswered request was lost.
func (l *Limiter) reachableRecently(relay int) bool {
	return l.settings.QuotaShares && l.lastReachable[relay] >= 0 && l.now-l.lastReachable[relay] < maxAttempts*answerTimeout
}

// probeCandidates sends hellos to all candidates for the place of a coordinator that does not answer. So those
// that are on the other side of a partition are skipped together, and not one after the other.
func (l *Limiter) probeCandidates(req *request) {
	if !l.settings.QuotaShares || l.connectivity.partitioned {
		return
	}
	for _, i := range req.candidates {
		if i != l.settings.Index && i != req.coordinator && l.skipUntil[i] <= l.now && l.probedAt[i] < 0 && !l.reachableRecently(i) {
			l.probedAt[i] = l.now
			l.send(i, record{kind: helloKind})
		}
	}
}

// expireProbes skips the relays that did not answer a probe.
func (l *Limiter) expireProbes() {
	for i, since := range l.probedAt {
		if since < 0 {
			continue
		}
		if l.lastReachable[i] >= since {
			l.probedAt[i] = -1
		} else if l.now-since >= answerTimeout {
			l.probedAt[i] = -1
			l.skip(i)
		}
	}
}

// grantableShare returns the share of a destination's limits that may be granted here, and reports whether this
// relay sees only its own calls.
func (l *Limiter) grantableShare(coord *coordinatorState) (share float64, alone bool) {
	alone = l.connectivity.partitioned || coord.alone
	switch {
	case l.settings.QuotaShares:
		at := l.now
		if plant.Is(plant.Lease) {
			at = 0
		}
		each := 1 / float64(l.totalWeight)
		share = min(1, float64(coord.pool.Units(at))/float64(quota.Share(l.totalWeight))*each)
		if coord.configured == nil && share >= claimThreshold(l.remainingRelays()) {
			share = min(1, share+each*float64(l.deadWeight()))
		}
		return share, alone
	case alone:
		return 1 / float64(l.settings.FleetSize), true
	}
	return 1, false
}

// deadWeight returns the weight of the relays from which nothing was received for long. Most such relays are
// dead, and their shares would be lost; a few may be partitioned and go on with their own. So a coordinator with
// three quarters of the shares, or in a small fleet more than half, claims theirs as well, and no other does.
// Shares of a configured limit are never claimed.
func (l *Limiter) deadWeight() (n int) {
	for i, at := range l.lastReceived {
		if i != l.settings.Index && !l.removed[i] && l.now-max(at, l.startedAt) >= deadTimeout {
			n += l.weight(i)
		}
	}
	return n
}

// smallFleet is the number of relays below which more than half are enough to claim the rest: with three
// quarters, one dead relay would cost the whole of its share.
const smallFleet = 8

// claimQuorum returns the number of relays whose shares it takes to claim the rest.
func claimQuorum(relays int) int {
	if relays < smallFleet {
		return relays/2 + 1
	}
	return (3*relays + 3) / 4
}

// claimThreshold returns claimQuorum as a share of the limit.
func claimThreshold(relays int) float64 { return float64(claimQuorum(relays))/float64(relays) - 1e-9 }

// OvergrantBound returns the stated bound on what all sides of a partition together may grant of an estimated
// limit, as a multiple of the limit: 1 while no side claims shares; relays that are not of a side that does may
// be alive and use their own. For a configured limit the bound is always 1.
func OvergrantBound(relays int) float64 {
	return 1 + float64(relays-claimQuorum(relays))/float64(relays)
}

// weight returns the weight of a relay.
func (l *Limiter) weight(relay int) int {
	if l.settings.Weights == nil {
		return 1
	}
	return l.settings.Weights[relay]
}

// sumWeights returns the sum of the weights.
func sumWeights(weights []int, relays int) (n int) {
	if weights == nil {
		return relays
	}
	for _, w := range weights {
		n += w
	}
	return n
}

// remainingRelays returns the number of relays that are not removed, at least 1.
func (l *Limiter) remainingRelays() (n int) {
	for _, removed := range l.removed {
		if !removed {
			n++
		}
	}
	return max(1, n)
}

// shareOf returns the units of a relay's share. All shares sum to quota.TotalUnits at most.
func (l *Limiter) shareOf(relay int) uint32 {
	if l.removed[relay] {
		return 0
	}
	return min(quota.TotalUnits, uint32(l.weight(relay))*quota.Share(l.totalWeight))
}

// ownUnits returns the units of this relay's share.
func (l *Limiter) ownUnits() uint32 { return l.shareOf(l.settings.Index) }

// Resize sets the total weight by which limits are divided, and which relays are removed for good: their shares
// are the others'. All relays that received a larger total use it (internal/relay/override), so no more shares
// are used than there are.
func (l *Limiter) Resize(totalWeight int, removed []int) {
	clear(l.removed)
	for _, i := range removed {
		l.removed[i] = true
	}
	l.totalWeight = max(1, totalWeight)
	for _, own := range l.ownShares {
		own.holder.Resize(l.ownUnits())
	}
}

// setShare sets which share of the rate may be granted from now on.
func (p *pacer) setShare(share float64, alone bool) {
	if p.quotaShares && share < nearlyAll && p.share >= nearlyAll && p.limitKnown && p.limit > 0 {
		p.rate = min(p.rate, p.limit) // grants of others are not seen here: nothing beyond the measured limit
	}
	p.share, p.alone = share, alone
}

// positiveShare returns the share, bounded away from 0 for divisions.
func (p *pacer) positiveShare() float64 { return max(p.share, 1.0/256) }
