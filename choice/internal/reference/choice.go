// Package reference decides as package choice does, by looking at all that waits in every Step: the way in which
// it decided until its orders were built. It is the standard against which tests hold choice; nothing else
// uses it, and it is changed only where a decision of choice is meant to change.
//
// It differs from what it was in these points, for which docs/design/002-backlog.md gives the reasons: pace
// grows with time in demand and not with looks; it is brought up to date before a refusal cuts it; a silence
// counts when patience is up, not a tick later; destinations that have nothing they could send do not count
// as waiting; a loss that is equal is computed as equal; final answers come in the order of their time; what
// is turned away follows shares and crowds.
package reference

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// buckets is the paper's H; their bound is the longest aim.
	latencyBuckets = 100
	// minSamples before the oracle is heard: the 98% edge means nothing with fewer.
	minSamples = 30
	// memory in samples of a latency table. Twice H: it fills the tail's buckets and still relearns.
	memory = 200
	// wasted is the restart cost c in mean latencies: the attempt runs on, its successor waits behind it.
	restartCostMeans = 4.0
	// outage of the last history outcomes of a unit must have failed: one stray error is none.
	outcomeHistory, outageFailures = 5, 2
	expiryMarginTicks              = 4   // ticks between the last own look at a message and its deadline
	budgetFraction                 = 0.9 // of the rule's budget for a cold destination
	// cut of a unit's pace: a fifth on a refusal. grow is what it regains in a second without, and
	// search the same where no rate is listed.
	rateCutFactor, listedRateGrowth, rateGrowth = 0.8, 0.05, 0.07
	briskRate                                   = 4 // calls a second from which pace is learnt by calls, not by seconds
	// aside is the share of worth by which a host that just failed, or is not yet well, comes later.
	avoidancePenalty = 0.02
	wakesPerTarget   = 200 // looks without news within the shortest aim
	// crowded is the part of the holding room above which the least worth is turned away.
	shedThreshold = 0.9
)

// New returns a Chooser for one relay. Pauses are drawn from the seed.
func New(s Settings, seed uint64) (*Chooser, error) {
	c := &Chooser{cfg: s, minTarget: math.MaxInt64, messages: map[string]*message{}, destinations: map[int]*destination{},
		hosts: map[string]*endpoint{}, keyOrders: map[string]*keyOrder{},
		rand: rand.New(rand.NewPCG(seed, 0)), pooledLatencies: latencyTable{weight: 1}}
	for _, k := range s.Classes {
		c.maxTimeout, c.minTarget = max(c.maxTimeout, k.Aim), min(c.minTarget, k.Aim)
	}
	if !s.Subscribe {
		c.subscribeAt = -1
	}
	c.pooledLatencies.width = c.maxTimeout / latencyBuckets
	c.retrySuccess = slices.Repeat([]float64{0.5}, max(1, len(s.Kinds)))
	c.wakeInterval = max(s.Tick, c.minTarget/wakesPerTarget)
	return c, nil
}

// Step takes in all that happened, then decides once.
func (c *Chooser) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			c.admit(e, false)
		case Restored:
			c.restore(e)
		case Unwell:
			c.applyUnwell(e)
		case Result:
			c.applyResult(e)
		case Withdrawn:
			if msg := c.messages[e.ID]; msg != nil && !msg.finished {
				c.finish(msg)
			}
		case Listing:
			c.applyListing(e)
		}
	}
	if c.subscribeAt >= 0 && now >= c.subscribeAt {
		c.subscribeAt = -1
		c.emit(Subscribe{})
	}
	c.releaseSettledKeys()
	c.active = slices.DeleteFunc(c.active, func(dest *destination) bool {
		dest.listedActive = len(dest.waiting) > 0 || dest.inFlight > 0
		return !dest.listedActive
	})
	c.detectUnresponsive()
	c.answerExpired()
	c.shedLoad()
	c.fillSlots()
	at := now + c.wakeInterval
	if (c.pending+c.callsInFlight > 0 || c.subscribeAt >= 0) && (c.wakeAt <= now || at < c.wakeAt) {
		c.wakeAt = at
		c.emit(Wake{After: at - now})
	}
	return c.actions
}

func (c *Chooser) emit(a Action) { c.actions = append(c.actions, a) }

