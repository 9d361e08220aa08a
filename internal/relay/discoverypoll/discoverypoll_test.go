package discoverypoll

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// discovery is an overloaded one: it has a capacity of watches that begin, and a rejected watch uses some of it,
// too. Polls are answered by the agents.
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

// runWatches returns how many relays of a fleet have a watch after a time span, and how many watches were begun.
func runWatches(fleet int, rate float64, span time.Duration) (watching, begun int) {
	d := &discovery{rate: rate, most: rate / 4, left: rate / 4}
	all := make([]*Poller, fleet)
	done := make([]bool, fleet)
	for i := range all {
		all[i] = New(Settings{Index: i, FleetSize: fleet, Seed: uint64(i), Version: 5, Listed: true}, 0)
	}
	for now := time.Duration(0); now < span; now += ms {
		for i, f := range all {
			switch q := f.Next(); {
			case done[i] || q.At > now:
			case q.FullList:
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

// Guards against a fleet that keeps an overloaded discovery down by its retries: in turn, each relay is served.
func TestLargeFleetTakesTurns(t *testing.T) {
	for _, fleet := range []int{16, 36, 80, 300} {
		if watching, begun := runWatches(fleet, 30, 16*time.Second); watching < fleet || begun > fleet*5/4 {
			t.Errorf("%d of %d relays watch after 16 s, with %d begun", watching, fleet, begun)
		}
	}
}

// agent is the discovery agent on a relay's machine; its behaviour is drawn event by event.
type agent struct {
	version       int64
	unresponsive  bool
	rejectWatches bool
}

// Guards against calls to an endpoint of which the agent knows that it drains: whatever happens to the watches,
// however many relays there are, and however often discovery changes, the time between requests to an agent that
// answers never exceeds MaxStaleness.
func TestStalenessIsBounded(t *testing.T) {
	if MaxStaleness > 200*ms {
		t.Errorf("%v between requests leave nothing of 250 ms for the relay's own work", MaxStaleness)
	}
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.SampledFrom([]int{121, 200, 300, 1000}).Draw(t, "fleet")
		f := New(Settings{Index: rapid.IntRange(0, fleet-1).Draw(t, "index"), FleetSize: fleet, Seed: rapid.Uint64().Draw(t, "seed"),
			Version: 5}, 0)
		a := &agent{version: int64(rapid.IntRange(1, 9).Draw(t, "version"))}
		now, lastRequest := time.Duration(0), time.Duration(0) // lastRequest: the agent could last have answered with what it has
		for range 400 {
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				a.rejectWatches = !a.rejectWatches
			case 1:
				a.unresponsive = !a.unresponsive
			case 2:
				f.SourceChanged(now)
				a.version = int64(rapid.IntRange(1, 9).Draw(t, "history"))
			case 3:
				a.version++
			}
			q := f.Next()
			if now = max(now, q.At); !a.unresponsive && now-lastRequest > MaxStaleness {
				t.Fatalf("at %v no request since %v; next is %+v", now, lastRequest, q)
			}
			switch {
			case a.unresponsive && q.FullList:
				now += pollTimeout
				lastRequest = now // it may answer again only from now on
				f.Failed(now, q, false)
			case a.unresponsive:
				now += time.Duration(rapid.IntRange(0, 2500).Draw(t, "hung")) * ms
				lastRequest = now
				f.Failed(now, q, true)
			case q.FullList:
				lastRequest = now
				now += time.Duration(rapid.IntRange(0, 90).Draw(t, "poll")) * ms
				f.Answered(now, q, a.version, true)
			case a.rejectWatches:
				lastRequest = now
				now += time.Duration(rapid.IntRange(0, 30).Draw(t, "denied")) * ms
				f.Failed(now, q, true)
			default: // the watch lasts for a while
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "watch")) * ms
				lastRequest = now
				f.Answered(now, q, a.version, false)
			}
		}
	})
}

// A large fleet's watches stay rare however long discovery rejects them.
func TestLargeFleetBacksOff(t *testing.T) {
	const fleet = 300
	begun := 0
	for i := range fleet {
		f := New(Settings{Index: i, FleetSize: fleet, Seed: uint64(i)}, 0)
		for now := time.Duration(0); now < time.Minute; {
			q := f.Next()
			if now = q.At; q.FullList {
				f.Answered(now, q, 1, true)
			} else if now < time.Minute {
				begun++
				f.Failed(now, q, true)
			}
		}
	}
	if a := float64(begun) / 60; a > 70 {
		t.Errorf("%.0f watches a second are begun by %d relays that are all rejected", a, fleet)
	}
}

