// Package discoverypoll decides when a relay requests the endpoint list of discovery, and how. It does no I/O
// and reads no clock.
//
// There are two kinds of requests. A poll requests the full list as the agent on the relay's own machine has it:
// it is answered at once and costs discovery nothing. A watch waits for changes: it transfers them soonest. A
// watch that is kept up costs discovery nothing, but one that is begun costs it work, and a rejected one as
// well. Three hundred relays that a release starts at one instant, each with a watch, overload a discovery that
// could serve them all one after the other, and their retries keep it overloaded. So in a large fleet each relay
// begins its watch in its turn, by its number, and after a failure backs off for as long as all of them need.
//
// What the agent has counts as known to the relay, whether or not it requests it: no new call may go to an
// endpoint 250 ms after the agent has received that it drains. Everything that discovery has counts as known
// after 6 s. So turns alone are enough for a fleet whose turns are over by then; in a larger one they are for
// watches alone. There a relay without a watch polls all the time, and the time between two requests to an agent
// that answers at all never exceeds MaxStaleness. Not every agent answers polls at no cost: one that rejects
// them is polled more and more seldom.
package discoverypoll

import (
	"math/rand/v2"
	"time"
)

const (
	// LargeFleet is the number of relays from which they begin watches in turn.
	LargeFleet = 16
	// turnTime is the time between the turns of two relays. With 80 relays 30 ms were slightly too short and 100
	// ms enough; relays in step keep an overloaded discovery down for good.
	turnTime            = 50 * time.Millisecond
	firstBackoff        = 50 * time.Millisecond
	longestBackoff      = time.Second
	longestFleetBackoff = 5 * time.Second // in a large fleet

	// fullUpdateTime is the time after which everything that discovery knows counts as known to the relay.
	fullUpdateTime = 6 * time.Second
	// WatchTimeout is how long a watch waits. An unresponsive agent is noticed soon after, well within
	// fullUpdateTime.
	WatchTimeout = 2 * time.Second
	// listTimeout is how long a relay that does not poll waits for a full list, and by how much a watch's answer
	// may be late.
	listTimeout = 500 * time.Millisecond
	// A poll is answered within pollTimeout or has failed, and the next begins pollInterval later.
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 100 * time.Millisecond
	// MaxStaleness is the longest that a polling relay acts on the result of an earlier poll. Of the 250 ms that
	// a drain allows, less the 50 ms more that sockets are given, it leaves a fifth to the relay's own work.
	MaxStaleness = pollInterval + pollTimeout
)

// Settings of a relay's poller.
type Settings struct {
	Index, FleetSize int    // number of this relay, from 0, and the number of relays
	Seed             uint64 // of the backoffs
	Version          int64  // of the list with which it was started
	Listed           bool   // that list names hosts
}

// Request is what to request of discovery, and when.
type Request struct {
	FullList bool          // a poll of the full list; else a watch
	Since    int64         // version from which a watch wants changes
	At       time.Duration // when to send it
	Timeout  time.Duration // later answers count as none
}

// Poller decides when a relay requests the list. It is not safe for concurrent use.
type Poller struct {
	settings     Settings
	rand         *rand.Rand
	version      int64 // of the list that the relay uses
	otherHistory bool  // the next full list is taken whatever its version
	pollAt       time.Duration
	watchAt      time.Duration
	watchBackoff time.Duration // mean delay after the next watch that fails
	pollBackoff  time.Duration // delay after the next poll
}

// New returns a poller that starts now.
func New(s Settings, now time.Duration) *Poller {
	p := &Poller{settings: s, rand: rand.New(rand.NewPCG(s.Seed, 3)), version: s.Version}
	p.SourceChanged(now)
	if s.FleetSize >= LargeFleet && !p.polls() {
		p.otherHistory = !s.Listed
		p.pollAt, p.watchAt = now+p.turnOffset(), now+p.turnOffset()
	}
	return p
}