// list takes in news of the endpoint list.
func (c *Chooser) applyListing(listing Listing) {
	if listing.Failed {
		c.subscribeAt = c.now + time.Second
		return
	}
	if listing.Whole {
		for _, host := range c.hosts {
			host.State = Gone
		}
	}
	for _, entry := range listing.Hosts {
		host := c.hosts[entry.Addr]
		if host == nil && entry.State == Gone {
			continue
		}
		c.updateRateLimits(c.destination(entry.Dest))
		if host == nil {
			dest := c.destination(entry.Dest)
			host = &endpoint{dest: dest, preference: c.rand.Float64()}
			c.hosts[entry.Addr], dest.hosts = host, append(dest.hosts, host)
			if entry.Kind >= 0 && entry.Kind < len(c.cfg.Kinds) {
				dest.kind, dest.retrySuccess = c.cfg.Kinds[entry.Kind], &c.retrySuccess[entry.Kind]
			}
			if dest.kind.Apart || len(dest.units) == 0 {
				unit := &healthUnit{name: entry.Addr, createdAt: c.now - time.Second, lastServed: c.now - time.Second}
				if c.cfg.Fleet >= 16 && !c.cfg.Listed {
					unit.rateLimit, unit.rateLimitAt, unit.tokens = 15/float64(c.cfg.Fleet), c.now, c.rand.Float64()
				}
				dest.units = append(dest.units, unit)
			}
			host.unit = dest.units[len(dest.units)-1]
		}
		if host.Host = entry; c.cfg.Listed && entry.State == Ready {
			if host.unit.listedRate = entry.Rate; host.unit.rateLimit == 0 {
				host.unit.rateLimit = entry.Rate // all relays together may send no more, so neither may one
			}
		}
	}
	for _, dest := range c.inOrder {
		dest.hosts = slices.DeleteFunc(dest.hosts, func(host *endpoint) bool {
			// A host that may come back keeps its wait, and what is known of its health.
			left := host.State == Gone && host.inFlight == 0 && c.now >= host.unit.retryAfterUntil &&
				(host.unit.state == healthy || c.now-host.unit.stateSince > c.cfg.Rules.Cold)
			if left {
				delete(c.hosts, host.Addr)
			}
			if left && dest.kind.Apart {
				dest.units = removeElement(dest.units, host.unit)
			}
			return left
		})
	}
	c.inOrder = slices.DeleteFunc(c.inOrder, func(dest *destination) bool {
		idle := len(dest.hosts) == 0 && len(dest.waiting) == 0 && dest.inFlight == 0
		if idle {
			delete(c.destinations, dest.id)
		}
		return idle
	})
}

func (c *Chooser) destination(id int) *destination {
	dest := c.destinations[id]
	if dest == nil {
		dest = &destination{id: id, kind: Kind{PerCall: 1}, retrySuccess: &c.retrySuccess[0]}
		dest.latencies = latencyTable{width: c.maxTimeout / latencyBuckets, weight: 1}
		c.destinations[id] = dest
		c.inOrder = append(c.inOrder, dest)
	}
	return dest
}

// The timeout oracle.

// table holds the latencies of one destination. Old samples fade: each new one weighs a
// little more than the one before it.
type latencyTable struct {
	width  time.Duration
	weight float64
	count  []float64     // N_i; made with the first sample
	sum    []float64     // N_i times M_i, seconds
	beyond float64       // N_tau
	total  float64       // samples, not faded
	edge   time.Duration // least-E edge, 0 for none
	high   time.Duration // edge below which 98% of the answers lie, 0 if unknown
	stale  bool
}

// add enters one served latency; cutShort one attempt that was given up at the bound.
func (t *latencyTable) add(took time.Duration) {
	i := int(took / t.width)
	if i < 0 || i >= latencyBuckets {
		t.cutShort()
		return
	}
	t.fade()
	if t.count == nil {
		t.count, t.sum = make([]float64, latencyBuckets), make([]float64, latencyBuckets)
	}
	t.count[i] += t.weight
	t.sum[i] += t.weight * took.Seconds()
}

func (t *latencyTable) cutShort() { t.fade(); t.beyond += t.weight }

func (t *latencyTable) fade() {
	t.total++
	t.stale = true
	if t.weight *= 1 + 1.0/memory; t.weight > 1e6 {
		for i := range t.count {
			t.count[i] /= t.weight
			t.sum[i] /= t.weight
		}
		t.beyond, t.weight = t.beyond/t.weight, 1
	}
}

// look brings edge and high up to date.
func (t *latencyTable) update() {
	if !t.stale || t.total < minSamples {
		return
	}
	t.stale = false
	served := 0.0
	for _, n := range t.count {
		served += n
	}
	all, cost := served+t.beyond, t.width.Seconds()
	if served > 0 {
		for _, s := range t.sum {
			cost += restartCostMeans * s / served
		}
	}
	f, m, best := 0.0, 0.0, math.Inf(1)
	t.edge, t.high = 0, 0
	for i := range t.count {
		f += t.count[i] / all
		m += t.sum[i] / all
		edge := time.Duration(i+1) * t.width
		if f <= 0 {
			continue
		}
		if e := m/f + (1-f)/f*(edge.Seconds()+cost); e < best {
			best, t.edge = e, edge
		}
		if t.high == 0 && f*all >= 0.98*served {
			t.high = edge
		}
	}
}

// patience is how long a call to a destination may stay unanswered before its silence means something.
func (c *Chooser) unresponsiveTimeout(dest *destination) time.Duration {
	latencies, least := &dest.latencies, c.minTarget/8
	if latencies.total < minSamples {
		latencies, least = &c.pooledLatencies, c.minTarget/2
	}
	if latencies.update(); latencies.high == 0 {
		return c.minTarget / 2
	}
	return min(max(2*latencies.high, least), c.maxTimeout)
}

