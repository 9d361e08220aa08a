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

var simulations = flag.Int("courses", 60, "number of random simulations of configurations, and of stores")

// simulationsToRun returns the number of simulations, which is smaller under the race detector.
func simulationsToRun() int {
	if raceDetector {
		return min(*simulations, 12)
	}
	return *simulations
}

const (
	simulatedTime = 45 * time.Second
	maxInFlight   = 8               // orders of all operators without an answer
	resendTimeout = 6 * time.Second // an operator stops retrying after this time
)

// configChange identifies an order to put a configuration. A retried order has the same value.
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

// configSimulation simulates operators who put configurations while heads change. Answers are lost, copies of orders
// arrive tens of seconds late and at any node, and two operators choose the same version.
type configSimulation struct {
	*chainModel
	seed    uint64
	bug     configBug
	failure string
	events  []string

	committedChanges  []configChange         // in ascending order of version
	positionByVersion map[int64]int          // position in committedChanges by version
	rejected          map[configChange]bool  // rejected in any answer
	ackedByBase       map[int64]configChange // acknowledged change by base version
	acked             map[configChange]bool  // acknowledged in any answer
	highestAcked      int64                  // highest acknowledged version
	answers           map[Kind]int           // number of answers by kind of decision
	inFlight          int                    // orders without an answer
	sentInOrder       []configChange         // including those of the initial state
	sent              map[configChange]bool
	legacyCount       int      // of committedChanges: those in the legacy format, which keeps no base versions
	lastSent          [2]int64 // last version sent by each operator
	lastRead          [2]int64 // last version read by each operator
	reads             int
}

func (c *configSimulation) fail(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
		c.logf("FAIL %s", c.failure)
	}
}

