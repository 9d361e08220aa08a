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

// rounds are this node's rounds of confirmation, in this life.
type rounds struct {
	number   int64 // of the newest
	sentAt   [256]time.Duration
	demanded time.Duration // when one was sent because somebody waited
}

func (r *rounds) begin(now time.Duration) int64 {
	r.number++
	r.sentAt[r.number%int64(len(r.sentAt))] = now
	return r.number
}

// at tells when a round was sent; ok is false where it is too old to be known, or was never sent.
func (r *rounds) at(number int64) (sent time.Duration, ok bool) {
	if number <= 0 || number > r.number || number <= r.number-int64(len(r.sentAt)) {
		return 0, false
	}
	return r.sentAt[number%int64(len(r.sentAt))], true
}

// waiter waits for a round that begins after it.
type waiter struct {
	requestID int64
	tail      bool // it reads at the tail; otherwise it was asked of the head
	round     int64
	epoch     int64
	index     int64 // has to be committed
	began     time.Duration
}

// Confirm ends in a Done with the request ID: Committed once a majority of the voters has confirmed, in a round begun after this
// call, that this head's epoch is the newest, and the index is committed. What the head believes up to that index is
// then no older than anything that was acknowledged before the call.
func (n *Node) Confirm(now time.Duration, requestID, index int64) Output {
	return n.step(now, func() {
		switch {
		case !n.Leads():
			n.done(Done{RequestID: requestID, Kind: Elsewhere, To: n.HeadAddr()})
		default:
			n.wait(waiter{requestID: requestID, index: index})
		}
	})
}

// Read ends in a Done with the request ID whose Index is committed and not older than anything acknowledged before the call.
func (n *Node) Read(now time.Duration, requestID int64) Output {
	return n.step(now, func() {
		if n.vote.View.Tail() != n.set.Self.ID || !n.chain.IsActive() || n.vote.HasPromised() {
			n.done(Done{RequestID: requestID, Kind: Elsewhere, To: n.addr(n.vote.View.Tail())})
			return
		}
		n.wait(waiter{requestID: requestID, tail: true, index: n.chain.State().Commit})
	})
}

// Refresh asks for a round now, for whoever waits for ConfirmedSince.
func (n *Node) Refresh(now time.Duration) Output {
	return n.step(now, func() {
		if n.chain.IsActive() && !n.vote.HasPromised() {
			n.roundWanted = max(n.roundWanted, n.rounds.number+1)
		}
	})
}

// ConfirmedSince tells whether what this node has committed is no older than anything that was acknowledged before a
// moment: in a round sent at it or later a majority has confirmed the epoch, the tail has told what it has committed,
// and this node has that.
func (n *Node) ConfirmedSince(moment time.Duration) bool {
	if n.vote.HasPromised() || !n.chain.CommitIsCurrent() {
		return false
	}
	if sent, ok := n.confirmedAt(); !ok || sent < moment {
		return false
	}
	tail := n.vote.View.Tail()
	if tail == n.set.Self.ID {
		return true
	}
	p := n.peers[tail]
	if p == nil || !p.confirmedKnown || n.chain.State().Commit < p.confirmedCommit {
		return false
	}
	sent, ok := n.rounds.at(p.confirmed)
	return ok && sent >= moment
}

// confirmedAt is when the newest round was sent that a majority of the voters has confirmed in this epoch.
func (n *Node) confirmedAt() (sent time.Duration, ok bool) {
	if n.vote.View.Majority() == 1 && n.vote.View.IsVoter(n.set.Self.ID) {
		return n.now, true
	}
	return n.rounds.at(n.confirmedRound())
}

// confirmedRound is the newest round that a majority of the voters has confirmed in this epoch, 0 for none.
func (n *Node) confirmedRound() int64 {
	var all []int64
	for _, m := range n.vote.View.Voters {
		if m.ID == n.set.Self.ID {
			all = append(all, n.rounds.number)
		} else if p := n.peers[m.ID]; p != nil {
			all = append(all, p.confirmed)
		}
	}
	most := n.vote.View.Majority()
	if most > len(all) || len(n.vote.View.Voters) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)-most]
}

func (n *Node) wait(w waiter) {
	w.round, w.epoch, w.began = n.rounds.number+1, n.vote.View.Epoch, n.now
	n.waiters = append(n.waiters, w)
	n.roundWanted = max(n.roundWanted, w.round)
}

// demand sends a round where somebody waits for one, unless one was sent just now: all that wait share the next.
func (n *Node) demand() {
	if n.roundWanted <= n.rounds.number || n.vote.View.Majority() == 1 {
		return
	}
	underWay := n.confirmedRound() < n.rounds.number && n.rounds.demanded > 0 && n.now-n.rounds.demanded < demandEvery
	if underWay {
		return
	}
	n.rounds.demanded = max(n.now, 1)
	n.sendToAll(Message{Kind: confirm, Round: n.rounds.begin(n.now)})
}

// demandEvery is how long a round that somebody waits for keeps the next from being sent. All that come meanwhile share it.
const demandEvery = 20 * time.Millisecond

// settleWaiters ends those whose round was confirmed, and those for which it can not be any more.
func (n *Node) settleWaiters() {
	if len(n.waiters) == 0 {
		return
	}
	round := n.confirmedRound()
	alone := n.vote.View.Majority() == 1
	commit := n.chain.State().Commit
	n.waiters = slices.DeleteFunc(n.waiters, func(w waiter) bool {
		role := n.vote.View.Head()
		if w.tail {
			role = n.vote.View.Tail()
		}
		switch {
		case w.epoch != n.vote.View.Epoch || n.vote.HasPromised() || role != n.set.Self.ID || n.now-w.began > 2*n.set.Timings.Suspect:
			n.done(Done{RequestID: w.requestID, Kind: Unclear})
		case (round >= w.round || alone) && w.index <= commit:
			n.done(Done{RequestID: w.requestID, Kind: Committed, Index: w.index})
		default:
			return false
		}
		return true
	})
}

// takeConfirmed counts what a voter echoes of this node's rounds.
func (n *Node) takeConfirmed(p *peer, m Message, e Echo) {
	if e.ID != n.set.Self.ID || e.Life != n.set.Life {
		return // said to an earlier life
	}
	if sent, ok := n.rounds.at(e.Round); ok {
		p.hearsMe = max(p.hearsMe, sent)
		p.answered = p.answered || e.Round > n.adoptedRound
	}
	if m.Sealed || m.Epoch != n.vote.View.Epoch || e.Round < p.confirmed {
		return
	}
	p.confirmed = e.Round
	if m.Ack.CommitIsCurrent {
		p.confirmedKnown, p.confirmedCommit = true, max(p.confirmedCommit, m.Ack.Commit)
	}
}