// timeout for the next try of a message at a unit.
func (c *Chooser) attemptTimeout(msg *message, unit *healthUnit) time.Duration {
	left := msg.deadline - c.now
	if !c.mayRetry(msg) || msg.attempts+1 >= c.cfg.MaxAttempts {
		return left
	}
	dest := msg.dest
	dest.latencies.update()
	timeout := dest.latencies.edge
	switch {
	case unit.state == suspect:
		timeout = c.unresponsiveTimeout(dest) << min(unit.failedTrials, 4)
	case timeout > 0 && len(dest.waiting) > 1:
		// With a message waiting here a restart takes its place, and feeds an overload:
		// only calls that are very likely lost are given up.
		timeout = max(timeout, c.unresponsiveTimeout(dest))
	}
	timeout <<= min(dest.timeouts, 4)
	if timeout == 0 {
		return left
	}
	timeout = max(timeout, msg.lastTimeout+dest.latencies.width)
	restart := c.now + timeout + time.Duration(unit.latency*float64(time.Second))
	if restart >= msg.deadline || msg.class.Effect == Keyed && restart >= c.keyWindowEnd(msg) {
		return left
	}
	return timeout
}

// Health, pacing and waits.

// bad takes in a failure or a refusal.
func (c *Chooser) recordUnsuccessful(unit *healthUnit) {
	unit.servedStreak = 0
	unit.unsuccessful++
	if unit.state == suspect {
		unit.failedTrials++
		unit.nextTrialAt = c.now + c.trialBackoff(unit)
	}
}

// failed takes in a failure. It is held against the host alone while another of its unit is well: that
// guards against the loss of one building, and of one machine among several.
func (c *Chooser) applyFailure(host *endpoint, outcome Outcome) {
	unit, dest := host.unit, host.dest
	host.failures++
	host.avoidUntil = c.now + min(c.cfg.Rules.Fall/8<<min(host.failures, 3), c.cfg.Rules.Fall/3)
	isWell := func(g *endpoint) bool { return g.unit == unit && g.State == Ready && g.failures == 0 }
	if slices.ContainsFunc(dest.hosts, isWell) {
		return
	}
	c.recordUnsuccessful(unit)
	unit.mayHaveRun = unit.mayHaveRun || outcome != NoConnection
	unit.sawErrors = unit.sawErrors || outcome == Error
	unit.recordOutcome(true)
	alone := c.rarelyCalls(unit) && c.now-unit.lastServed > c.cfg.Rules.Fall // nothing here speaks against an outage
	if unit.state != suspect && (alone || bits.OnesCount(unit.recentFailures) >= outageFailures) {
		c.markSuspect(unit, dest, "failures")
	}
}

// note remembers whether the last outcome was a failure.
func (u *healthUnit) recordOutcome(failed bool) {
	u.recentFailures = u.recentFailures << 1 & (1<<outcomeHistory - 1)
	if failed {
		u.recentFailures |= 1
	}
}

// budget is this relay's share of the calls that the rule allows in its window, a while after a return.
func (c *Chooser) slowStartBudget(unit *healthUnit, back time.Duration) float64 {
	rate := unit.listedRate
	if rate == 0 {
		rate = unit.rateBeforeOutage * float64(c.cfg.Fleet)
	}
	k := c.cfg.Rules
	share := min(1, k.ColdFrom+(1-k.ColdFrom)*back.Seconds()/k.Cold.Seconds())
	return budgetFraction * k.OverloadFactor * share * rate * k.Fall.Seconds() / float64(c.cfg.Fleet)
}

// gap between trials, drawn by chance: it doubles up to a third of the rule's window, or to what leaves the
// trials of all relays within twice the budget of a unit just back. In a large fleet each relay tries for
// itself, and those that failed just before the return would come at once: there it is long from the start.
func (c *Chooser) trialBackoff(unit *healthUnit) time.Duration {
	window := c.cfg.Rules.Fall
	longest := max(window/3, min(2*c.cfg.Rules.Cold, time.Duration(float64(window)/(2*c.slowStartBudget(unit, 0)))))
	gap := min(window/8<<min(unit.failedTrials, 6), longest)
	if c.rarelyCalls(unit) {
		gap = longest
	}
	return gap/2 + time.Duration(c.rand.Float64()*float64(gap))
}

func (c *Chooser) markSuspect(unit *healthUnit, dest *destination, why string) {
	if unit.state == healthy {
		unit.rateBeforeOutage = max(c.servedRate(unit), 1/c.cfg.Rules.Cold.Seconds())
	}
	c.logf("destination %d unit %s suspect: %s", dest.id, unit.name, why)
	unit.state, unit.stateSince, unit.stateReason, unit.failedTrials, unit.servedStreak = suspect, c.now, why, 0, 0
	unit.nextTrialAt = c.now + c.trialBackoff(unit)
	c.emit(Health{Host: unit.name, Unwell: true, Base: unit.rateBeforeOutage})
}

func (c *Chooser) logf(format string, args ...any) { c.emit(Log{Text: fmt.Sprintf(format, args...)}) }

