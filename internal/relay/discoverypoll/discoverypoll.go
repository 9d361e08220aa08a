// Package discoverypoll decides when a relay asks discovery, and for what. It does no I/O and reads no clock.
//
// There are two questions. A look takes the whole list as the agent on the relay's own machine has it: that is answered
// at once and costs discovery nothing. A watch waits for changes: that is how discovery tells of them soonest, a watch
// that is kept up costs it nothing, but one that is begun costs it work, and one that it turns away as well. Three
// hundred relays that a release starts at one instant, each with a watch, overload a discovery that could serve them all
// in turn, and their further tries keep it overloaded. So in a large fleet each relay begins its watch in its turn, by
// its number, and after a failure waits for as long as all of them need.
//
// What the agent has counts as told, whether or not the relay asks: nothing new may go to an endpoint 250 ms after the
// agent has heard that it drains. All that there is counts as told after 6 s. So turns alone will do for a fleet that has
// had them all by then; in a larger one they are for watches alone. There a relay without a watch looks all the time, and
// between two questions to an agent that answers at all there is never more than Blind. Not every agent answers looks at no
// cost: one that turns them away is asked more and more seldom.
package discoverypoll

import (
	"math/rand/v2"
	"time"
)

const (
	// LargeFleet is the number of relays from which they take turns.
	LargeFleet = 16
	// turnTime is what each relay leaves to discovery for the one before it. 30 ms were just too few, 100 ms enough, for a
	// discovery that 80 relays in step keep down for good.
	turnTime            = 50 * time.Millisecond
	firstBackoff        = 50 * time.Millisecond
	longestBackoff      = time.Second
	longestFleetBackoff = 5 * time.Second

	// fullUpdateTime is the time after which all that discovery has to tell counts as fullUpdateTime.
	fullUpdateTime = 6 * time.Second
	// WatchTimeout is how long a watch waits: a silent agent is noticed soon after, well within the time of told.
	WatchTimeout = 2 * time.Second
	// listTimeout is how long a relay that does not look waits for a whole list, and a watch's answer may be late.
	listTimeout = 500 * time.Millisecond
	// A look is answered within lookFor or not at all, and the next begins pollInterval later.
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 100 * time.Millisecond
	// MaxStaleness is the longest that a relay that looks goes on what an earlier look told: of the 250 ms that a drain allows,
	// without the 50 ms more that sockets are given, it leaves a fifth to the relay's own work.
	MaxStaleness = pollInterval + pollTimeout
)

// Settings of a relay.
type Settings struct {
	Index, FleetSize int
	Seed             uint64
	Version          int64 // of the list that it was started with
	Listed           bool  // that list names hosts
}

// Request is what to ask, and when.
type Request struct {
	FullList bool  // a look; else a watch
	Since    int64 // where Whole is not set
	At       time.Duration
	Timeout  time.Duration // later answers count as none
}

// Poller follows the list. It is not safe for concurrent use.
type Poller struct {
	settings     Settings
	rand         *rand.Rand
	version      int64 // of the list that the relay goes by
	otherHistory bool  // the next list is taken whatever its version says: it may be of another history
	pollAt       time.Duration
	watchAt      time.Duration
	watchBackoff time.Duration // after the next watch that fails, drawn about this
	pollBackoff  time.Duration // after the next look
}

// New begins to follow at a time.
func New(s Settings, now time.Duration) *Poller {
	f := &Poller{settings: s, rand: rand.New(rand.NewPCG(s.Seed, 3)), version: s.Version}
	f.SourceChanged(now)
	if s.FleetSize >= LargeFleet && !f.polls() {
		f.otherHistory = !s.Listed
		f.pollAt, f.watchAt = now+f.turnOffset(), now+f.turnOffset()
	}
	return f
}

// polls tells whether turns alone would come too late.
func (f *Poller) polls() bool { return time.Duration(f.settings.FleetSize)*turnTime > fullUpdateTime }

// turnOffset is when this relay's turn comes.
func (f *Poller) turnOffset() time.Duration { return time.Duration(f.settings.Index) * turnTime }

// SourceChanged begins anew with another discovery, which may have another history.
func (f *Poller) SourceChanged(now time.Duration) {
	f.otherHistory, f.watchBackoff, f.pollBackoff = true, f.initialBackoff(), pollInterval
	f.pollAt, f.watchAt = now, now
	if f.polls() { // all relays are moved within moments, or started
		f.watchAt += f.turnOffset()
	}
}

func (f *Poller) initialBackoff() time.Duration {
	if f.settings.FleetSize < LargeFleet {
		return firstBackoff
	}
	return f.maxBackoff() / 4
}

// maxBackoff pause: then all relays together begin watches as often as each in its turn.
func (f *Poller) maxBackoff() time.Duration {
	if f.settings.FleetSize < LargeFleet {
		return longestBackoff
	}
	all := time.Duration(f.settings.FleetSize) * turnTime
	if f.otherHistory && !f.polls() { // a whole list costs it several times as much, and there is nothing to keep to
		return min(4*all, 4*longestFleetBackoff)
	}
	return min(all, longestFleetBackoff)
}

// Next is the next question. A watch that goes on is due at once, and so before any look; a first look goes before any
// watch, which then has the least to tell.
func (f *Poller) Next() Request {
	switch {
	case !f.otherHistory && (!f.polls() || f.watchAt <= f.pollAt):
		return Request{Since: f.version, At: f.watchAt, Timeout: WatchTimeout + listTimeout}
	case f.polls():
		return Request{FullList: true, At: f.pollAt, Timeout: pollTimeout}
	}
	return Request{FullList: true, At: f.pollAt, Timeout: listTimeout}
}

// Answered takes in an answer to the last question with a version, and tells whether the relay is to go by it. Changes
// that run backwards are of another history and cannot be built on; the list that it has already is no news.
func (f *Poller) Answered(now time.Duration, q Request, version int64, whole bool) (counts bool) {
	f.pollAt, f.pollBackoff = now+pollInterval, pollInterval
	if !q.FullList {
		f.watchAt, f.watchBackoff = now, f.initialBackoff()
		if !whole && version < f.version {
			f.otherHistory, f.pollAt = true, now
			return false
		}
	}
	counts = f.otherHistory || !q.FullList || version != f.version
	if whole && f.otherHistory {
		f.otherHistory, f.watchBackoff = false, f.initialBackoff()
		if !f.polls() {
			f.watchAt = now
		}
	}
	f.version = version
	return counts
}

// Failed notes that a question was not answered, or turned away: answered, but not with a list. A watch pauses for a time
// that is drawn by chance and doubles, as one that is begun anew costs discovery as much as the first; until then the relay
// looks. Looks go on at their pace while the agent is silent, and more and more seldom while it turns them away.
func (f *Poller) Failed(now time.Duration, q Request, away bool) {
	if q.FullList && f.polls() {
		if f.pollAt = now + f.pollBackoff; away {
			f.pollBackoff = min(2*f.pollBackoff, f.maxBackoff())
		}
		return
	}
	if !away && f.settings.FleetSize < LargeFleet {
		f.watchBackoff = f.initialBackoff() // silence took its time already, and what the agent gets as it returns counts at once
	}
	at := now + f.watchBackoff/2 + time.Duration(f.rand.Float64()*float64(f.watchBackoff))
	f.watchBackoff = min(2*f.watchBackoff, f.maxBackoff())
	if q.FullList {
		f.pollAt = at
		return
	}
	f.watchAt = at
	f.pollAt = now + f.pollBackoff - pollInterval // at once, unless looks are turned away
}
