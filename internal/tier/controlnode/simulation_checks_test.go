package controlnode

import (
	"fmt"
	"time"
)

// acknowledgement is an index and the time when it was acknowledged.
type acknowledgement struct {
	at    time.Duration
	index int64
}

// maxFollowerLag bounds how long a follower whose own links work may act on a version older than an acknowledged one.
const maxFollowerLag = 2 * time.Second

// checkFollowerLag requires followers to have everything that was acknowledged longer than maxFollowerLag ago.
func (c *simulation) checkFollowerLag() {
	for len(c.recentAcks) > 0 && c.recentAcks[0].at+maxFollowerLag < c.now {
		for i, f := range c.followers {
			if c.recentAcks[0].at > c.lagCheckedFrom && f.index < c.recentAcks[0].index {
				c.failf("follower %d is at index %d %v after index %d was acknowledged", i, f.index, maxFollowerLag, c.recentAcks[0].index)
			}
		}
		c.recentAcks = c.recentAcks[1:]
	}
}

func (c *simulation) acknowledge(index int64, value string) {
	c.writes++
	if old, ok := c.values[index]; ok && old != value {
		c.failf("index %d was acknowledged with %s and with %s", index, old, value)
	}
	c.values[index] = value
	c.ackedIndex = max(c.ackedIndex, index)
	c.recentAcks = append(c.recentAcks, acknowledgement{c.now, index})
	c.logf("index %d acknowledged: %s", index, value)
}

// checkAgreement checks that all nodes have the same view in each epoch.
func (c *simulation) checkAgreement(m *machine) {
	v := m.node.View()
	if v.Epoch == 0 || m.checkedEpoch != nil && *m.checkedEpoch == v.Epoch {
		return
	}
	m.checkedEpoch = &v.Epoch
	text := fmt.Sprint(v)
	if c.views[v.Epoch] == "" {
		c.views[v.Epoch] = text
		if v.Epoch > c.newest.Epoch {
			c.newest = v
		}
		c.logf("view %d by %s: chain %v of %d voters", v.Epoch, m.addr, v.Chain, len(v.Voters))
	} else if c.views[v.Epoch] != text {
		c.failf("epoch %d has two views: %s and %s", v.Epoch, c.views[v.Epoch], text)
	}
}

// checkCommitted compares the committed entries of a node with what was acknowledged.
func (c *simulation) checkCommitted(m *machine, to int64) {
	for _, e := range m.node.Chain().Committed(0) {
		if v, ok := c.values[e.Index]; ok && v != string(e.Value) {
			c.failf("%s has %s at index %d, %s was acknowledged", m.addr, e.Value, e.Index, v)
		}
	}
	if e, ok := m.node.Chain().LastEntry("config"); c.ackedIndex > 0 && to >= c.ackedIndex && (!ok || e.Index < c.ackedIndex) {
		c.failf("%s reports index %d without the entry that was acknowledged at %d", m.addr, to, c.ackedIndex)
	}
}

// healthy reports whether all machines run and no link is blocked.
func (c *simulation) healthy() bool {
	for _, a := range c.addrs {
		if m := c.machines[a]; !m.up || m.frozen {
			return false
		}
	}
	return len(c.blockedLinks) == 0
}

// checkProgress checks, at random, that a healthy system acknowledges writes.
func (c *simulation) checkProgress() {
	if c.failure == "" && c.healthy() && c.rng.IntN(3) == 0 {
		before := c.writes
		c.run(2500 * time.Millisecond)
		if c.failure == "" && c.healthy() && c.writes == before {
			c.failf("no write was acknowledged in 2.5 s although all machines and links are healthy")
		}
	}
}
