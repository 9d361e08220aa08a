package controlnode

import (
	"slices"
	"time"
)

// Nothing that a node answers may rest on a view that another has replaced: a node that was cut off or stood still does
// not know. So it asks. A round of confirmation is a number sent to all voters, with each heartbeat and when somebody waits;
// a voter echoes the newest number that has come, as long as it is in the same epoch and has not promised to the next. Once
// a majority has echoed a round, no later view had been decided when that round was sent. No clock of another node counts,
// and none of this node's but for telling which of its own events came first.

// confirmationRounds are this node's confirmationRounds of confirmation, in this life.
type confirmationRounds struct {
	number      int64 // of the newest
	sentAt      [256]time.Duration
	requestedAt time.Duration // when one was sent because somebody waited
}

func (r *confirmationRounds) start(now time.Duration) int64 {
	r.number++
	r.sentAt[r.number%int64(len(r.sentAt))] = now
	return r.number
}

// timeSent tells when a round was sent; ok is false where it is too old to be known, or was never sent.
func (r *confirmationRounds) timeSent(number int64) (sent time.Duration, ok bool) {
	if number <= 0 || number > r.number || number <= r.number-int64(len(r.sentAt)) {
		return 0, false
	}
	return r.sentAt[number%int64(len(r.sentAt))], true
}

// waiter waits for a round that begins after it.
type waiter struct {
	requestID int64
	atTail    bool // it reads at the tail; otherwise it was asked of the head
	round     int64
	epoch     int64
	index     int64 // has to be committed
	startedAt time.Duration
}

// Confirm ends in a Done with the request ID: Committed once a majority of the voters has confirmed, in a round begun after this
// call, that this head's epoch is the newest, and the index is committed. What the head believes up to that index is
// then no older than anything that was acknowledged before the call.
func (n *Node) Confirm(now time.Duration, requestID, index int64) Ready {
	return n.step(now, func() {
		switch {
		case !n.IsActiveHead():
			n.complete(Completion{RequestID: requestID, Outcome: NotHere, RedirectTo: n.HeadAddr()})
		default:
			n.addWaiter(waiter{requestID: requestID, index: index})
		}
	})
}

// ReadIndex ends in a Done with the request ID whose Index is committed and not older than anything acknowledged before the call.
func (n *Node) ReadIndex(now time.Duration, requestID int64) Ready {
	return n.step(now, func() {
		if n.acceptor.View.Tail() != n.settings.Self.ID || !n.chain.IsActive() || n.acceptor.HasPromised() {
			n.complete(Completion{RequestID: requestID, Outcome: NotHere, RedirectTo: n.addr(n.acceptor.View.Tail())})
			return
		}
		n.addWaiter(waiter{requestID: requestID, atTail: true, index: n.chain.State().Commit})
	})
}

// RequestConfirmation asks for a round now, for whoever waits for ConfirmedSince.
func (n *Node) RequestConfirmation(now time.Duration) Ready {
	return n.step(now, func() {
		if n.chain.IsActive() && !n.acceptor.HasPromised() {
			n.readIndex.requestedRound = max(n.readIndex.requestedRound, n.readIndex.rounds.number+1)
		}
	})
}

// ConfirmedSince tells whether what this node has committed is no older than anything that was acknowledged before a
// moment: in a round sent at it or later a majority has confirmed the epoch, the tail has told what it has committed,
// and this node has that.
func (n *Node) ConfirmedSince(moment time.Duration) bool {
	if n.acceptor.HasPromised() || !n.chain.CommitIsCurrent() {
		return false
	}
	if sent, ok := n.confirmedRoundSentAt(); !ok || sent < moment {
		return false
	}
	tail := n.acceptor.View.Tail()
	if tail == n.settings.Self.ID {
		return true
	}
	p := n.peers[tail]
	if p == nil || !p.commitReported || n.chain.State().Commit < p.reportedCommit {
		return false
	}
	sent, ok := n.readIndex.rounds.timeSent(p.confirmedRound)
	return ok && sent >= moment
}

// confirmedRoundSentAt is when the newest round was sent that a majority of the voters has confirmed in this epoch.
func (n *Node) confirmedRoundSentAt() (sent time.Duration, ok bool) {
	if n.acceptor.View.Majority() == 1 && n.acceptor.View.IsVoter(n.settings.Self.ID) {
		return n.now, true
	}
	return n.readIndex.rounds.timeSent(n.majorityRound())
}

// majorityRound is the newest round that a majority of the voters has confirmed in this epoch, 0 for none.
func (n *Node) majorityRound() int64 {
	var all []int64
	for _, m := range n.acceptor.View.Voters {
		if m.ID == n.settings.Self.ID {
			all = append(all, n.readIndex.rounds.number)
		} else if p := n.peers[m.ID]; p != nil {
			all = append(all, p.confirmedRound)
		}
	}
	most := n.acceptor.View.Majority()
	if most > len(all) || len(n.acceptor.View.Voters) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)-most]
}

func (n *Node) addWaiter(w waiter) {
	w.round, w.epoch, w.startedAt = n.readIndex.rounds.number+1, n.acceptor.View.Epoch, n.now
	n.readIndex.waiters = append(n.readIndex.waiters, w)
	n.readIndex.requestedRound = max(n.readIndex.requestedRound, w.round)
}

// startRequestedRound sends a round where somebody waits for one, unless one was sent just now: all that wait share the next.
func (n *Node) startRequestedRound() {
	if n.readIndex.requestedRound <= n.readIndex.rounds.number || n.acceptor.View.Majority() == 1 {
		return
	}
	underWay := n.majorityRound() < n.readIndex.rounds.number && n.readIndex.rounds.requestedAt > 0 && n.now-n.readIndex.rounds.requestedAt < minRoundInterval
	if underWay {
		return
	}
	n.readIndex.rounds.requestedAt = max(n.now, 1)
	n.sendToAll(Message{Kind: msgConfirm, ConfirmationRound: n.readIndex.rounds.start(n.now)})
}

// minRoundInterval is how long a round that somebody waits for keeps the next from being sent. All that come meanwhile share it.
const minRoundInterval = 20 * time.Millisecond

// completeWaiters ends those whose round was confirmed, and those for which it can not be any more.
func (n *Node) completeWaiters() {
	if len(n.readIndex.waiters) == 0 {
		return
	}
	round := n.majorityRound()
	alone := n.acceptor.View.Majority() == 1
	commit := n.chain.State().Commit
	n.readIndex.waiters = slices.DeleteFunc(n.readIndex.waiters, func(w waiter) bool {
		role := n.acceptor.View.Head()
		if w.atTail {
			role = n.acceptor.View.Tail()
		}
		switch {
		case w.epoch != n.acceptor.View.Epoch || n.acceptor.HasPromised() || role != n.settings.Self.ID || n.now-w.startedAt > 2*n.settings.Timings.SuspectTimeout:
			n.complete(Completion{RequestID: w.requestID, Outcome: OutcomeUnknown})
		case (round >= w.round || alone) && w.index <= commit:
			n.complete(Completion{RequestID: w.requestID, Outcome: Committed, Index: w.index})
		default:
			return false
		}
		return true
	})
}

// handleEcho counts what a voter echoes of this node's rounds.
func (n *Node) handleEcho(p *peer, m Message, e Echo) {
	if e.ID != n.settings.Self.ID || e.Incarnation != n.settings.Incarnation {
		return // said to an earlier life
	}
	if sent, ok := n.readIndex.rounds.timeSent(e.ConfirmationRound); ok {
		p.lastHeardUs = max(p.lastHeardUs, sent)
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
