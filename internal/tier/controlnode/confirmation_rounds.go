package controlnode

import (
	"slices"
	"time"
)

// confirmationRounds are the confirmation rounds of this node, numbered from 1 in each incarnation.
type confirmationRounds struct {
	number      int64              // of the newest round
	sentAt      [256]time.Duration // of the last rounds: a ring buffer indexed by the number
	requestedAt time.Duration      // when the last round was sent on request, outside a heartbeat; 0 for never
}

// start begins a new round that is sent now, and returns its number.
func (r *confirmationRounds) start(now time.Duration) int64 {
	r.number++
	r.sentAt[r.number%int64(len(r.sentAt))] = now
	return r.number
}

// timeSent returns when a round was sent; ok is false if it was never sent, or is too old to be recorded.
func (r *confirmationRounds) timeSent(number int64) (sent time.Duration, ok bool) {
	if number <= 0 || number > r.number || number <= r.number-int64(len(r.sentAt)) {
		return 0, false
	}
	return r.sentAt[number%int64(len(r.sentAt))], true
}

// confirmedRoundSentAt returns when the newest round that a majority of the voters has confirmed in this epoch was
// sent.
func (n *Node) confirmedRoundSentAt() (sent time.Duration, ok bool) {
	if n.acceptor.View.Majority() == 1 && n.acceptor.View.IsVoter(n.settings.Self.ID) {
		return n.now, true
	}
	return n.readIndex.rounds.timeSent(n.majorityRound())
}

// majorityRound returns the newest round that a majority of the voters has confirmed in this epoch, 0 if there is none.
func (n *Node) majorityRound() int64 {
	var confirmed []int64
	for _, m := range n.acceptor.View.Voters {
		if m.ID == n.settings.Self.ID {
			confirmed = append(confirmed, n.readIndex.rounds.number)
		} else if p := n.peers[m.ID]; p != nil {
			confirmed = append(confirmed, p.confirmedRound)
		}
	}
	majority := n.acceptor.View.Majority()
	if majority > len(confirmed) || len(n.acceptor.View.Voters) == 0 {
		return 0
	}
	slices.Sort(confirmed)
	return confirmed[len(confirmed)-majority]
}

// minRoundInterval is the minimum time between two requested rounds while the first is not confirmed yet.
const minRoundInterval = 20 * time.Millisecond

// startRequestedRound sends a round if one is requested, unless the last requested round was sent less than
// minRoundInterval ago and is not confirmed yet: all requests that arrive in the meantime share the next round.
func (n *Node) startRequestedRound() {
	if n.readIndex.requestedRound <= n.readIndex.rounds.number || n.acceptor.View.Majority() == 1 {
		return
	}
	rounds := &n.readIndex.rounds
	inFlight := n.majorityRound() < rounds.number && rounds.requestedAt > 0 && n.now-rounds.requestedAt < minRoundInterval
	if inFlight {
		return
	}
	n.readIndex.rounds.requestedAt = max(n.now, 1)
	n.sendToAll(Message{Kind: msgConfirm, ConfirmationRound: n.readIndex.rounds.start(n.now)})
}

// handleEcho records a peer's echo of one of this node's rounds.
func (n *Node) handleEcho(p *peer, m Message, e Echo) {
	if e.ID != n.settings.Self.ID || e.Incarnation != n.settings.Incarnation {
		return // the echo is for another node or an earlier incarnation
	}
	if sent, ok := n.readIndex.rounds.timeSent(e.ConfirmationRound); ok {
		p.echoedRoundSentAt = max(p.echoedRoundSentAt, sent)
		p.echoedInView = p.echoedInView || e.ConfirmationRound > n.readIndex.roundAtAdoption
	}
	if m.Promised || m.Epoch != n.acceptor.View.Epoch || e.ConfirmationRound < p.confirmedRound {
		return
	}
	p.confirmedRound = e.ConfirmationRound
	if m.Ack.CommitIsCurrent {
		p.commitReported, p.reportedCommit = true, max(p.reportedCommit, m.Ack.Commit)
	}
}
