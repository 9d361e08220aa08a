package membership

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// discovery is one that is overbooked: it has so much work to give a second, a question takes some whether or not it is
// answered, and a whole list takes more for each line.
type discovery struct {
	rate, most, left float64
	at               time.Duration
}

const (
	watchWork, lineWork = 1.0, 0.2
	lines               = 15
)

func (d *discovery) ask(now time.Duration, q Question) bool {
	d.left = min(d.most, d.left+d.rate*(now-d.at).Seconds())
	d.at = now
	work := watchWork
	if q.Whole {
		work += lineWork * lines
	}
	if d.left -= work; d.left < 0 {
		d.left = max(d.left, -d.most)
		return false
	}
	return true
}

// played is how many of a fleet have a watch after a while, and how often was asked.
func played(fleet int, rate float64, listed bool, span time.Duration) (watching, asked int) {
	d := &discovery{rate: rate, most: rate / 4, left: rate / 4}
	all := make([]*Follower, fleet)
	done := make([]bool, fleet)
	for i := range all {
		all[i] = New(Settings{Index: i, Fleet: fleet, Seed: uint64(i), Version: 5, Listed: listed}, 0)
	}
	for now := time.Duration(0); now < span; now += ms {
		for i, f := range all {
			if q := f.Next(); !done[i] && q.At <= now {
				asked++
				if d.ask(now, q) {
					f.Answered(now, 5, q.Whole)
					done[i] = !q.Whole
				} else {
					f.Failed(now)
				}
			}
		}
	}
	for _, ok := range done {
		if ok {
			watching++
		}
	}
	return watching, asked
}

// Guards against a fleet that keeps an overbooked discovery down by asking: each in its turn is served.
func TestLargeFleetTakesTurns(t *testing.T) {
	for _, fleet := range []int{16, 36, 80} {
		if watching, asked := played(fleet, 30, true, 10*time.Second); watching < fleet || asked > fleet*5/4 {
			t.Errorf("%d of %d relays watch after 10 s, with %d questions", watching, fleet, asked)
		}
	}
	if watching, _ := played(300, 50, true, 30*time.Second); watching < 280 {
		t.Errorf("%d of 300 relays watch after 30 s", watching)
	}
}

// Where no list was given, whole lists are needed, and the fleet gets there by its pauses.
func TestLargeFleetWithoutAList(t *testing.T) {
	if watching, asked := played(80, 40, false, 60*time.Second); watching < 72 {
		t.Errorf("%d of 80 relays watch after a minute, with %d questions", watching, asked)
	}
}

func TestSmallFleetAsksAtOnce(t *testing.T) {
	f := New(Settings{Index: 2, Fleet: 3, Version: 7, Listed: true}, time.Second)
	if q := f.Next(); q != (Question{Whole: true, At: time.Second}) {
		t.Errorf("first question is %+v", q)
	}
	f.Failed(2 * time.Second)
	if q := f.Next(); q.At < 2025*ms || q.At > 2075*ms || !q.Whole {
		t.Errorf("after a failure %+v", q)
	}
	for range 20 {
		f.Failed(2 * time.Second)
	}
	if q := f.Next(); q.At > 3500*ms {
		t.Errorf("after many failures %+v", q)
	}
}

// Whatever the list is that a relay was started with, it ends with discovery's.
func TestLists(t *testing.T) {
	for name, c := range map[string]struct {
		known   int64
		listed  bool
		answers []int64 // versions, in turn
		whole   []bool  // that are asked for
	}{
		"none":            {0, false, []int64{41, 41}, []bool{true, false}},
		"old":             {30, true, []int64{41, 42}, []bool{false, false}},
		"another history": {900, true, []int64{41, 41, 42}, []bool{false, true, false}},
		"a first version": {0, true, []int64{0, 1}, []bool{false, false}},
	} {
		f := New(Settings{Fleet: 80, Version: c.known, Listed: c.listed}, 0)
		for i, v := range c.answers {
			q := f.Next()
			if q.Whole != c.whole[i] {
				t.Errorf("%s: question %d is %+v", name, i, q)
			}
			if counts := f.Answered(0, v, q.Whole); counts != (q.Whole || v >= q.Since) {
				t.Errorf("%s: answer %d counts: %v", name, i, counts)
			}
		}
		f.Moved(time.Second)
		if q := f.Next(); !q.Whole || q.At != time.Second {
			t.Errorf("%s: after a move %+v", name, q)
		}
	}
}
