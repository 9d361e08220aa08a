package orders

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/feed"
)

// A course is a drawn day of operators who put configurations while heads change: answers are lost, copies of orders
// come tens of seconds late and at any node, two operators pick one number.

var simulations = flag.Int("courses", 60, "drawn courses to play, of configurations and of stores each")

// coursesToPlay are fewer under the race detector.
func simulationCount() int {
	if raceDetector {
		return min(*simulations, 12)
	}
	return *simulations
}

const (
	simulatedTime = 45 * time.Second
	maxInFlight   = 8 // orders of all operators together
	resendTimeout = 6 * time.Second
)

// change is what identifies an order to put a configuration: sent again, it is the same.
type configChange struct {
	version, base int64
	body          string
}

func (c configChange) order() PutConfig {
	o := PutConfig{IfMatch: c.base, Version: c.version, Digest: Digest([]byte(c.body)), Body: []byte(c.body)}
	if strings.HasSuffix(c.body, "bad") {
		o.Version, o.Invalid = 0, "no JSON"
	}
	return o
}

type configSimulation struct {
	*chainModel
	seed    uint64
	fault   configFault
	failure string
	events  []string

	committedChanges  []configChange         // all that was ever, in order
	positionByVersion map[int64]int          // version to index in inForce
	rejected          map[configChange]bool  // by any answer
	ackedByBase       map[int64]configChange // acknowledged on a version
	acked             map[configChange]bool  // by any answer
	highestAcked      int64                  // the highest version acknowledged
	answers           map[Kind]int           // told to operators
	inFlight          int                    // orders under way
	sentInOrder       []configChange         // all that were sent
	sent              map[configChange]bool
	unrecordedCount   int      // of inForce: the format before did not keep what they were built on
	lastSent          [2]int64 // version that each operator has sent last
	lastRead          [2]int64 // what each operator has read last
	reads             int
}

func (c *configSimulation) fail(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
		c.logf("FAIL %s", c.failure)
	}
}

func newConfigSimulation(seed uint64, fault configFault) *configSimulation {
	rng := rand.New(rand.NewPCG(seed, 11))
	initial := initialStates()[rng.IntN(len(initialStates()))]
	sim := &configSimulation{chainModel: newChainModel(rng, 3+rng.IntN(3), initial.entries), seed: seed, fault: fault, positionByVersion: map[int64]int{}, rejected: map[configChange]bool{},
		sent: map[configChange]bool{}, ackedByBase: map[int64]configChange{}, acked: map[configChange]bool{}, answers: map[Kind]int{}}
	sim.logf = func(format string, args ...any) {
		sim.events = append(sim.events, fmt.Sprintf("%8.2f ", sim.now.Seconds())+fmt.Sprintf(format, args...))
	}
	for _, change := range initial.committedChanges {
		sim.positionByVersion[change.version] = len(sim.committedChanges)
		sim.committedChanges = append(sim.committedChanges, change)
		sim.sentInOrder = append(sim.sentInOrder, change)
	}
	if initial.legacyFormat {
		sim.unrecordedCount = len(initial.committedChanges)
	}
	sim.logf("seed %d: %d replicas, %d versions before", seed, len(sim.replicas), len(sim.committedChanges))
	sim.onCommit = sim.handleCommit
	return sim
}

func (c *configSimulation) newestVersion() (version int64) {
	if n := len(c.committedChanges); n > 0 {
		return c.committedChanges[n-1].version
	}
	return 0
}

// committed holds each configuration that comes into force against the one before and against what was refused.
func (c *configSimulation) handleCommit(e chain.Entry) {
	if e.Key != feed.ConfigKey {
		return
	}
	var entry feed.ConfigEntry
	if err := rpc.Decode(e.Value, &entry); err != nil {
		c.fail("entry %d: %v", e.Index, err)
		return
	}
	change := configChange{entry.Version, c.newestVersion(), string(entry.Body)}
	c.logf("in force: %v", change)
	if change.version <= change.base {
		c.fail("version %d comes after %d", change.version, change.base)
	}
	if c.rejected[change] {
		c.fail("%v was refused and is in force", change)
	}
	if !c.sent[change] {
		c.fail("%v is in force, and nobody has sent it", change)
	}
	c.positionByVersion[change.version] = len(c.committedChanges)
	c.committedChanges = append(c.committedChanges, change)
}

// was tells whether a configuration was ever in force, whatever it built on.
func (c *configSimulation) committedChange(change configChange) (configChange, bool) {
	i, ok := c.positionByVersion[change.version]
	if !ok || c.committedChanges[i].body != change.body {
		return configChange{}, false
	}
	return c.committedChanges[i], true
}

