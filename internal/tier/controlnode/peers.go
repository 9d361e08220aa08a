package controlnode

import (
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

// peer is what a node knows about another member. Everything in it was reported by one incarnation of the peer: a message
// from a newer incarnation resets it. Fields about confirmation are reset with each adopted view.
type peer struct {
	member            view.Member
	incarnation       int64         // the newest that was heard from; messages from older ones are dropped
	lastHeard         time.Duration // when its last message arrived, or when the peer became known
	heardFrom         bool          // a message from this incarnation has arrived
	echoedRoundSentAt time.Duration // when the newest of this node's rounds that it echoed was sent, or when it became known
	echoedInView      bool          // it has echoed a round that this node sent after adopting the current view
	leaving           bool          // it has announced that it is about to stop
	epoch             int64         // of its view, with its last heartbeat or confirmation
	chainAck          chain.Ack     // the last position in the chain that it reported
	heardPeers        []string      // the sorted IDs of the members that it has heard from recently
	hostListTerm      int64         // of its host list, with its last heartbeat
	hostListNumber    int64
	latestRound       int64 // the newest of its confirmation rounds that has arrived; this node echoes it
	confirmedRound    int64 // the newest of this node's rounds that it has confirmed in this epoch

	restarts [2]time.Duration // when the last two restarts were noticed; 0 for none

	commitReported bool  // it has reported a current commit index in this epoch
	reportedCommit int64 // valid if commitReported
}

// ensurePeer returns the peer for a member, and adds it if it is unknown.
func (n *Node) ensurePeer(m view.Member) *peer {
	p := n.peers[m.ID]
	if p == nil {
		p = &peer{member: m, lastHeard: n.now, echoedRoundSentAt: n.now}
		n.peers[m.ID] = p
	}
	return p
}

// recordMessage records that a message from a peer has arrived, and returns the peer. It returns nil if the message is
// from an earlier incarnation.
func (n *Node) recordMessage(m Message) *peer {
	p := n.ensurePeer(m.From)
	if m.Incarnation < p.incarnation {
		return nil
	}
	if m.Incarnation > p.incarnation {
		restarts := p.restarts
		if p.heardFrom {
			restarts = [2]time.Duration{restarts[1], n.now}
		}
		*p = peer{member: m.From, incarnation: m.Incarnation, echoedRoundSentAt: n.now, epoch: p.epoch, leaving: false, restarts: restarts}
	}
	p.member, p.lastHeard, p.heardFrom = m.From, n.now, true
	return p
}

// crashLoopWindow is the longest time between two restarts that make a peer unstable, and how long it then counts as
// unstable after the second one.
const crashLoopWindow = 3 * time.Second

// isUnstable reports whether a peer is in a crash loop. Each of its crashes blocks the chain until the peer is suspected,
// and a peer that restarts before that is never suspected.
func (n *Node) isUnstable(p *peer) bool {
	last, before := p.restarts[1], p.restarts[0]
	return before > 0 && last-before < crashLoopWindow && n.now-last < crashLoopWindow
}

// recentlyHeard reports whether a message from a peer has arrived within three heartbeat intervals.
func (n *Node) recentlyHeard(p *peer) bool {
	return p.heardFrom && n.now-p.lastHeard < 3*n.settings.Timings.HeartbeatInterval
}

// hasEchoedRecently reports whether a peer has recently echoed a round of this node, so messages from this node reach it.
func (n *Node) hasEchoedRecently(p *peer) bool {
	return n.now-p.echoedRoundSentAt <= 4*n.settings.Timings.HeartbeatInterval
}

// addr returns the address of a member: the one that it was last heard from, or else the one in the view, or empty if it
// is unknown.
func (n *Node) addr(id string) string {
	if p := n.peers[id]; p != nil && p.heardFrom {
		return p.member.Addr
	}
	if m, ok := n.acceptor.View.Member(id); ok {
		return m.Addr
	}
	return ""
}