// refused takes in a refusal: a wait if one was told, a pause of its own and a lower pace if not.
func (c *Chooser) applyRefusal(unit *healthUnit, dest *destination, wait time.Duration) {
	c.recordUnsuccessful(unit)
	unit.retryAfterUntil = max(unit.retryAfterUntil, c.now+wait)
	unit.backoffUntil = max(c.now, unit.retryAfterUntil)
	if wait <= 0 || c.rarelyCalls(unit) {
		unit.backoffUntil += c.refusalBackoff(unit, dest, unit.unsuccessful-1)
	}
	if dest.refusals > 0 {
		*dest.retrySuccess -= *dest.retrySuccess / 16
	}
	if dest.refusals++; dest.refusals >= len(dest.units) && c.rarelyCalls(unit) {
		dest.backoffUntil = c.now + 2*c.refusalBackoff(unit, dest, dest.refusals-len(dest.units))
		if len(dest.waiting) > 0 {
			dest.demandSince = max(c.now, dest.backoffUntil)
		}
	}
	if c.now-unit.rateCutAt >= time.Second && !c.rarelyCalls(unit) {
		// Over at least the even share of a call, or the refused call alone counts as more than its share.
		window := min(max(time.Second, c.evenShareInterval(unit)), c.cfg.Rules.Cold)
		sentRate := c.sentWithin(unit, window) / window.Seconds()
		if flow := c.servedRate(unit); flow > briskRate { // one refusal in a lull says little of what it takes
			sentRate = max(sentRate, flow)
		}
		if unit.rateLimit == 0 || sentRate < unit.rateLimit {
			unit.rateLimit = sentRate
		}
		unit.rateLimit = max(unit.rateLimit*rateCutFactor, 1/c.cfg.Rules.Cold.Seconds(), unit.listedRate/float64(c.cfg.Fleet)/2)
		unit.rateCutAt, unit.tokens = c.now, max(-unit.rateLimit/2, min(unit.tokens, 0)) // calls without a limit are no debt
	}
	// Refusals alone, for longer than a limit explains, are those of a shut destination.
	fall := c.cfg.Rules.Fall
	if unit.state == healthy && (wait > 2*fall/3 || unit.unsuccessful > 6 && c.now-unit.lastServed >= fall) {
		c.markSuspect(unit, dest, "refusals only")
	}
}

// spread is a pause drawn by chance, so that relays do not come back in step. It doubles with each step up
// to the even share of a call, sooner the fewer calls after a refusal are served at this kind: where refused
// calls use up the limit, retries alone can keep it shut. It may harm where refusals come by chance.
func (c *Chooser) refusalBackoff(unit *healthUnit, dest *destination, step int) time.Duration {
	pause := (c.minTarget / 4).Seconds() * math.Exp2(float64(min(step, 10))) / math.Pow(2*(*dest.retrySuccess), 3)
	return time.Duration(min(pause, c.evenShareInterval(unit).Seconds()) * (0.5 + c.rand.Float64()) * float64(time.Second))
}

func (c *Chooser) applyServed(unit *healthUnit, dest *destination, took time.Duration) {
	if unit.latency == 0 {
		unit.latency = took.Seconds()
	}
	unit.latency += (took.Seconds() - unit.latency) / 8
	cold := c.cfg.Rules.Cold.Seconds()
	unit.servedRate = unit.servedRate*math.Exp(-(c.now-unit.lastServed).Seconds()/cold) + 1/cold
	briefly := unit.unsuccessful == 0 || !unit.sawErrors && c.now-unit.lastServed < c.cfg.Rules.Fall
	unit.lastServed, unit.unsuccessful = c.now, 0
	unit.servedStreak++
	unit.recordOutcome(false)
	switch {
	case unit.state == healthy && unit.recentFailures == 0:
		unit.mayHaveRun, unit.sawErrors = false, false
	case unit.state == suspect && briefly:
		unit.state, unit.stateSince, unit.mayHaveRun, unit.recentFailures = healthy, c.now, false, 0
		c.emit(Health{Host: unit.name})
	case unit.state == suspect:
		unit.state, unit.stateSince, unit.recentFailures = recovering, c.now, 0
		c.logf("destination %d unit %s recovering", dest.id, unit.name)
	case unit.state == recovering && c.now-unit.stateSince >= c.cfg.Rules.Cold:
		unit.state, unit.stateSince, unit.mayHaveRun, unit.sawErrors = healthy, c.now, false, false
		c.logf("destination %d unit %s healthy", dest.id, unit.name)
		c.emit(Health{Host: unit.name})
	}
}

// watch makes units suspect that leave calls unanswered: a guard against any silence, before a
// time-out tells. It holds as well against calls that unsafe messages leave out for long.
func (c *Chooser) detectUnresponsive() {
	c.calling = slices.DeleteFunc(c.calling, func(dest *destination) bool {
		for _, unit := range dest.units {
			if unit.state == healthy && len(unit.inFlight) > 0 {
				quiet := c.now - max(unit.inFlight[0].sentAt, unit.lastServed)
				if quiet >= c.unresponsiveTimeout(dest) {
					unit.mayHaveRun = true
					c.markSuspect(unit, dest, "silent")
				}
			}
		}
		return dest.inFlight == 0
	})
}

