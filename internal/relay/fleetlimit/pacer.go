package fleetlimit

import (
	"math"
	"time"

	"larchrouter/choice"
)

// state of a route, as its steward holds it.
type state int

const (
	open state = iota
	down       // single trials only
	cold       // within the budget of one that has come back
)

const (
	firstRate   = 15.0 // calls a second of the whole fleet to a route that nobody knows
	leastRate   = 0.5
	mostRate    = 1e5
	slowStart   = 1.0 // growth a second until the first refusal, as a share
	firstGrow   = 0.04
	mostGrow    = 0.5
	growDouble  = 1000 * time.Millisecond // growth doubles in this time without a refusal
	creditFirst = 0.15                    // of growth, for each call that is served, until the first refusal: what a rate stands for has to be seen
	creditEach  = 0.05                    // later
	creditMost  = 0.5
	flowSpan    = 2 * time.Second
	peakSpan    = time.Minute
	useSpan     = time.Second
	reach       = 2.0                    // a rate grows no further beyond what is used of it
	burstSpan   = 250 * time.Millisecond // tokens for so long are kept
	shortEpoch  = 500 * time.Millisecond // a rate is measured over no less
	cutBlind    = 0.7                    // of the rate, where nothing was measured
	cutMost     = 0.5
	under       = 0.96 // of the measured rate
	failures    = 3    // in a row are an outage
	firstGap    = 200 * time.Millisecond
	leastQuiet  = 700 * time.Millisecond // calls unanswered for less mean nothing
	lostAfter   = 20 * time.Second       // a grant whose end was never told
	budget      = 0.9                    // of the rule's, for a cold route
	agree       = 100 * time.Millisecond // waits told so long apart that end within it end at one instant
	longWait    = 5 * time.Second        // no limit by rate tells so much
	leastSpan   = time.Second            // a shorter span needs no care
)

// pacer decides when the next call of the fleet may go to one route. It learns the route's limit: every call counts,
// refused ones too, so between two instants at which there was no room the calls made are what the limit gave.
type pacer struct {
	rules  choice.Rules
	rate   float64 // calls a second of the whole fleet
	share  float64 // of it that may be granted here
	was    float64 // that share, when the tokens were last counted
	alone  bool    // this relay sees no calls but its own
	rights bool    // the share is of rights that are conserved
	limit  float64 // as last measured, or as another steward had it; 0 if it was not
	found  bool    // the rate has met the route's limit, here or at a steward before
	tokens float64
	at     time.Duration // of rate and tokens
	grown  time.Duration // how long it has grown since the last cut
	epoch  time.Duration // last instant without room; below 0 if there was none
	calls  int           // since then
	room   float64       // seconds since then, each by the share of it that could be granted here
	cutAt  time.Duration
	out    []leave
	state  state
	since  time.Duration
	base   float64 // rate before the outage
	fails  int     // in a row
	trials int     // failed in a row
	trial  time.Duration
	hold   time.Duration // the route has said that there is no room before
	end    time.Duration // of the wait told last ...
	told   time.Duration // ... at this time
	span   time.Duration // the end of the hold before
	count  int           // calls served since then
	served time.Duration // last
	mean   float64       // of the time that a served call takes, seconds
	flow   float64       // smoothed rate of calls served
	peak   float64       // the highest of late
	use    float64       // smoothed rate of calls granted
	credit float64       // by which the rate may grow, as a logarithm
	votes  map[int]bool  // of relays that were cut off: they saw it fail
}

// leave is a grant whose end has not been told.
type leave struct {
	relay int
	id    uint32
	at    time.Duration
}

func newPacer(rules choice.Rules, now time.Duration) *pacer {
	return &pacer{rules: rules, rate: firstRate, share: 1, was: 1, tokens: 1, at: now, epoch: -1, cutAt: -1, span: now, served: now, mean: 0.2}
}

// hear takes in what another steward held, where nothing is known yet.
func (p *pacer) hear(now time.Duration, x rumour) {
	if x.rate == 0 {
		return
	}
	p.rate, p.base, p.found, p.tokens = x.rate, x.rate, x.found, min(p.tokens, 0)
	if p.found {
		p.limit = x.rate
	}
	if !x.saw && (x.state == down || x.state == cold) {
		p.state, p.since, p.trial = x.state, now-x.span, now
	}
}

// learn takes in what a steward before this one had found, where this one began at a guess and has not met the limit yet.
// Once it has, what comes may be its own word, and old.
func (p *pacer) learn(now time.Duration, x rumour) {
	if !p.found && x.found && !x.saw && p.state == open {
		p.hear(now, x)
	}
}

// rumour is what is told of a route.
func (p *pacer) rumour(now time.Duration, route uint32) rumour {
	x := rumour{route: route, rate: p.rate, found: p.found, state: p.state, span: now - p.since}
	if p.state != open {
		x.rate = p.base
	}
	return x
}

