package controlnode

import (
	"time"
)

// follower models a follower as package feed implements it: it polls one source for entries after its own index. If that
// source does not answer or is not fresh, it also polls the others, one after the other, until one is fresh.
type follower struct {
	index         int64
	value         string
	source        int
	failedSources int // sources polled without success since the last fresh one
	nextPollAt    time.Duration
}

// Intervals of a follower. It uses short polls instead of the long polls of the feed, so that it sees every state of a
// simulation.
const (
	pollInterval  = 50 * time.Millisecond  // between polls of a source that answers
	sourceTimeout = 500 * time.Millisecond // how long to wait for a source that was fresh until now
	hedgeInterval = 100 * time.Millisecond // how long to wait for any other source before also polling the next
)

func (c *simulation) pollSource(f *follower) {
	if c.now < f.nextPollAt {
		return
	}
	m := c.machines[c.addrs[f.source%len(c.addrs)]]
	alone := c.bugs.servesStaleFeed || c.bugs.learnersAnswerAlone && m.up && m.node.isVotingLearner()
	if !m.up || m.frozen || !m.node.Fresh() && !alone {
		c.nextSource(f, !m.up || m.frozen)
		return
	}
	f.failedSources, f.nextPollAt = 0, c.now+pollInterval
	if c.bugs.followerRegresses && c.rng.IntN(50) == 0 {
		f.source++
	}
	commit := m.node.Chain().State().Commit
	if commit < f.index && c.bugs.followerRegresses {
		c.failf("a follower regresses from index %d to %d", f.index, commit)
	}
	for _, e := range m.node.Chain().Committed(f.index) {
		if v, ok := c.values[e.Index]; ok && v != string(e.Value) {
			c.failf("a follower has %s at index %d, %s was acknowledged", e.Value, e.Index, v)
		}
		f.value = string(e.Value)
	}
	f.index = max(f.index, commit)
}

// nextSource makes a follower poll the next source, as the current one does not answer or is not fresh.
func (c *simulation) nextSource(f *follower, unresponsive bool) {
	wait := pollInterval
	switch {
	case unresponsive && f.failedSources == 0:
		wait = sourceTimeout
	case unresponsive:
		wait = hedgeInterval
	}
	f.failedSources++
	f.source++
	f.nextPollAt = c.now + wait
}