func newConfigSimulation(seed uint64, bug configBug) *configSimulation {
	rng := rand.New(rand.NewPCG(seed, 11))
	initial := initialStates()[rng.IntN(len(initialStates()))]
	sim := &configSimulation{chainModel: newChainModel(rng, 3+rng.IntN(3), initial.entries), seed: seed, bug: bug,
		positionByVersion: map[int64]int{}, rejected: map[configChange]bool{}, sent: map[configChange]bool{},
		ackedByBase: map[int64]configChange{}, acked: map[configChange]bool{}, answers: map[Kind]int{}}
	sim.logf = func(format string, args ...any) {
		sim.events = append(sim.events, fmt.Sprintf("%8.2f ", sim.now.Seconds())+fmt.Sprintf(format, args...))
	}
	for _, change := range initial.committedChanges {
		sim.positionByVersion[change.version] = len(sim.committedChanges)
		sim.committedChanges = append(sim.committedChanges, change)
		sim.sentInOrder = append(sim.sentInOrder, change)
	}
	if initial.isLegacyFormat {
		sim.legacyCount = len(initial.committedChanges)
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

// handleCommit checks that the version of each committed configuration is above the last one, and that the configuration
// was sent and not rejected.
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
	c.logf("committed: %v", change)
	if change.version <= change.base {
		c.fail("version %d was committed after version %d", change.version, change.base)
	}
	if c.rejected[change] {
		c.fail("%v was rejected and is committed", change)
	}
	if !c.sent[change] {
		c.fail("%v was never sent and is committed", change)
	}
	c.positionByVersion[change.version] = len(c.committedChanges)
	c.committedChanges = append(c.committedChanges, change)
}

// committedChange returns the committed change with the same version and body, whatever its base version.
func (c *configSimulation) committedChange(change configChange) (configChange, bool) {
	i, ok := c.positionByVersion[change.version]
	if !ok || c.committedChanges[i].body != change.body {
		return configChange{}, false
	}
	return c.committedChanges[i], true
}

// checkAnswer checks an answer, even if it does not reach the operator. committedBefore reports whether the configuration
// was committed, on any base version, before this copy of the order arrived.
func (c *configSimulation) checkAnswer(change configChange, decision Decision, committedBefore bool) {
	c.answers[decision.Kind]++
	committed, isCommitted := c.committedChange(change)
	switch {
	case decision.Kind.IsAcknowledgement():
		if !isCommitted || committed != change {
			c.fail("%v was acknowledged (%v) and is not committed", change, decision.Kind)
		}
		if other, twice := c.ackedByBase[change.base]; twice && other != change {
			c.fail("%v and %v were both acknowledged on the same base version", other, change)
		}
		if c.rejected[change] {
			c.fail("%v was rejected and then acknowledged", change)
		}
		c.ackedByBase[change.base], c.acked[change] = change, true
		c.highestAcked = max(c.highestAcked, change.version)
	case decision.Kind.IsRejection():
		if isCommitted && (committedBefore || committed == change) {
			c.fail("%v was rejected (%v: %s), and that configuration is committed", change, decision.Kind, decision.Reason)
		}
		c.rejected[change] = true
	}
}

// deliver delivers a copy of an order to a random replica, which forwards it to the head of its epoch. The order is lost if
// that one is not an active head.
func (c *configSimulation) deliver(change configChange, answered func(Decision)) {
	r := c.replicas[c.rng.IntN(len(c.replicas))]
	delay := time.Duration(1+c.rng.IntN(30)) * time.Millisecond
	c.schedule(delay, func() {
		if !r.isHead() && len(r.chain) > 0 {
			r = r.chain[0]
		}
		if r.isHead() {
			c.handleAtHead(r, change, answered)
		}
	})
}

// handleAtHead decides an order and delays the reply in the same way as package controlnode.
func (c *configSimulation) handleAtHead(r *replica, change configChange, answered func(Decision)) {
	decision, err := c.bug.decidePut(r, change.order())
	if err != nil {
		c.fail("%v: %v", change, err)
		return
	}
	_, committedBefore := c.committedChange(change)
	reply := func(ok bool) {
		if ok {
			c.checkAnswer(change, decision, committedBefore)
			answered(decision)
		}
	}
	if decision.Kind == Accept {
		for _, w := range decision.Append {
			r.append(w)
		}
		r.pending = append(r.pending, pendingReply{dependsOn: r.lastIndex, deadline: c.now + callTimeout, reply: reply})
		return
	}
	switch {
	case c.bug.skipConfirmation:
		r.pending = append(r.pending, pendingReply{dependsOn: decision.DependsOn, deadline: c.now + callTimeout, reply: reply})
	case c.bug.ignoreDependency:
		r.pending = append(r.pending, pendingReply{confirmedAt: c.now + 1, deadline: c.now + callTimeout, reply: reply})
	default:
		round := time.Duration(1+c.rng.IntN(40)) * time.Millisecond
		r.pending = append(r.pending,
			pendingReply{dependsOn: decision.DependsOn, confirmedAt: c.now + round, deadline: c.now + callTimeout, reply: reply})
	}
}

// sendUntilAnswered retries an order until a definite answer arrives or resendTimeout expires. A copy may arrive much later.
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

// randomChange returns the next order of a random operator of two.
func (c *configSimulation) randomChange() configChange {
	operator := c.rng.IntN(2)
	if c.rng.IntN(4) > 0 {
		c.lastRead[operator] = c.newestVersion()
	}
	base := c.lastRead[operator]
	if last := c.lastSent[operator]; last > base && c.rng.IntN(4) == 0 {
		base = last // possibly unanswered
	}
	version := base + 1 + int64(c.rng.IntN(3))
	c.lastSent[operator] = version
	drawn := configChange{version, base, fmt.Sprintf("%d by operator %d", version, operator)}
	switch kind := c.rng.IntN(40); {
	case kind < 6:
		drawn.body = fmt.Sprintf("%d by both", version)
	case kind < 8 && len(c.sentInOrder) > 0: // a body that was sent before, now on another base version
		earlier := c.sentInOrder[c.rng.IntN(len(c.sentInOrder))]
		if i, ok := c.positionByVersion[earlier.version]; ok && i < c.legacyCount {
			break
		}
		drawn = earlier
		drawn.base = base
	case kind < 10:
		drawn.body += " bad"
	case kind < 12:
		drawn.version = max(1, base-int64(c.rng.IntN(3)))
		drawn.body = fmt.Sprintf("%d by operator %d", drawn.version, operator)
	case kind < 18 && len(c.sentInOrder) > 0: // a change that was sent before
		drawn = c.sentInOrder[max(0, len(c.sentInOrder)-1-c.rng.IntN(200))]
	}
	return drawn
}

// sendRead reads the current configuration at a tail.
func (c *configSimulation) sendRead() {
	r := c.replicas[c.rng.IntN(len(c.replicas))]
	if !r.isTail() {
		return
	}
	before := c.highestAcked
	reply := func(ok bool) {
		if !ok {
			return
		}
		d, err := Decide(r.committed(), 1, ReadConfig{})
		switch {
		case err != nil:
			c.fail("read: %v", err)
		case d.Kind == NotFound && before > 0:
			c.fail("no configuration was read, though version %d was acknowledged before", before)
		case d.Kind == Found:
			c.reads++
			newest := c.committedChanges[len(c.committedChanges)-1]
			if newest.version < before || !bytes.Equal(d.Body, []byte(newest.body)) {
				c.fail("read %s; %v is committed, and version %d was acknowledged before", d.Body, newest, before)
			}
		}
	}
	r.pending = append(r.pending, pendingReply{confirmedAt: c.now + readConfirmTime, deadline: c.now + callTimeout, reply: reply})
}

func (c *configSimulation) run() {
	viewInterval := time.Duration(1+c.rng.IntN(4)) * time.Second // mean time between view changes
	orderInterval := 1 + c.rng.IntN(12)                          // mean number of steps between orders
	for c.now < simulatedTime && c.failure == "" {
		if c.partialUpdate && c.rng.IntN(4) == 0 || c.rng.IntN(int(viewInterval/simulationStep)) == 0 {
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

// checkResend sends committed changes again in a stable view, and checks that those in the history are acknowledged and
// that none is rejected.
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
			continue // only a sample of the older ones
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
			c.fail("%v, committed as number %d of %d and resent in a stable view: answered %v",
				change, i+1, len(c.committedChanges), answered)
		}
	}
	if kept := sent - unavailable; kept < min(len(c.committedChanges), legacyDigestLimit-1) {
		c.fail("%d changes are committed, but only %d of %d resent ones were acknowledged again", len(c.committedChanges), kept, sent)
	}
	if n := len(c.committedChanges); n > 0 && c.highestAcked != c.committedChanges[n-1].version {
		c.fail("%v was committed last, version %d was acknowledged last", c.committedChanges[n-1], c.highestAcked)
	}
}

func (c *configSimulation) eventLog() string { return strings.Join(c.events, "\n") }

func TestRandomConfigSimulationsKeepAnswersConsistent(t *testing.T) {
	t.Parallel()
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	total, maxVersions := map[Kind]int{}, 0
	for i := range simulationsToRun() {
		c := newConfigSimulation(base+uint64(i), configBug{})
		before := len(c.committedChanges)
		c.run()
		if c.failure != "" {
			t.Fatalf("seed %d: %s\n%s", c.seed, c.failure, c.eventLog())
		}
		maxVersions = max(maxVersions, len(c.committedChanges)-before)
		for k, n := range c.answers {
			total[k] += n
		}
	}
	t.Logf("%d simulations, up to %d versions each, answers: %v", simulationsToRun(), maxVersions, total)
	for _, k := range []Kind{Accept, AlreadyApplied, VersionMismatch, Invalid, Unavailable} {
		if total[k] < simulationsToRun() {
			t.Errorf("%d answers of kind %v in %d simulations: too few for a meaningful test", total[k], k, simulationsToRun())
		}
	}
}