// settle brings rate and tokens up to date. The rate grows while there are asks that wait for it.
// Each relay was last heard at a time.
func (p *pacer) settle(now time.Duration, heard func(relay int) time.Duration, waiting bool) {
	span := max(0, now-p.at)
	p.at = now
	if waiting && span > 0 && p.mayGrow(now) {
		grow := slowStart
		if p.found {
			grow = min(mostGrow, firstGrow*math.Exp2(p.grown.Seconds()/growDouble.Seconds()))
		}
		p.grown += span
		by := min(grow*span.Seconds(), p.credit)
		p.credit -= by
		p.rate = min(mostRate, p.rate*math.Exp(by))
	}
	allowed := p.allowedOn(now, min(p.share, p.was)) // whatever came or lapsed since, it was no less
	p.room += min(p.share, p.was) * span.Seconds()
	p.was = p.share
	p.tokens = min(p.tokens+allowed*span.Seconds(), max(1, allowed*burstSpan.Seconds()))
	p.use *= math.Exp(-span.Seconds() / useSpan.Seconds())
	p.flow *= math.Exp(-span.Seconds() / flowSpan.Seconds())
	p.peak *= math.Exp(-span.Seconds() / peakSpan.Seconds())
	for len(p.out) > 0 && now-p.out[0].at > lostAfter {
		p.out = p.out[1:]
	}
	p.watch(now, heard)
}

// mayGrow tells whether a higher rate would be used, and is not kept down by the budget of a cold route.
func (p *pacer) mayGrow(now time.Duration) bool {
	used := p.rate < reach*p.use+2
	if p.rights {
		used = p.share*p.rate < reach*p.use+2 && (p.share >= most || !p.found || p.rate < p.limit)
	}
	return used && (p.state == open || p.state == cold && p.share*p.rate <= p.allowed(now))
}

// allowed is the rate, within the budget of a route that has come back cold.
func (p *pacer) allowed(now time.Duration) float64 { return p.allowedOn(now, p.share) }

func (p *pacer) allowedOn(now time.Duration, share float64) float64 {
	switch {
	case p.alone && !p.rights && p.state == open:
		return p.lonely() * p.rate
	case p.state != cold:
		return share * p.rate
	}
	return share * min(p.rate, budget*p.rules.OverloadFactor*p.warm(now)*p.base)
}

// warm is the share of its capacity that a route has at the least, after its return.
func (p *pacer) warm(now time.Duration) float64 {
	return min(1, p.rules.ColdFrom+(1-p.rules.ColdFrom)*(now-p.since).Seconds()/p.rules.Cold.Seconds())
}

// roomAt is when a call may go, after settle: then or later.
func (p *pacer) roomAt(now time.Duration) time.Duration {
	if p.state == down {
		return max(now, p.trial)
	}
	now = max(now, p.hold)
	if p.tokens >= 1-1e-9 {
		return now
	}
	return now + max(time.Millisecond, time.Duration((1-p.tokens)/max(p.allowed(now), 1e-3)*float64(time.Second)))
}

// grant notes a call that may go.
func (p *pacer) grant(now time.Duration, relay int, id uint32) {
	p.tokens--
	p.calls++
	p.use += 1 / useSpan.Seconds()
	p.out = append(p.out, leave{relay, id, now})
	if p.state == down {
		p.trial = now + time.Duration(float64(p.gap())/p.even())
	}
}

// under way are the calls that may not have reached the route yet, or whose answer may not have come back.
func (p *pacer) underWay(now time.Duration) int {
	n, recent := 0, now-p.recently()
	for i := len(p.out) - 1; i >= 0 && p.out[i].at > recent; i-- {
		n++
	}
	return n
}

// recently is how long a call may be under way, and nothing is wrong.
func (p *pacer) recently() time.Duration {
	return max(leastQuiet, time.Duration(4*p.mean*float64(time.Second)))
}

// gap between trials of a route that is down.
func (p *pacer) gap() time.Duration { return min(firstGap<<min(p.trials, 4), p.rules.Fall/3) }

// ended takes in what became of a call, and tells whether its room may be given again.
func (p *pacer) ended(now time.Duration, relay int, id uint32, o choice.Outcome, took, wait time.Duration) (again bool) {
	at := -1
	for i, l := range p.out {
		if l.relay == relay && l.id == id {
			at = i
			break
		}
	}
	if at < 0 {
		return false
	}
	granted := p.out[at].at
	p.out = append(p.out[:at:at], p.out[at+1:]...)
	switch o {
	case choice.NotSent:
		return p.unused(now, granted)
	case choice.Served:
		p.well(now, granted, took)
	case choice.Refused:
		p.refused(now, granted, wait)
	case choice.Spoilt, choice.Cancelled:
	default:
		p.failed(now)
	}
	return false
}