// told checks an answer, also one that is lost on its way and one to a late copy. Before says that the configuration was
// taken, on whatever version, before this copy of the order came.
func (c *configSimulation) checkAnswer(change configChange, d Decision, committedBefore bool) {
	c.answers[d.Kind]++
	committed, isCommitted := c.committedChange(change)
	switch {
	case d.Kind.IsAcknowledgement():
		if !isCommitted || committed != change {
			c.fail("%v was acknowledged (%v) and is not in force", change, d.Kind)
		}
		if other, twice := c.ackedByBase[change.base]; twice && other != change {
			c.fail("%v and %v were both acknowledged on one version", other, change)
		}
		if c.rejected[change] {
			c.fail("%v was refused and then acknowledged", change)
		}
		c.ackedByBase[change.base], c.acked[change] = change, true
		c.highestAcked = max(c.highestAcked, change.version)
	case d.Kind.IsRejection():
		if isCommitted && (committedBefore || committed == change) {
			c.fail("%v was refused (%v: %s), and that configuration was taken", change, d.Kind, d.Reason)
		}
		c.rejected[change] = true
	}
}

// send has a copy of an order come to a replica, which passes it on to the head that it knows of, or answers nothing.
func (c *configSimulation) deliver(change configChange, answered func(Decision)) {
	r := c.replicas[c.rng.IntN(len(c.replicas))]
	delay := time.Duration(1+c.rng.IntN(30)) * time.Millisecond
	c.schedule(delay, func() {
		if !r.head() && len(r.chain) > 0 {
			r = r.chain[0]
		}
		if r.head() {
			c.handleAtHead(r, change, answered)
		}
	})
}

// carry does with a decision what the driver does.
func (c *configSimulation) handleAtHead(r *replica, change configChange, answered func(Decision)) {
	d, err := c.fault.put(r, change.order())
	if err != nil {
		c.fail("%v: %v", change, err)
		return
	}
	_, committedBefore := c.committedChange(change)
	reply := func(heard bool) {
		if heard {
			c.checkAnswer(change, d, committedBefore)
			answered(d)
		}
	}
	if d.Kind == Accept {
		for _, w := range d.Append {
			r.append(w)
		}
		r.pending = append(r.pending, pendingReply{dependsOn: r.lastIndex, deadline: c.now + callTimeout, reply: reply})
		return
	}
	switch {
	case c.fault.noConfirm:
		r.pending = append(r.pending, pendingReply{dependsOn: d.DependsOn, deadline: c.now + callTimeout, reply: reply})
	case c.fault.ignoreDependency:
		r.pending = append(r.pending, pendingReply{confirmedAt: c.now + 1, deadline: c.now + callTimeout, reply: reply})
	default:
		round := time.Duration(1+c.rng.IntN(40)) * time.Millisecond
		r.pending = append(r.pending, pendingReply{dependsOn: d.DependsOn, confirmedAt: c.now + round, deadline: c.now + callTimeout, reply: reply})
	}
}

// try sends an order until a clear answer comes back or the operator gives up. A copy may come much later.
func (c *configSimulation) sendUntilAnswered(change configChange) {
	c.inFlight++
	c.sentInOrder = append(c.sentInOrder, change)
	c.sent[change] = true
	until := c.now + resendTimeout
	done := false
	end := func() {
		if !done {
			done = true
			c.inFlight--
		}
	}
	var attempt func()
	attempt = func() {
		if done {
			return
		}
		if c.now > until {
			end()
			return
		}
		c.deliver(change, func(d Decision) {
			if d.Kind != Unavailable && c.rng.IntN(5) > 0 { // the answer is not lost
				end()
			}
		})
		c.schedule(time.Duration(200+c.rng.IntN(1000))*time.Millisecond, attempt)
	}
	attempt()
	if c.rng.IntN(3) == 0 {
		c.schedule(time.Duration(c.rng.IntN(40_000))*time.Millisecond, func() { c.deliver(change, func(Decision) {}) })
	}
}

// draw makes a change that one of two operators sends.
func (c *configSimulation) randomChange() configChange {
	operator := c.rng.IntN(2)
	if c.rng.IntN(4) > 0 {
		c.lastRead[operator] = c.newestVersion()
	}
	base := c.lastRead[operator]
	if last := c.lastSent[operator]; last > base && c.rng.IntN(4) == 0 {
		base = last // one that is still under way
	}
	version := base + 1 + int64(c.rng.IntN(3))
	c.lastSent[operator] = version
	drawn := configChange{version, base, fmt.Sprintf("%d by operator %d", version, operator)}
	switch kind := c.rng.IntN(40); {
	case kind < 6:
		drawn.body = fmt.Sprintf("%d by both", version)
	case kind < 8 && len(c.sentInOrder) > 0: // a body that was sent before, on another version
		earlier := c.sentInOrder[c.rng.IntN(len(c.sentInOrder))]
		if i, ok := c.positionByVersion[earlier.version]; ok && i < c.unrecordedCount {
			break
		}
		drawn = earlier
		drawn.base = base
	case kind < 10:
		drawn.body += " bad"
	case kind < 12:
		drawn.version = max(1, base-int64(c.rng.IntN(3)))
		drawn.body = fmt.Sprintf("%d by operator %d", drawn.version, operator)
	case kind < 18 && len(c.sentInOrder) > 0: // one that was sent before
		drawn = c.sentInOrder[max(0, len(c.sentInOrder)-1-c.rng.IntN(200))]
	}
	return drawn
}

