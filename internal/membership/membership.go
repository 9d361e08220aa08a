// Package membership decides when a relay asks discovery, and for what: the changes since the list that it has, or the
// whole list. It does no I/O and reads no clock.
//
// A question is harmless alone. Eighty relays that a release starts at one instant, each asking for the whole list and
// then at once for changes, overload a discovery that could serve them all in turn, and their further tries keep it
// overloaded: what it turns away costs it work as well. So in a large fleet each relay begins in its turn, by its number,
// goes by the list that it was started with until then, and after a failure waits for as long as all of them need.
package membership

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
	turnsMost    = 8 * time.Second // a relay that has not asked for 10 s counts as told
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
	largeLongest = 5 * time.Second
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
	Whole bool
	Since int64 // where Whole is not set
	At    time.Duration
}

// Follower follows the list. It is not safe for concurrent use.
type Follower struct {
	set   Settings
	rand  *rand.Rand
	next  Question
	pause time.Duration // after the next failure, drawn about this
}

// New begins to follow at a time.
func New(s Settings, now time.Duration) *Follower {
	f := &Follower{set: s, rand: rand.New(rand.NewPCG(s.Seed, 3))}
	f.next = Question{Whole: true, At: now}
	if s.Fleet >= Large {
		f.next = Question{Whole: !s.Listed, Since: s.Version, At: now + f.mine()}
	}
	f.pause = f.first()
	return f
}

// mine is when this relay's turn comes.
func (f *Follower) mine() time.Duration {
	return time.Duration(f.set.Index) * min(turn, turnsMost/time.Duration(f.set.Fleet))
}

func (f *Follower) first() time.Duration {
	if f.set.Fleet < Large {
		return firstPause
	}
	return f.longest() / 4
}

// longest pause: then all relays together ask as often as each in its turn.
func (f *Follower) longest() time.Duration {
	if f.set.Fleet < Large {
		return longestPause
	}
	all := time.Duration(f.set.Fleet) * turn
	if f.next.Whole { // it costs discovery several times as much, and a relay without a list has nothing to keep to
		return min(4*all, 4*largeLongest)
	}
	return min(all, largeLongest)
}

// Next is the next question.
func (f *Follower) Next() Question { return f.next }

// Answered takes in an answer with a version, and tells whether it counts. One that runs backwards is of another
// history: changes cannot be built on it, and the whole list is asked for.
func (f *Follower) Answered(now time.Duration, version int64, whole bool) (counts bool) {
	f.pause = f.first()
	if !whole && version < f.next.Since {
		f.next = Question{Whole: true, At: now}
		return false
	}
	f.next = Question{Since: version, At: now}
	return true
}

// Failed notes that the question was not answered, or turned away. The pause is drawn by chance and doubles: a watch
// that is begun anew costs discovery as much as the first.
func (f *Follower) Failed(now time.Duration) {
	f.next.At = now + f.pause/2 + time.Duration(f.rand.Float64()*float64(f.pause))
	f.pause = min(2*f.pause, f.longest())
}

// Moved begins anew with another discovery, which may have another history.
func (f *Follower) Moved(now time.Duration) {
	f.pause = f.first()
	f.next = Question{Whole: true, At: now}
}