// polls reports whether turns alone would take longer than fullUpdateTime.
func (p *Poller) polls() bool { return time.Duration(p.settings.FleetSize)*turnTime > fullUpdateTime }

// turnOffset returns the time of this relay's turn.
func (p *Poller) turnOffset() time.Duration { return time.Duration(p.settings.Index) * turnTime }

// SourceChanged restarts with another discovery, whose versions may be of another history.
func (p *Poller) SourceChanged(now time.Duration) {
	p.otherHistory, p.watchBackoff, p.pollBackoff = true, p.initialBackoff(), pollInterval
	p.pollAt, p.watchAt = now, now
	if p.polls() { // all relays change or start at about the same time
		p.watchAt += p.turnOffset()
	}
}

// initialBackoff returns the backoff after the first failure of a watch.
func (p *Poller) initialBackoff() time.Duration {
	if p.settings.FleetSize < LargeFleet {
		return firstBackoff
	}
	return p.maxBackoff() / 4
}

// maxBackoff returns the longest backoff: with it, all relays together begin watches as often as each in its turn.
func (p *Poller) maxBackoff() time.Duration {
	if p.settings.FleetSize < LargeFleet {
		return longestBackoff
	}
	all := time.Duration(p.settings.FleetSize) * turnTime
	if p.otherHistory && !p.polls() { // a full list costs it several times as much, and there is no deadline
		return min(4*all, 4*longestFleetBackoff)
	}
	return min(all, longestFleetBackoff)
}

// Next returns the next request. A watch to continue is due at once, and so before any poll; a first poll
// precedes any watch, which then has least to transfer.
func (p *Poller) Next() Request {
	switch {
	case !p.otherHistory && (!p.polls() || p.watchAt <= p.pollAt):
		return Request{Since: p.version, At: p.watchAt, Timeout: WatchTimeout + listTimeout}
	case p.polls():
		return Request{FullList: true, At: p.pollAt, Timeout: pollTimeout}
	}
	return Request{FullList: true, At: p.pollAt, Timeout: listTimeout}
}

// Answered records the answer to the last request with a version, and reports whether the relay is to use it.
// Changes whose versions run backwards are of another history and cannot be applied; a list that the relay has
// already is ignored.
func (p *Poller) Answered(now time.Duration, r Request, version int64, full bool) (counts bool) {
	p.pollAt, p.pollBackoff = now+pollInterval, pollInterval
	if !r.FullList {
		p.watchAt, p.watchBackoff = now, p.initialBackoff()
		if !full && version < p.version {
			p.otherHistory, p.pollAt = true, now
			return false
		}
	}
	counts = p.otherHistory || !r.FullList || version != p.version
	if full && p.otherHistory {
		p.otherHistory, p.watchBackoff = false, p.initialBackoff()
		if !p.polls() {
			p.watchAt = now
		}
	}
	p.version = version
	return counts
}

// Failed records that a request was not answered, or was rejected: answered without a list. A watch is delayed
// by a randomized exponential backoff, as one that is begun costs discovery as much as the first; until then the
// relay polls. Polls go on at their pace while the agent does not answer, and more and more seldom while it
// rejects them.
func (p *Poller) Failed(now time.Duration, r Request, rejected bool) {
	if r.FullList && p.polls() {
		if p.pollAt = now + p.pollBackoff; rejected {
			p.pollBackoff = min(2*p.pollBackoff, p.maxBackoff())
		}
		return
	}
	if !rejected && p.settings.FleetSize < LargeFleet {
		// The time-out was a delay already, and what the agent receives when it returns counts at once.
		p.watchBackoff = p.initialBackoff()
	}
	at := now + p.watchBackoff/2 + time.Duration(p.rand.Float64()*float64(p.watchBackoff))
	p.watchBackoff = min(2*p.watchBackoff, p.maxBackoff())
	if r.FullList {
		p.pollAt = at
		return
	}
	p.watchAt = at
	p.pollAt = now + p.pollBackoff - pollInterval // at once, unless polls are rejected
}
