package controlnode

import (
	"time"
)

// follower is a relay that follows the feed as package feed does: it takes entries from one source after its
// own index. Where that one does not answer or is not fresh, the others are polled in addition, one after the
// other, until one is fresh.
type follower struct {
	index         int64
	value         string
	source        int
	failedSources int // sources asked in vain since one was relied on
	nextPollAt    time.Duration
}

// Intervals of a follower. Its polls are short, in place of the long ones of the feed, so that it sees every state of a
// simulation.
const (
	pollInterval  = 50 * time.Millisecond  // of a source that has answered
	sourceTimeout = 500 * time.Millisecond // a source that was relied on until now is waited for
	hedgeInterval = 100 * time.Millisecond // any other is polled in addition to the next
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
		c.failf("a follower goes back from index %d to %d", f.index, commit)
	}
	for _, e := range m.node.Chain().Committed(f.index) {
		if v, ok := c.values[e.Index]; ok && v != string(e.Value) {
			c.failf("a follower has %s at index %d, %s was acknowledged", e.Value, e.Index, v)
		}
		f.value = string(e.Value)
	}
	f.index = max(f.index, commit)
}

// nextSource has a follower poll the next source, as this one does not answer or is not fresh.
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