// A small fleet does not poll: while its agent is unresponsive, watches follow each other with little backoff,
// as what the agent receives when discovery returns counts as known whether or not a watch is open. An agent
// that rejects watches is asked more seldom.
func TestSmallFleetRetriesUnresponsiveAgent(t *testing.T) {
	for _, rejected := range []bool{false, true} {
		f := New(Settings{Index: 2, FleetSize: LargeFleet - 1, Version: 7, Listed: true, Seed: 9}, 0)
		f.Answered(0, f.Next(), 7, true)
		longest := time.Duration(0)
		for now, n := time.Duration(0), 0; n < 20; n++ {
			q := f.Next()
			longest = max(longest, q.At-now)
			if now = max(now, q.At); !rejected {
				now += q.Timeout
			}
			f.Failed(now, q, rejected)
		}
		if short := longest <= 3*firstBackoff/2; short == rejected {
			t.Errorf("rejected %v: the longest backoff is %v", rejected, longest)
		}
	}
}

// A small fleet requests the full list and then watches, without delay.
func TestSmallFleetRequestsAtOnce(t *testing.T) {
	f := New(Settings{Index: 2, FleetSize: 3, Version: 7}, time.Second)
	q := f.Next()
	if q != (Request{FullList: true, At: time.Second, Timeout: listTimeout}) {
		t.Errorf("first request is %+v", q)
	}
	f.Answered(1001*ms, q, 7, true)
	if q = f.Next(); q.FullList || q.Since != 7 || q.At > 1001*ms {
		t.Errorf("then %+v", q)
	}
	for range 20 {
		f.Failed(2*time.Second, Request{}, true)
	}
	if at := f.watchAt; at > 3500*ms {
		t.Errorf("after many failures a watch at %v", at)
	}
}

// A relay ends with the list of discovery, whatever list it was started with.
func TestListsOfOtherHistories(t *testing.T) {
	type answer struct {
		version int64
		full    bool // requested
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
		f := New(Settings{FleetSize: 300, Version: c.known}, 0)
		for i, a := range c.answers {
			q := f.Next()
			if q.FullList != a.full {
				t.Errorf("%s: request %d is %+v", name, i, q)
			}
			if counts := f.Answered(0, q, a.version, q.FullList); counts != a.counts {
				t.Errorf("%s: answer %d counts: %v", name, i, counts)
			}
		}
		f.SourceChanged(time.Second)
		if q := f.Next(); !q.FullList || q.At != time.Second {
			t.Errorf("%s: after a change of source %+v", name, q)
		}
	}
}

// A list that the relay has already is ignored, and a polled one is the base of the watch after it.
func TestPolls(t *testing.T) {
	f := New(Settings{Index: 40, FleetSize: 300, Version: 5}, 0)
	for i, version := range []int64{5, 5, 6, 6} {
		q := f.Next()
		if !q.FullList || q.At != time.Duration(i)*pollInterval {
			t.Fatalf("request %d is %+v", i, q)
		}
		if counts := f.Answered(q.At, q, version, true); counts != (i == 0 || i == 2) {
			t.Errorf("answer %d counts: %v", i, counts)
		}
	}
	for f.Next().FullList {
		f.Answered(f.Next().At, f.Next(), 6, true)
	}
	if q := f.Next(); q.Since != 6 || q.At != 40*turnTime {
		t.Errorf("the watch is %+v", q)
	}
}

// A fleet whose turns are over in time does not poll: some agents do not answer polls at no cost.
func TestTurnsWithoutPolls(t *testing.T) {
	for _, fleet := range []int{16, 80, 120} {
		f := New(Settings{Index: 10, FleetSize: fleet, Version: 5, Listed: true}, 0)
		for i := range 20 {
			q := f.Next()
			if q.FullList || i == 0 && q.At != 10*turnTime {
				t.Fatalf("%d relays: request %d is %+v", fleet, i, q)
			}
			f.Failed(q.At, q, true)
		}
		f.SourceChanged(time.Minute)
		if q := f.Next(); !q.FullList || q.At != time.Minute {
			t.Errorf("%d relays: after a change of source %+v", fleet, q)
		}
	}
}

// An agent that rejects polls is polled more and more seldom, and at the usual pace once it answers.
func TestRejectedPollsBackOff(t *testing.T) {
	f := New(Settings{Index: 299, FleetSize: 300, Version: 5, Listed: true}, 0)
	n := 0
	for ; f.Next().At < 10*time.Second; n++ {
		f.Failed(f.Next().At, f.Next(), true)
	}
	if n > 10 {
		t.Errorf("%d polls in 10 s of an agent that rejects them", n)
	}
	f.Answered(10*time.Second, f.Next(), 6, true)
	if q := f.Next(); !q.FullList || q.At != 10*time.Second+pollInterval {
		t.Errorf("then %+v", q)
	}
}
