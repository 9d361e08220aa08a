package controlnode

import (
	"slices"
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

// conditions are what this node would have the next view take up.
func (n *Node) conditions() view.Conditions {
	c := view.Conditions{Alive: map[string]bool{n.settings.Self.ID: true}, CaughtUp: map[string]bool{}, Failed: map[string]bool{},
		Suspected: map[string]bool{}, Leaving: map[string]bool{}, FaultTolerance: n.settings.FaultTolerance}
	if n.leaving {
		c.Leaving[n.settings.Self.ID] = true
	}
	ids := make([]string, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	c.CaughtUp[n.settings.Self.ID] = true
	heard := n.heardByMajority()
	for _, id := range ids {
		if id != n.settings.Self.ID {
			n.addPeerConditions(&c, id, heard)
		}
	}
	return c
}

// addPeerConditions adds one peer to the conditions.
func (n *Node) addPeerConditions(c *view.Conditions, id string, heardByMajority bool) {
	p := n.peers[id]
	silence := n.now - p.lastHeard
	voter := n.acceptor.View.IsVoter(id)
	deaf := heardByMajority && !n.hearsUs(p) // cut off in one way
	alive := p.heardFrom && silence < n.settings.Timings.SuspectTimeout && !deaf
	if alive && (voter || n.isApplicant(p)) {
		c.Alive[id] = true
		c.CaughtUp[id] = n.caughtUp(p) && n.heardByChain(id) && p.echoedInView
		if p.chainAck.Commit > n.chain.State().Commit {
			c.CaughtUp[n.settings.Self.ID] = false
		}
		c.Leaving[id] = p.leaving
		if !voter && !p.leaving {
			c.Applicants = append(c.Applicants, p.member)
		}
	}
	if !voter {
		return
	}
	c.Failed[id] = silence > n.settings.Timings.FailureTimeout || p.leaving && silence > n.settings.Timings.SuspectTimeout
	c.Suspected[id] = !alive && p.heardFrom && !c.Failed[id]
}

// heardByMajority tells whether a majority of the voters hears this node: if not, the fault is its own.
func (n *Node) heardByMajority() bool {
	by := 0
	for _, m := range n.acceptor.View.Voters {
		if p := n.peers[m.ID]; m.ID == n.settings.Self.ID || p != nil && n.hearsUs(p) {
			by++
		}
	}
	return by >= n.acceptor.View.Majority()
}

// hearsUs tells whether a peer has heard this node lately.
func (n *Node) hearsUs(p *peer) bool {
	return n.now-p.lastHeardUs <= 4*n.settings.Timings.HeartbeatInterval
}

// isApplicant tells whether a member without a vote may get one: it has answered this node in its present life, so that a
// late message of a machine that is gone is none, and no other identity answers from its address.
func (n *Node) isApplicant(p *peer) bool {
	if !p.echoedInView || !n.hearsUs(p) {
		return false
	}
	for id, other := range n.peers {
		if id != p.member.ID && other.member.Addr == p.member.Addr && other.heardFrom && other.lastHeard > p.lastHeard {
			return false
		}
	}
	return true
}

// heardByChain tells whether all members of the chain that this node hears, hear a member. One that some do not hear would
// be taken out again by them as soon as others have brought it in.
func (n *Node) heardByChain(id string) bool {
	for _, l := range n.acceptor.View.Chain {
		p := n.peers[l.ID]
		if l.ID == id || l.ID == n.settings.Self.ID || p == nil || !n.recentlyHeard(p) {
			continue
		}
		if _, hears := slices.BinarySearch(p.heardPeers, id); !hears {
			return false
		}
	}
	return true
}

// caughtUp tells whether a member outside the chain lacks so little that the chain need not wait for it.
func (n *Node) caughtUp(p *peer) bool {
	return p.chainAck.Commit >= n.recentCommits.at(n.now-catchUpLag) && n.chain.CommittedBytes(p.chainAck.Commit) <= catchUpBytes
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

func (h *commitHistory) record(at time.Duration, index int64) {
	h.samples[h.next%len(h.samples)] = commitSample{at, index}
	h.next++
}

// at is what was committed at a moment, or the oldest that is known.
func (h *commitHistory) at(moment time.Duration) int64 {
	index := int64(0)
	for i := max(0, h.next-len(h.samples)); i < h.next; i++ {
		s := h.samples[i%len(h.samples)]
		if s.at <= moment || index == 0 {
			index = s.index
		}
	}
	return index
}
