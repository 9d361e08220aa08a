package discoverypoll

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// discovery is one that is overbooked: it has so much work to give a second, a watch that begins takes some whether or
// not it is let in. Looks are the agents'.
type discovery struct {
	rate, most, left float64
	at               time.Duration
}

func (d *discovery) watch(now time.Duration) bool {
	d.left = min(d.most, d.left+d.rate*(now-d.at).Seconds())
	d.at = now
	if d.left--; d.left < 0 {
		d.left = max(d.left, -d.most)
		return false
	}
	return true
}

// played is how many of a fleet have a watch after a while, and how many were begun.
func played(fleet int, rate float64, span time.Duration) (watching, begun int) {
	d := &discovery{rate: rate, most: rate / 4, left: rate / 4}
	all := make([]*Follower, fleet)
	done := make([]bool, fleet)
	for i := range all {
		all[i] = New(Settings{Index: i, Fleet: fleet, Seed: uint64(i), Version: 5, Listed: true}, 0)
	}
	for now := time.Duration(0); now < span; now += ms {
		for i, f := range all {
			switch q := f.Next(); {
			case done[i] || q.At > now:
			case q.Whole:
				f.Answered(now, q, 5, true)
			case d.watch(now):
				begun++
				done[i] = true
			default:
				begun++
				f.Failed(now, q, true)
			}
		}
	}
	for _, ok := range done {
		if ok {
			watching++
		}
	}
	return watching, begun
}

// Guards against a fleet that keeps an overbooked discovery down by asking: each in its turn is served.
func TestLargeFleetTakesTurns(t *testing.T) {
	for _, fleet := range []int{16, 36, 80, 300} {
		if watching, begun := played(fleet, 30, 16*time.Second); watching < fleet || begun > fleet*5/4 {
			t.Errorf("%d of %d relays watch after 16 s, with %d begun", watching, fleet, begun)
		}
	}
}

// agent is what a relay's own machine has of discovery, drawn move by move.
type agent struct {
	version int64
	silent  bool
	deny    bool // watches are turned away
}

// Guards against a relay that sends to an endpoint of which its agent has heard that it drains: whatever becomes of
// its watches, however many relays there are, and wherever discovery moves, an agent that answers is never left
// unasked for longer than Blind.
func TestNeverBlind(t *testing.T) {
	if Blind > 200*ms {
		t.Errorf("%v without asking leave nothing of 250 ms for the relay's own work", Blind)
	}
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.SampledFrom([]int{121, 200, 300, 1000}).Draw(t, "fleet")
		f := New(Settings{Index: rapid.IntRange(0, fleet-1).Draw(t, "index"), Fleet: fleet, Seed: rapid.Uint64().Draw(t, "seed"),
			Version: 5}, 0)
		a := &agent{version: int64(rapid.IntRange(1, 9).Draw(t, "version"))}
		now, asked := time.Duration(0), time.Duration(0) // asked: the agent could last have told what it has
		for range 400 {
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				a.deny = !a.deny
			case 1:
				a.silent = !a.silent
			case 2:
				f.Moved(now)
				a.version = int64(rapid.IntRange(1, 9).Draw(t, "history"))
			case 3:
				a.version++
			}
			q := f.Next()
			if now = max(now, q.At); !a.silent && now-asked > Blind {
				t.Fatalf("at %v nothing asked since %v; next is %+v", now, asked, q)
			}
			switch {
			case a.silent && q.Whole:
				now += lookFor
				asked = now // it may answer again from now on only
				f.Failed(now, q, false)
			case a.silent:
				now += time.Duration(rapid.IntRange(0, 2500).Draw(t, "hung")) * ms
				asked = now
				f.Failed(now, q, true)
			case q.Whole:
				asked = now
				now += time.Duration(rapid.IntRange(0, 90).Draw(t, "look")) * ms
				f.Answered(now, q, a.version, true)
			case a.deny:
				asked = now
				now += time.Duration(rapid.IntRange(0, 30).Draw(t, "denied")) * ms
				f.Failed(now, q, true)
			default: // the watch stands for as long as it does
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "watch")) * ms
				asked = now
				f.Answered(now, q, a.version, false)
			}
		}
	})
}

// A large fleet's watches stay rare however long discovery turns them away.
func TestPausesOfALargeFleet(t *testing.T) {
	const fleet = 300
	begun := 0
	for i := range fleet {
		f := New(Settings{Index: i, Fleet: fleet, Seed: uint64(i)}, 0)
		for now := time.Duration(0); now < time.Minute; {
			q := f.Next()
			if now = q.At; q.Whole {
				f.Answered(now, q, 1, true)
			} else if now < time.Minute {
				begun++
				f.Failed(now, q, true)
			}
		}
	}
	if a := float64(begun) / 60; a > 70 {
		t.Errorf("%.0f watches a second are begun by %d relays that are all turned away", a, fleet)
	}
}