// unused takes a grant back that was not used. Its room is there for another call if that is told soon; later it has
// passed, and what is measured since does not count the call.
func (p *pacer) unused(now, granted time.Duration) (again bool) {
	if granted > p.epoch-p.recently() {
		p.calls = max(0, p.calls-1)
	}
	if now-granted >= grantLife+lateAfter {
		return false
	}
	p.tokens++
	return true
}

func (p *pacer) well(now, granted, took time.Duration) {
	p.mean += (took.Seconds() - p.mean) / 16
	p.flow += 1 / flowSpan.Seconds()
	p.peak = max(p.peak, p.flow)
	each := creditEach
	if !p.found {
		each = creditFirst
	}
	p.credit = min(p.credit+each, creditMost)
	p.served, p.fails = now, 0
	p.count++
	switch {
	case p.state == down && p.trials <= 1 && now-p.since < time.Second:
		p.state = open // a slip, no outage
	case p.state == down && granted >= p.since:
		p.state, p.since, p.tokens, p.trials = cold, now, 0, 0
		p.grown, p.cutAt, p.epoch, p.calls = 0, now, -1, 0
	case p.state == cold && now-p.since >= p.rules.Cold:
		p.state = open
	}
}

// refused takes in a refusal. Calls that were out when the room was last seen used up are refused with it, and are
// no news.
func (p *pacer) refused(now, granted, wait time.Duration) {
	p.fails = 0
	if wait > 0 {
		p.wait(now, wait)
	}
	if p.state == down {
		p.trials++
		return
	}
	if granted <= p.cutAt {
		return
	}
	to := p.rate * cutBlind
	switch span := granted - p.epoch; {
	case p.alone && p.rights: // all together keep to the limit: it has fallen, or this was chance
		to = p.rate * aloneBack
	case p.alone:
		to = p.rate * lonelyBack
	case p.epoch >= 0 && span >= shortEpoch && p.room > 0: // one that goes alone sees its own calls only
		measured := float64(p.calls) / p.room
		to = min(p.rate*under, max(under*measured, p.rate*cutMost))
		if p.limit = to; p.share < most {
			p.limit = min(p.rate, measured)
		}
	}
	p.rate = max(leastRate, to)
	p.found = true
	p.calls, p.room = p.underWay(now), 0
	p.epoch, p.cutAt, p.grown, p.tokens = now, now, 0, -float64(p.calls) // they will find no room either
}

// wait takes in a told wait. It binds the relay that was told; the others go on, as most routes tell the same time
// whatever room there is. But where waits told at different times end at one instant, or are long, the route counts
// calls in a fixed span of time, and until its end there is no room for anybody. What it took in the span before is
// what it takes in the next.
func (p *pacer) wait(now, wait time.Duration) {
	end := now + wait
	same := p.end > 0 && max(end-p.end, p.end-end) < agree
	if !same {
		p.told = now
	}
	p.end = end
	if end <= p.hold+agree || wait < leastSpan || wait < longWait && !(same && now-p.told > agree) {
		return
	}
	if span := end - p.span; span >= leastSpan && !p.alone && p.share >= most {
		p.rate = max(leastRate, under*float64(p.count)/span.Seconds())
		p.found, p.limit = true, p.rate
	}
	p.hold, p.span, p.count = end, end, 0
	p.epoch, p.cutAt, p.grown, p.tokens = -1, now, 0, 0
}

func (p *pacer) failed(now time.Duration) {
	p.fails++
	if p.state == down {
		p.trials++
		p.trial = max(p.trial, now+p.gap()/2)
		return
	}
	if p.fails >= failures || p.alone { // one that goes alone sees too little to wait for more
		p.fall(now)
	}
}

// watch notices that calls are left unanswered. Their ends are told by notes: those of a relay of which nothing has been
// heard since its call say nothing of the route.
func (p *pacer) watch(now time.Duration, heard func(relay int) time.Duration) {
	if p.state == down || len(p.out) < failures {
		return
	}
	quiet := p.recently()
	n := 0
	for _, l := range p.out {
		if now-max(l.at, p.served) <= quiet {
			return
		}
		if heard(l.relay) > l.at {
			if n++; n == failures {
				p.fall(now)
				return
			}
		}
	}
}

func (p *pacer) fall(now time.Duration) {
	if p.state == open {
		// What was measured, or served at its best, if that is more: the rate itself may have grown well beyond it. In large
		// fleets it is gone by where the limit was met: there the care cost service and prevented nothing (design/007).
		if p.base = p.rate; !p.found || p.rights && p.limit > 0 {
			p.base = max(leastRate, min(p.rate, max(p.limit, p.peak)))
		}
	}
	p.state, p.since, p.trials, p.trial = down, now, 0, now+time.Duration(float64(firstGap)/p.even())
}

// sound tells whether a route is well by what the fleet has seen.
func (p *pacer) sound(now time.Duration) bool {
	return p.state == open && p.fails == 0 && now-p.served < 2*time.Second
}
