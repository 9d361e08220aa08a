package controlnode

import (
	"slices"
	"time"
)

// confirmationRounds are the confirmation rounds of this node, numbered from 1 in each incarnation.
type confirmationRounds struct {
	number      int64 // of the newest
	sentAt      [256]time.Duration
	requestedAt time.Duration // when the last one was sent because a request waited; 0 for never
}

// start returns the number of a new round that is sent now.
func (r *confirmationRounds) start(now time.Duration) int64 {
	r.number++
	r.sentAt[r.number%int64(len(r.sentAt))] = now
	return r.number
}

// timeSent returns when a round was sent; ok is false where it is too old to be known, or was never sent.
func (r *confirmationRounds) timeSent(number int64) (sent time.Duration, ok bool) {
	if number <= 0 || number > r.number || number <= r.number-int64(len(r.sentAt)) {
		return 0, false
	}
	return r.sentAt[number%int64(len(r.sentAt))], true
}

// confirmedRoundSentAt returns when the newest round was sent that a majority of the voters has confirmed in
// this epoch.
func (n *Node) confirmedRoundSentAt() (sent time.Duration, ok bool) {
	if n.acceptor.View.Majority() == 1 && n.acceptor.View.IsVoter(n.settings.Self.ID) {
		return n.now, true
	}
	return n.readIndex.rounds.timeSent(n.majorityRound())
}

// majorityRound returns the newest round that a majority of the voters has confirmed in this epoch, 0 for
// none.
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

// minRoundInterval is how long a requested round that is not confirmed yet keeps the next from being sent.
const minRoundInterval = 20 * time.Millisecond

// startRequestedRound sends a round where one is requested, unless one was sent within minRoundInterval and
// is not confirmed yet: all requests of that time share the next.
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

// handleEcho counts a peer's echo of one of this node's rounds.
func (n *Node) handleEcho(p *peer, m Message, e Echo) {
	if e.ID != n.settings.Self.ID || e.Incarnation != n.settings.Incarnation {
		return // of an earlier incarnation
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
