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
	// Large is the number of relays from which they take turns.
	Large = 16
	// turn is what each relay leaves to discovery for the one before it. 30 ms were just too few, 100 ms enough, for a
	// discovery that 80 relays in step keep down for good.
	turn         = 50 * time.Millisecond
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	largeLongest = 5 * time.Second

	// told is the time after which all that discovery has to tell counts as told.
	told = 6 * time.Second
	// WatchFor is how long a watch waits: a silent agent is noticed soon after, well within the time of told.
	WatchFor = 2 * time.Second
	// listFor is how long a relay that does not look waits for a whole list, and a watch's answer may be late.
	listFor = 500 * time.Millisecond
	// A look is answered within lookFor or not at all, and the next begins lookEvery later.
	lookEvery = 100 * time.Millisecond
	lookFor   = 100 * time.Millisecond
	// Blind is the longest that a relay that looks goes on what an earlier look told: of the 250 ms that a drain allows,
	// without the 50 ms more that sockets are given, it leaves a fifth to the relay's own work.
	Blind = lookEvery + lookFor
)

// Settings of a relay.
type Settings struct {
	Index, Fleet int
	Seed         uint64
	Version      int64 // of the list that it was started with
	Listed       bool  // that list names hosts
}

// Question is what to ask, and when.
type Question struct {
	Whole  bool  // a look; else a watch
	Since  int64 // where Whole is not set
	At     time.Duration
	Within time.Duration // later answers count as none
}

// Follower follows the list. It is not safe for concurrent use.
type Follower struct {
	set     Settings
	rand    *rand.Rand
	version int64 // of the list that the relay goes by
	strange bool  // the next list is taken whatever its version says: it may be of another history
	lookAt  time.Duration
	watchAt time.Duration
	pause   time.Duration // after the next watch that fails, drawn about this
	rest    time.Duration // after the next look
}

// New begins to follow at a time.
func New(s Settings, now time.Duration) *Follower {
	f := &Follower{set: s, rand: rand.New(rand.NewPCG(s.Seed, 3)), version: s.Version}
	f.Moved(now)
	if s.Fleet >= Large && !f.looks() {
		f.strange = !s.Listed
		f.lookAt, f.watchAt = now+f.mine(), now+f.mine()
	}
	return f
}

// looks tells whether turns alone would come too late.
func (f *Follower) looks() bool { return time.Duration(f.set.Fleet)*turn > told }

// mine is when this relay's turn comes.
func (f *Follower) mine() time.Duration { return time.Duration(f.set.Index) * turn }

// Moved begins anew with another discovery, which may have another history.
func (f *Follower) Moved(now time.Duration) {
	f.strange, f.pause, f.rest = true, f.first(), lookEvery
	f.lookAt, f.watchAt = now, now
	if f.looks() { // all relays are moved within moments, or started
		f.watchAt += f.mine()
	}
}

func (f *Follower) first() time.Duration {
	if f.set.Fleet < Large {
		return firstPause
	}
	return f.longest() / 4
}

// longest pause: then all relays together begin watches as often as each in its turn.
func (f *Follower) longest() time.Duration {
	if f.set.Fleet < Large {
		return longestPause
	}
	all := time.Duration(f.set.Fleet) * turn
	if f.strange && !f.looks() { // a whole list costs it several times as much, and there is nothing to keep to
		return min(4*all, 4*largeLongest)
	}
	return min(all, largeLongest)
}

// Next is the next question. A watch that goes on is due at once, and so before any look; a first look goes before any
// watch, which then has the least to tell.
func (f *Follower) Next() Question {
	switch {
	case !f.strange && (!f.looks() || f.watchAt <= f.lookAt):
		return Question{Since: f.version, At: f.watchAt, Within: WatchFor + listFor}
	case f.looks():
		return Question{Whole: true, At: f.lookAt, Within: lookFor}
	}
	return Question{Whole: true, At: f.lookAt, Within: listFor}
}

// Answered takes in an answer to the last question with a version, and tells whether the relay is to go by it. Changes
// that run backwards are of another history and cannot be built on; the list that it has already is no news.
func (f *Follower) Answered(now time.Duration, q Question, version int64, whole bool) (counts bool) {
	f.lookAt, f.rest = now+lookEvery, lookEvery
	if !q.Whole {
		f.watchAt, f.pause = now, f.first()
		if !whole && version < f.version {
			f.strange, f.lookAt = true, now
			return false
		}
	}
	counts = f.strange || !q.Whole || version != f.version
	if whole && f.strange {
		f.strange, f.pause = false, f.first()
		if !f.looks() {
			f.watchAt = now
		}
	}
	f.version = version
	return counts
}

// Failed notes that a question was not answered, or turned away: answered, but not with a list. A watch pauses for a time
// that is drawn by chance and doubles, as one that is begun anew costs discovery as much as the first; until then the relay
// looks. Looks go on at their pace while the agent is silent, and more and more seldom while it turns them away.
func (f *Follower) Failed(now time.Duration, q Question, away bool) {
	if q.Whole && f.looks() {
		if f.lookAt = now + f.rest; away {
			f.rest = min(2*f.rest, f.longest())
		}
		return
	}
	if !away && f.set.Fleet < Large {
		f.pause = f.first() // silence took its time already, and what the agent gets as it returns counts at once
	}
	at := now + f.pause/2 + time.Duration(f.rand.Float64()*float64(f.pause))
	f.pause = min(2*f.pause, f.longest())
	if q.Whole {
		f.lookAt = at
		return
	}
	f.watchAt = at
	f.lookAt = now + f.rest - lookEvery // at once, unless looks are turned away
}