// A small fleet has no looks: while its agent is silent, watches follow each other with hardly a pause, as what the agent gets
// when discovery returns counts as told whether or not a watch is open. One that turns it away is asked more seldom.
func TestSmallFleetStaysWithASilentAgent(t *testing.T) {
	for _, away := range []bool{false, true} {
		f := New(Settings{Index: 2, Fleet: Large - 1, Version: 7, Listed: true, Seed: 9}, 0)
		f.Answered(0, f.Next(), 7, true)
		longest := time.Duration(0)
		for now, n := time.Duration(0), 0; n < 20; n++ {
			q := f.Next()
			longest = max(longest, q.At-now)
			if now = max(now, q.At); !away {
				now += q.Within
			}
			f.Failed(now, q, away)
		}
		if silent := longest <= 3*firstPause/2; silent == away {
			t.Errorf("turned away %v: the longest pause is %v", away, longest)
		}
	}
}

func TestSmallFleetAsksAtOnce(t *testing.T) {
	f := New(Settings{Index: 2, Fleet: 3, Version: 7}, time.Second)
	q := f.Next()
	if q != (Question{Whole: true, At: time.Second, Within: listFor}) {
		t.Errorf("first question is %+v", q)
	}
	f.Answered(1001*ms, q, 7, true)
	if q = f.Next(); q.Whole || q.Since != 7 || q.At > 1001*ms {
		t.Errorf("then %+v", q)
	}
	for range 20 {
		f.Failed(2*time.Second, Question{}, true)
	}
	if at := f.watchAt; at > 3500*ms {
		t.Errorf("after many failures a watch at %v", at)
	}
}

// Whatever the list is that a relay was started with, it ends with discovery's.
func TestLists(t *testing.T) {
	type answer struct {
		version int64
		whole   bool // asked for
		counts  bool
	}
	for name, c := range map[string]struct {
		known   int64
		answers []answer
	}{
		"none":            {0, []answer{{41, true, true}, {41, false, true}}},
		"old":             {30, []answer{{41, true, true}, {42, false, true}}},
		"another history": {900, []answer{{41, true, true}, {41, false, true}}},
		"the same":        {41, []answer{{41, true, true}, {41, false, true}, {42, false, true}}},
		"a step back":     {41, []answer{{41, true, true}, {40, false, false}, {40, true, true}, {40, false, true}}},
	} {
		f := New(Settings{Fleet: 300, Version: c.known}, 0)
		for i, a := range c.answers {
			q := f.Next()
			if q.Whole != a.whole {
				t.Errorf("%s: question %d is %+v", name, i, q)
			}
			if counts := f.Answered(0, q, a.version, q.Whole); counts != a.counts {
				t.Errorf("%s: answer %d counts: %v", name, i, counts)
			}
		}
		f.Moved(time.Second)
		if q := f.Next(); !q.Whole || q.At != time.Second {
			t.Errorf("%s: after a move %+v", name, q)
		}
	}
}

// A list that the relay has already is no news, and one that was told by a look makes the watch after it cheap.
func TestLooks(t *testing.T) {
	f := New(Settings{Index: 40, Fleet: 300, Version: 5}, 0)
	for i, version := range []int64{5, 5, 6, 6} {
		q := f.Next()
		if !q.Whole || q.At != time.Duration(i)*lookEvery {
			t.Fatalf("question %d is %+v", i, q)
		}
		if counts := f.Answered(q.At, q, version, true); counts != (i == 0 || i == 2) {
			t.Errorf("answer %d counts: %v", i, counts)
		}
	}
	for f.Next().Whole {
		f.Answered(f.Next().At, f.Next(), 6, true)
	}
	if q := f.Next(); q.Since != 6 || q.At != 40*turn {
		t.Errorf("the watch is %+v", q)
	}
}

// A fleet whose turns are over in time does without looks: there are agents that do not answer them at no cost.
func TestTurnsAlone(t *testing.T) {
	for _, fleet := range []int{16, 80, 120} {
		f := New(Settings{Index: 10, Fleet: fleet, Version: 5, Listed: true}, 0)
		for i := range 20 {
			q := f.Next()
			if q.Whole || i == 0 && q.At != 10*turn {
				t.Fatalf("%d relays: question %d is %+v", fleet, i, q)
			}
			f.Failed(q.At, q, true)
		}
		f.Moved(time.Minute)
		if q := f.Next(); !q.Whole || q.At != time.Minute {
			t.Errorf("%d relays: after a move %+v", fleet, q)
		}
	}
}

// An agent that turns looks away is asked more and more seldom, and as often as ever once it answers.
func TestLooksTurnedAway(t *testing.T) {
	f := New(Settings{Index: 299, Fleet: 300, Version: 5, Listed: true}, 0)
	n := 0
	for ; f.Next().At < 10*time.Second; n++ {
		f.Failed(f.Next().At, f.Next(), true)
	}
	if n > 10 {
		t.Errorf("%d looks in 10 s at an agent that turns them away", n)
	}
	f.Answered(10*time.Second, f.Next(), 6, true)
	if q := f.Next(); !q.Whole || q.At != 10*time.Second+lookEvery {
		t.Errorf("then %+v", q)
	}
}