// sent counts the calls to a unit within a span until now.
func (c *Chooser) sentWithin(unit *healthUnit, span time.Duration) float64 {
	n := 0.0
	for _, t := range unit.sendTimes {
		if c.now-t <= span {
			n++
		}
	}
	return n
}

// room tells whether a unit may be sent a call now.
func (c *Chooser) maySend(unit *healthUnit) bool {
	if c.now < unit.retryAfterUntil || c.now < unit.backoffUntil {
		return false
	}
	switch unit.state {
	case suspect:
		return len(unit.inFlight) <= 1 && c.now >= unit.nextTrialAt
	case recovering:
		n, span := c.slowStartBudget(unit, c.now-unit.stateSince), c.cfg.Rules.Fall
		if n < 1 {
			n, span = 1, time.Duration(float64(span)/n)
		}
		if c.sentWithin(unit, span)+1 > n {
			return false
		}
	}
	return unit.rateLimit == 0 || unit.tokens >= 1-1e-9
}

// Admission and final answers.

func (c *Chooser) admit(arrival Arrival, restored bool) {
	k := &c.cfg.Classes[min(max(arrival.Class, 0), len(c.cfg.Classes)-1)]
	msg := &message{Arrival: arrival, class: k, dest: c.destination(arrival.Dest), deadline: c.now + arrival.Left, uncertainAt: -1}
	msg.createdAt = msg.deadline - k.Deadline
	if !restored && c.rejection(msg) {
		c.emit(Refuse{ID: msg.ID, After: c.retryAfter(msg.dest)})
		return
	}
	c.messages[arrival.ID] = msg
	c.pending++
	c.enqueue(msg)
	if k.Ordered && arrival.Key != "" {
		order := c.keyOrders[arrival.Key]
		if order == nil {
			order = &keyOrder{key: arrival.Key}
			c.keyOrders[arrival.Key] = order
		}
		order.messages = append(order.messages, msg)
	}
}

// result takes in how an attempt ended.
func (c *Chooser) applyResult(result Result) {
	msg := c.messages[result.ID]
	if msg == nil || msg.call == nil {
		return
	}
	call, host, unit, dest := msg.call, msg.call.host, msg.call.host.unit, msg.dest
	c.updateRateLimits(dest)
	unit.retryAfterUntil = max(unit.retryAfterUntil, c.now+result.Wait) // it binds with any outcome
	msg.call, msg.lastHost = nil, host
	if call.messages = removeElement(call.messages, msg); len(call.messages) == 0 {
		c.callsInFlight, dest.inFlight, host.inFlight = c.callsInFlight-1, dest.inFlight-1, host.inFlight-1
		unit.inFlight = removeElement(unit.inFlight, call)
	}
	if reportIndex := c.cfg.ReportLimit; reportIndex >= 0 && reportIndex < len(result.Report) && result.Report[reportIndex] > 0 {
		unit.listedRate = result.Report[reportIndex]
	}
	switch result.Outcome {
	case Served:
		dest.latencies.add(result.Took)
		c.pooledLatencies.add(result.Took)
		if result.Took <= dest.latencies.edge {
			dest.timeouts = 0
		}
		host.failures, host.unreadable = 0, 0
		if dest.refusals > 0 {
			*dest.retrySuccess += (1 - *dest.retrySuccess) / 16
		}
		dest.refusals = 0
		c.applyServed(unit, dest, result.Took)
	case Refused:
		c.applyRefusal(unit, dest, result.Wait)
	case Error, Reset:
		c.applyFailure(host, result.Outcome)
	case Spoilt: // it guards against holding stray noise for an outage: the host did answer
		if host.unreadable++; host.unreadable > outageFailures {
			c.applyFailure(host, Error)
		}
	case Timeout, Cancelled:
		dest.latencies.cutShort()
		if unit.lastServed < call.sentAt {
			dest.timeouts++
			if result.Took >= c.unresponsiveTimeout(dest) {
				c.applyFailure(host, result.Outcome)
			}
		}
	case NoConnection:
		dest.latencies.cutShort()
		c.applyFailure(host, result.Outcome)
	}
	certain := result.Outcome == Served || result.Outcome == Refused || result.Outcome == NoConnection || result.Outcome == NotSent
	if !certain {
		if msg.uncertainAt = c.now; !msg.mayHaveRun {
			msg.mayHaveRun, msg.mayHaveRunAt, msg.mayHaveRunZone = true, call.sentAt, host.Zone
		}
	}
	switch {
	case result.Done || msg.finished:
		c.finish(msg)
	case !c.mayRetry(msg) || msg.attempts >= c.cfg.MaxAttempts:
		c.answer(msg)
	default:
		c.enqueue(msg)
	}
}