// read asks a tail for the configuration in place.
func (c *configSimulation) sendRead() {
	r := c.replicas[c.rng.IntN(len(c.replicas))]
	if !r.tail() {
		return
	}
	before := c.highestAcked
	r.pending = append(r.pending, pendingReply{confirmedAt: c.now + 20*time.Millisecond, deadline: c.now + callTimeout, reply: func(heard bool) {
		if !heard {
			return
		}
		d, err := Decide(r.committed(), 1, ReadConfig{})
		switch {
		case err != nil:
			c.fail("read: %v", err)
		case d.Kind == NotFound && before > 0:
			c.fail("nothing is read, version %d was acknowledged before", before)
		case d.Kind == Found:
			c.reads++
			if newest := c.committedChanges[len(c.committedChanges)-1]; newest.version < before || !bytes.Equal(d.Body, []byte(newest.body)) {
				c.fail("%s is read; %v is in force, %d was acknowledged", d.Body, newest, before)
			}
		}
	}})
}

func (c *configSimulation) run() {
	viewInterval := time.Duration(1+c.rng.IntN(4)) * time.Second // between heads, about
	orderInterval := 1 + c.rng.IntN(12)                          // steps between orders, about
	for c.now < simulatedTime && c.failure == "" {
		if c.partialUpdate && c.rng.IntN(4) == 0 || c.rng.IntN(int(viewInterval/worldStep)) == 0 {
			c.changeView(false)
		}
		if c.inFlight < maxInFlight && c.rng.IntN(orderInterval) == 0 {
			c.sendUntilAnswered(c.randomChange())
		}
		if c.rng.IntN(20) == 0 {
			c.sendRead()
		}
		c.step()
	}
	c.checkResend()
}

// close sends everything that was in force once more, in calm: what the history reaches is acknowledged, and nothing is
// refused.
func (c *configSimulation) checkResend() {
	head := c.changeView(true)
	for end := c.now + 2*time.Second; c.now < end && c.failure == ""; {
		c.step()
	}
	unavailable := 0
	olderCount := len(c.committedChanges) - legacyDigestLimit
	sent := 0
	for i, change := range c.committedChanges {
		if c.failure != "" {
			return
		}
		if i < olderCount && c.rng.IntN(olderCount) > legacyDigestLimit {
			continue // some of those that are older
		}
		sent++
		answered := Kind(0)
		c.handleAtHead(head, change, func(d Decision) { answered = d.Kind })
		for range 100 {
			if c.step(); answered != 0 || c.failure != "" {
				break
			}
		}
		if answered == Unavailable {
			unavailable++
		} else if answered != AlreadyApplied {
			c.fail("%v, the %d. of %d in force, sent once more in calm: %v", change, i+1, len(c.committedChanges), answered)
		}
	}
	if kept := sent - unavailable; kept < min(len(c.committedChanges), legacyDigestLimit-1) {
		c.fail("of %d in force only %d of %d are acknowledged again", len(c.committedChanges), kept, sent)
	}
	if n := len(c.committedChanges); n > 0 && c.highestAcked != c.committedChanges[n-1].version {
		c.fail("%v is in force last, %d was acknowledged last", c.committedChanges[n-1], c.highestAcked)
	}
}

func (c *configSimulation) eventLog() string { return strings.Join(c.events, "\n") }

func TestRandomConfigSimulations(t *testing.T) {
	t.Parallel()
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	total, most := map[Kind]int{}, 0
	for i := range simulationCount() {
		c := newConfigSimulation(base+uint64(i), configFault{})
		before := len(c.committedChanges)
		c.run()
		if c.failure != "" {
			t.Fatalf("seed %d: %s\n%s", c.seed, c.failure, c.eventLog())
		}
		most = max(most, len(c.committedChanges)-before)
		for k, n := range c.answers {
			total[k] += n
		}
	}
	t.Logf("%d courses, up to %d versions each, answers: %v", simulationCount(), most, total)
	for _, k := range []Kind{Accept, AlreadyApplied, VersionMismatch, Invalid, Unavailable} {
		if total[k] < simulationCount() {
			t.Errorf("%d answers of kind %v in %d courses: they show nothing of it", total[k], k, simulationCount())
		}
	}
}
