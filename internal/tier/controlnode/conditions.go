package controlnode

import (
	"slices"
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

// conditions are what this node would have the next view take up.
func (n *Node) conditions() view.Conditions {
	c := view.Conditions{Alive: map[string]bool{n.set.Self.ID: true}, CaughtUp: map[string]bool{}, Failed: map[string]bool{},
		Suspected: map[string]bool{}, Leaving: map[string]bool{}, FaultTolerance: n.set.Losses}
	if n.leaving {
		c.Leaving[n.set.Self.ID] = true
	}
	ids := make([]string, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	c.CaughtUp[n.set.Self.ID] = true
	heard := n.heardByMajority()
	for _, id := range ids {
		if id != n.set.Self.ID {
			n.describe(&c, id, heard)
		}
	}
	return c
}

// describe adds one peer to the conditions.
func (n *Node) describe(c *view.Conditions, id string, heardByMajority bool) {
	p := n.peers[id]
	silence := n.now - p.heard
	voter := n.vote.View.IsVoter(id)
	deaf := heardByMajority && !n.hears(p) // cut off in one way
	alive := p.ever && silence < n.set.Timings.Suspect && !deaf
	if alive && (voter || n.applies(p)) {
		c.Alive[id] = true
		c.CaughtUp[id] = n.caughtUp(p) && n.heardByChain(id) && p.answered
		if p.ack.Commit > n.chain.State().Commit {
			c.CaughtUp[n.set.Self.ID] = false
		}
		c.Leaving[id] = p.leaving
		if !voter && !p.leaving {
			c.Applicants = append(c.Applicants, p.member)
		}
	}
	if !voter {
		return
	}
	c.Failed[id] = silence > n.set.Timings.Gone || p.leaving && silence > n.set.Timings.Suspect
	c.Suspected[id] = !alive && p.ever && !c.Failed[id]
}

// heardByMajority tells whether a majority of the voters hears this node: if not, the fault is its own.
func (n *Node) heardByMajority() bool {
	by := 0
	for _, m := range n.vote.View.Voters {
		if p := n.peers[m.ID]; m.ID == n.set.Self.ID || p != nil && n.hears(p) {
			by++
		}
	}
	return by >= n.vote.View.Majority()
}

// hears tells whether a peer has heard this node lately.
func (n *Node) hears(p *peer) bool { return n.now-p.hearsMe <= 4*n.set.Timings.Beat }

// applies tells whether a member without a vote may get one: it has answered this node in its present life, so that a
// late message of a machine that is gone is none, and no other identity answers from its address.
func (n *Node) applies(p *peer) bool {
	if !p.answered || !n.hears(p) {
		return false
	}
	for id, other := range n.peers {
		if id != p.member.ID && other.member.Addr == p.member.Addr && other.ever && other.heard > p.heard {
			return false
		}
	}
	return true
}

// heardByChain tells whether all members of the chain that this node hears, hear a member. One that some do not hear would
// be taken out again by them as soon as others have brought it in.
func (n *Node) heardByChain(id string) bool {
	for _, l := range n.vote.View.Chain {
		p := n.peers[l.ID]
		if l.ID == id || l.ID == n.set.Self.ID || p == nil || !n.heardLately(p) {
			continue
		}
		if _, hears := slices.BinarySearch(p.hearing, id); !hears {
			return false
		}
	}
	return true
}

// caughtUp tells whether a member outside the chain lacks so little that the chain need not wait for it.
func (n *Node) caughtUp(p *peer) bool {
	return p.ack.Commit >= n.commits.before(n.now-catchUpLag) && n.chain.CommittedBytes(p.ack.Commit) <= catchUpBytes
}

// How far a member outside the chain may be behind and still counts as caught up: what was committed less than catchUpLag ago
// may be on its way, unless it is so much that it takes long on a thin link.
const (
	catchUpLag   = 600 * time.Millisecond
	catchUpBytes = 4 * chain.ChunkSize
)

// commitHistory is what was committed at moments of the last second or so.
type commitHistory struct {
	samples [8]commitSample
	next    int
}

type commitSample struct {
	at    time.Duration
	index int64
}

func (h *commitHistory) add(at time.Duration, index int64) {
	h.samples[h.next%len(h.samples)] = commitSample{at, index}
	h.next++
}

// before is what was committed at a moment, or the oldest that is known.
func (h *commitHistory) before(moment time.Duration) int64 {
	index := int64(0)
	for i := max(0, h.next-len(h.samples)); i < h.next; i++ {
		s := h.samples[i%len(h.samples)]
		if s.at <= moment || index == 0 {
			index = s.index
		}
	}
	return index
}