// queue lets a message wait for its next try.
func (c *Chooser) enqueue(msg *message) {
	dest := msg.dest
	c.queueSequence++
	msg.queueSequence = c.queueSequence
	if len(dest.waiting) == 0 {
		dest.demandSince = max(c.now, dest.backoffUntil)
	}
	if dest.waiting = append(dest.waiting, msg); !dest.listedActive {
		dest.listedActive, c.active = true, append(c.active, dest)
	}
}

// repeatable tells whether the effect of a message allows one more send now.
func (c *Chooser) mayRetry(msg *message) bool {
	return !msg.mayHaveRun || msg.class.Effect == Safe || msg.class.Effect == Keyed && c.now < c.keyWindowEnd(msg)
}

func (c *Chooser) keyWindowEnd(msg *message) time.Duration {
	if !msg.mayHaveRun {
		return c.now + msg.class.Window
	}
	return msg.mayHaveRunAt + msg.class.Window
}

// final answers a message that is not out: refused where that is lawful, else failed.
func (c *Chooser) answer(msg *message) {
	if !msg.mayHaveRun || msg.class.Effect == Safe || msg.class.Effect == Keyed && !msg.class.SameZone {
		c.emit(Refuse{ID: msg.ID, After: c.retryAfter(msg.dest)})
	} else {
		c.emit(Fail{ID: msg.ID})
	}
	c.finish(msg)
}

// end frees a message; one that is out keeps its record, and its key, until its outcome.
func (c *Chooser) finish(msg *message) {
	if !msg.finished {
		msg.finished = true
		c.pending--
		if msg.call == nil {
			c.updateRateLimits(msg.dest)
			msg.dest.waiting = removeElement(msg.dest.waiting, msg)
		}
	}
	if msg.call != nil {
		return
	}
	delete(c.messages, msg.ID)
	if order := c.keyOrders[msg.Key]; order != nil && msg.class.Ordered {
		order.messages = removeElement(order.messages, msg)
		if msg.uncertainAt >= 0 {
			order.settledAt = max(order.settledAt, msg.uncertainAt+c.cfg.Rules.OrderSettle)
		}
		if len(order.messages) == 0 {
			c.settling = append(c.settling, order)
		}
	}
}

// worth of a message if it is served at a time.
func (c *Chooser) value(msg *message, at time.Duration) float64 {
	k := msg.class
	if at >= msg.deadline {
		return 0
	}
	age := at - msg.createdAt
	if age <= k.Aim {
		return k.Worth
	}
	late := (age - k.Aim).Seconds()
	if c.cfg.Halving {
		return k.Worth * max(k.LateShare, math.Exp2(-late/k.Aim.Seconds()))
	}
	return k.Worth * (1 - (1-k.LateShare)*late/(k.Deadline-k.Aim).Seconds())
}

// answer ends messages whose time is up, in the order of that time.
func (c *Chooser) answerExpired() {
	var over []*message
	for _, dest := range c.active {
		for _, msg := range dest.waiting {
			if c.expiryOf(msg) <= c.now || !c.mayRetry(msg) {
				over = append(over, msg)
			}
		}
	}
	slices.SortFunc(over, func(a, b *message) int {
		return cmp.Or(cmp.Compare(c.expiryOf(a), c.expiryOf(b)), cmp.Compare(a.queueSequence, b.queueSequence))
	})
	for _, msg := range over {
		c.answer(msg)
	}
}

func (c *Chooser) expiryOf(msg *message) time.Duration {
	at := msg.deadline - expiryMarginTicks*c.cfg.Tick - c.wakeInterval
	if msg.mayHaveRun && msg.class.Effect == Keyed {
		at = min(at, c.keyWindowEnd(msg))
	}
	return at
}

// shed turns messages away while the holding room is crowded.
func (c *Chooser) shedLoad() {
	for c.cfg.MaxHeld > 0 && float64(c.pending) > shedThreshold*float64(c.cfg.MaxHeld) {
		msg, _ := c.shedCandidate()
		if msg == nil {
			return
		}
		c.answer(msg)
	}
}

func (c *Chooser) shedCandidate() (worst *message, least float64) {
	least = math.Inf(1)
	for class := range c.cfg.Classes {
		var most *destination
		var oldest *message
		for _, dest := range c.active {
			if most != nil && (len(dest.waiting) < len(most.waiting) || len(dest.waiting) == len(most.waiting) && dest.id > most.id) {
				continue
			}
			var first *message
			for _, msg := range dest.waiting {
				if msg.Class == class && !msg.owedFirstAttempt() && (!msg.mayHaveRun || msg.class.Effect == Safe) && (first == nil || msg.deadline < first.deadline) {
					first = msg
				}
			}
			if first != nil {
				most, oldest = dest, first
			}
		}
		if most == nil {
			continue
		}
		if value := c.value(oldest, c.now) / float64(len(most.waiting)); value < least {
			least, worst = value, oldest
		}
	}
	return worst, least
}

func (c *Chooser) rejection(msg *message) bool {
	if c.cfg.MaxHeld == 0 {
		return false
	}
	most := 1e-9
	for _, k := range c.cfg.Classes {
		most = max(most, k.Worth)
	}
	waits, room := float64(len(msg.dest.waiting)), float64(c.cfg.MaxHeld)
	if waits >= (1+3*msg.class.Worth/most)*(room-float64(c.pending)) {
		return true
	}
	if float64(c.pending+1) <= shedThreshold*room {
		return false
	}
	_, least := c.shedCandidate()
	return c.value(msg, c.now)/(waits+1) < 2*least
}

// The turn.

// turn fills the free slots: the destination with the fewest calls out goes first.
func (c *Chooser) fillSlots() {
	maxShare := max(1, (3*c.cfg.Workers+3)/4-1)
	crowdedShare := max(1, c.cfg.Workers/2)
	// Trials go last, lest a small relay's slots fill with calls that may hang; those long due do not.
	well := func(unit *healthUnit) bool { return unit.state != suspect || c.now-unit.nextTrialAt > c.cfg.Rules.Fall }
	trial := func(dest *destination) int {
		if slices.ContainsFunc(dest.units, well) {
			return 0
		}
		return 1
	}
	var ready []*destination
	for _, dest := range c.active {
		if len(dest.waiting) == 0 || c.now < dest.backoffUntil {
			continue
		}
		for _, unit := range dest.units {
			c.updateRateLimit(unit, dest)
		}
		if slices.ContainsFunc(dest.units, c.maySend) {
			ready = append(ready, dest)
		}
	}
	var full []*destination
	for c.callsInFlight < c.cfg.Workers {
		ready = slices.DeleteFunc(ready, func(dest *destination) bool { msg, _ := c.chooseSend(dest); return msg == nil })
		if len(ready) == 0 {
			last := len(full) - 1
			if last < 0 || full[last].inFlight >= maxShare {
				break
			}
			ready, full = append(ready, full[last]), full[:last]
		}
		dest := slices.MinFunc(ready, func(a, b *destination) int {
			return cmp.Or(cmp.Compare(trial(a), trial(b)), cmp.Compare(a.inFlight, b.inFlight),
				cmp.Compare(a.lastSentAt, b.lastSentAt), cmp.Compare(a.id, b.id))
		})
		limit := maxShare
		if len(ready) > 1 {
			limit = crowdedShare
		}
		if dest.inFlight >= limit {
			full = append(full, dest)
		}
		if dest.inFlight >= limit || !c.sendNext(dest) {
			ready = removeElement(ready, dest)
		}
	}
	waits := func(dest *destination) bool { msg, _ := c.chooseSend(dest); return msg != nil }
	if c.cfg.Cancels && c.callsInFlight >= c.cfg.Workers && slices.ContainsFunc(append(ready, full...), waits) {
		c.cancelStuckCall()
	}
}

// callOff frees a slot while all are taken and a message waits for one: the oldest call out beyond its
// destination's patience, twice that if the unit has served others since, and as often as it was tried, so
// that slow ones are served in the end. It guards against calls that nobody will answer. An unsafe message
// is lost by it: twice the patience while such calls hold no more than half of the slots. Half the room
// taken halves the patience.
func (c *Chooser) cancelStuckCall() {
	var stuck []*outboundCall
	for _, dest := range c.active {
		for _, unit := range dest.units {
			for _, call := range unit.inFlight {
				if call.cancelled {
					return // one at a time
				}
				timeout := c.unresponsiveTimeout(dest)
				if c.cfg.MaxHeld > 0 && 2*c.pending > c.cfg.MaxHeld {
					timeout /= 2
				}
				if unit.lastServed >= call.sentAt {
					timeout *= 2
				}
				timeout *= time.Duration(call.messages[0].attempts)
				if c.now-call.sentAt > timeout {
					stuck = append(stuck, call)
				}
			}
		}
	}
	slices.SortFunc(stuck, func(a, b *outboundCall) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, call := range stuck {
		unsafe := slices.ContainsFunc(call.messages, func(msg *message) bool { return msg.class.Effect == Unsafe })
		if unsafe && 2*len(stuck) <= c.cfg.Workers && c.now-call.sentAt < 2*c.unresponsiveTimeout(call.host.dest) {
			continue
		}
		call.cancelled = true
		for _, msg := range call.messages {
			c.emit(Cancel{ID: msg.ID, Attempt: msg.attempts - 1})
		}
		return
	}
}

// sendOne sends the best message of a destination, and others along in the same call.
func (c *Chooser) sendNext(dest *destination) bool {
	msg, host := c.chooseSend(dest)
	if msg == nil {
		return false
	}
	unit := host.unit
	c.callSequence++
	call := &outboundCall{sequence: c.callSequence, host: host, sentAt: c.now}
	if !slices.Contains(c.calling, dest) {
		c.calling = append(c.calling, dest)
	}
	c.callsInFlight, dest.inFlight, host.inFlight, dest.lastSentAt = c.callsInFlight+1, dest.inFlight+1, host.inFlight+1, c.now
	old := func(t time.Duration) bool { return c.now-t > max(c.cfg.Rules.Cold, time.Second) }
	unit.inFlight, unit.sendTimes = append(unit.inFlight, call), append(slices.DeleteFunc(unit.sendTimes, old), c.now)
	unit.tokens--
	if unit.state == suspect {
		unit.nextTrialAt = c.now + c.unresponsiveTimeout(dest)<<min(unit.failedTrials, 4) + c.trialBackoff(unit)
	}
	c.send(msg, call)
	for len(call.messages) < dest.kind.PerCall && unit.state != suspect {
		msg := c.bestMessage(dest, func(msg *message) bool { return c.eligible(msg, host) })
		if msg == nil {
			break
		}
		c.send(msg, call)
	}
	if len(call.messages) > 1 {
		unit.sendTimes = append(unit.sendTimes, c.now) // further messages weigh a little: counted as one more call
	}
	return true
}

func (c *Chooser) send(msg *message, call *outboundCall) {
	dest := msg.dest
	msg.lastTimeout = c.attemptTimeout(msg, call.host.unit)
	dest.waiting = removeElement(dest.waiting, msg)
	msg.attempts++
	msg.call = call
	call.messages = append(call.messages, msg)
	c.emit(Send{ID: msg.ID, Host: call.host.Addr, Timeout: msg.lastTimeout})
}

// fits tells whether a message may go to a host now, room in its unit apart.
func (c *Chooser) eligible(msg *message, host *endpoint) bool {
	if host.State != Ready || !c.mayRetry(msg) || msg.attempts >= c.cfg.MaxAttempts {
		return false
	}
	if msg.class.Effect == Keyed && msg.class.SameZone && msg.mayHaveRun && host.Zone != msg.mayHaveRunZone {
		return false
	}
	// What cannot be repeated is kept from a unit whose failures may have run until it has served
	// a few, unless its own time runs short.
	unit := host.unit
	proven := unit.state == healthy || !unit.mayHaveRun || unit.state == recovering && (!unit.sawErrors || unit.servedStreak >= outcomeHistory)
	return proven || msg.class.Effect != Unsafe || msg.deadline-c.now < msg.class.Deadline/4
}

// owed tells whether a message is still owed its first try from before a restart.
func (m *message) owedFirstAttempt() bool { return m.restoredUntried && m.attempts == 0 }

// best is the message that loses most by waiting, among those that a test lets through.
func (c *Chooser) bestMessage(dest *destination, test func(*message) bool) *message {
	rate := 0.0
	for _, unit := range dest.units {
		rate += unit.servedRate
	}
	wait := c.minTarget
	if rate > 0 {
		wait = time.Duration(float64(len(dest.waiting)) / rate * float64(time.Second))
	}
	wait = min(max(wait, c.minTarget/8), 4*c.maxTimeout)
	var best *message
	maxLoss := math.Inf(-1)
	for _, msg := range dest.waiting {
		if !c.keyAllows(msg) || !test(msg) {
			continue
		}
		loss := c.value(msg, c.now) - c.value(msg, c.now+wait)
		if k, age := msg.class, c.now-msg.createdAt; !c.cfg.Halving && age > k.Aim && age+wait < k.Deadline {
			loss = k.Worth * (1 - k.LateShare) * wait.Seconds() / (k.Deadline - k.Aim).Seconds()
		}
		if msg.owedFirstAttempt() {
			loss += slices.MaxFunc(c.cfg.Classes, func(a, b Class) int { return cmp.Compare(a.Worth, b.Worth) }).Worth
		}
		if best == nil || loss > maxLoss || loss == maxLoss && msg.deadline < best.deadline {
			best, maxLoss = msg, loss
		}
	}
	return best
}

// pick chooses a message of a destination and a host for it.
func (c *Chooser) chooseSend(dest *destination) (*message, *endpoint) {
	var open []*endpoint
	for _, host := range dest.hosts {
		if host.State == Ready && c.maySend(host.unit) {
			open = append(open, host)
		}
	}
	msg := c.bestMessage(dest, func(msg *message) bool {
		return slices.ContainsFunc(open, func(host *endpoint) bool { return c.eligible(msg, host) })
	})
	var best *endpoint
	minCost := math.Inf(1)
	for _, host := range open {
		if msg != nil && c.eligible(msg, host) && c.routeCost(msg, host) < minCost {
			best, minCost = host, c.routeCost(msg, host)
		}
	}
	return msg, best
}

// cost of a route in shares of worth: its fee, and what its pace and its calls out take of the aim.
func (c *Chooser) routeCost(msg *message, host *endpoint) float64 {
	unit := host.unit
	cost := 0.0
	if msg.dest.kind.Apart && host.Zone < len(c.cfg.ZoneFee) {
		cost += c.cfg.ZoneFee[host.Zone]
	}
	if c.rarelyCalls(unit) {
		cost = cost/10 + host.preference/20
	}
	finish := unit.latency * float64(host.inFlight+1) / msg.class.Aim.Seconds()
	cost += max(0, finish-0.25) + finish/100
	if host == msg.lastHost || unit.state != healthy || host.failures > 0 {
		cost += avoidancePenalty
	}
	if c.now < host.avoidUntil {
		cost++
	}
	return cost
}
