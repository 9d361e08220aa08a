package choice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/choice"
)

// driven is one Chooser and what it did, driven by hand.
type driven struct {
	t    *testing.T
	c    *choice.Chooser
	now  time.Duration
	next int
	acts []choice.Action // of the last Step
}

func drive(t *testing.T, set choice.Settings, hosts ...choice.Host) *driven {
	t.Helper()
	c, err := choice.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	d := &driven{t: t, c: c, now: time.Hour}
	d.step(choice.Listing{Whole: true, Hosts: hosts})
	return d
}

func (d *driven) step(events ...choice.Event) []choice.Action {
	d.acts = d.c.Step(d.now, append(events, choice.Woken{}))
	return d.acts
}

// sleep lets a span pass, woken only when the last Step asked for it, and returns all that was done.
func (d *driven) sleep(span time.Duration) (all []choice.Action) {
	d.t.Helper()
	for end := d.now + span; ; {
		wake := d.wake()
		if wake == 0 || d.now+wake > end {
			d.now = end
			return all
		}
		d.now += wake
		all = append(all, d.step()...)
	}
}

// wake is how long after the last Step the next is asked for; 0 for never.
func (d *driven) wake() (after time.Duration) {
	for _, a := range d.acts {
		if w, ok := a.(choice.Wake); ok {
			after = w.After
		}
	}
	return after
}

func (d *driven) arrival(class, dest int, left time.Duration) choice.Arrival {
	d.next++
	return choice.Arrival{ID: fmt.Sprint("m", d.next), Class: class, Dest: dest, Left: left}
}

func (d *driven) arrivals(n, class, dest int, left time.Duration) (all []choice.Event) {
	for range n {
		all = append(all, d.arrival(class, dest, left))
	}
	return all
}

// ends are the ids that a Step's actions ended, in order.
func ends(acts []choice.Action) (refused, failed []string) {
	for _, a := range acts {
		switch a := a.(type) {
		case choice.Refuse:
			refused = append(refused, a.ID)
		case choice.Fail:
			failed = append(failed, a.ID)
		}
	}
	return refused, failed
}

func listed(dest int) choice.Host {
	return choice.Host{Addr: fmt.Sprint("h", dest), Dest: dest, Kind: 2, Rate: 100, State: choice.Ready}
}

// 20,000 messages wait for 40 partners that have been down, and all of these come back at once, cold. None is
// sent more than the rule's budget in any window, and what does not get through hears so in the order of its
// deadline.
func TestAllComeBackAtOnce(t *testing.T) {
	set := worldSettings()
	set.Fleet, set.Workers, set.Listed, set.Cancels = 1, 64, true, true
	const partners, each = 40, 500
	var hosts []choice.Host
	for p := range partners {
		hosts = append(hosts, listed(p))
	}
	d := drive(t, set, hosts...)
	r := rand.New(rand.NewPCG(1, 2))
	due := map[string]time.Duration{}
	var events []choice.Event
	for range each {
		for p := range partners {
			a := d.arrival(r.IntN(3), p, time.Duration(3000+r.IntN(7000))*time.Millisecond)
			due[a.ID] = d.now + a.Left
			events = append(events, a)
		}
	}
	pending := map[time.Duration][]choice.Event{}
	back := d.now + 2500*time.Millisecond
	sent := map[string][]time.Duration{}
	served, byTime, last := 0, 0, time.Duration(0)
	for end := d.now + 12*time.Second; d.now < end; d.now += tick {
		for _, a := range d.step(events...) {
			switch a := a.(type) {
			case choice.Send:
				e, took := choice.Result{ID: a.ID, Host: a.Host, Outcome: choice.NoConnection, Took: tick}, tick
				if d.now >= back {
					sent[a.Host] = append(sent[a.Host], d.now)
					e.Outcome, e.Done, took = choice.Served, true, 30*time.Millisecond
					served++
				}
				e.Took = took
				pending[d.now+took] = append(pending[d.now+took], e)
			case choice.Refuse, choice.Fail:
				id := endOf(a)
				if d.now > due[id] {
					t.Fatalf("%s heard of its end %v late", id, d.now-due[id])
				}
				if due[id]-d.now > 6*tick { // its attempts are used up
					continue
				}
				if byTime++; due[id] < last {
					t.Fatalf("%s, due at %v, heard of its end after one due at %v", id, due[id], last)
				}
				last = due[id]
			}
		}
		events = pending[d.now+tick]
		delete(pending, d.now+tick)
	}
	rules := set.Rules
	for host, times := range sent {
		first := 0
		for i, at := range times {
			for at-times[first] > rules.Fall {
				first++
			}
			cold := min(1, rules.ColdFrom+(1-rules.ColdFrom)*(at-back).Seconds()/rules.Cold.Seconds())
			if budget := rules.OverloadFactor * cold * 100 * rules.Fall.Seconds(); float64(i-first+1) > budget {
				t.Fatalf("%s, back for %v, was sent %d calls within %v: over the budget of %.0f", host, at-back, i-first+1, rules.Fall, budget)
			}
		}
	}
	if len(sent) != partners || served < 2000 || byTime < 1000 {
		t.Errorf("%d partners were sent %d messages after their return, and %d heard that their time was up; want all %d and thousands",
			len(sent), served, byTime, partners)
	}
}

func endOf(a choice.Action) string {
	switch a := a.(type) {
	case choice.Refuse:
		return a.ID
	case choice.Fail:
		return a.ID
	}
	return ""
}

// All that is held falls due in the same millisecond: it is answered before that in the order in which it
// came, in pieces that no Step is long by, and none sooner than these pieces need.
func TestAllDueAtOnce(t *testing.T) {
	set := worldSettings()
	d := drive(t, set)
	const n = 10_000
	d.step(d.arrivals(n, 0, 1, 5*time.Second)...)
	due := d.now + 5*time.Second
	answered, first := 0, time.Duration(0)
	for answered < n {
		wake := d.wake()
		if wake <= 0 {
			t.Fatalf("%d of %d answered, and no wake-up is asked for", answered, n)
		}
		d.now += wake
		if d.now > due {
			t.Fatalf("%d of %d answered when their time was up", answered, n)
		}
		refused, _ := ends(d.step())
		for i, id := range refused {
			if want := fmt.Sprint("m", answered+i+1); id != want {
				t.Fatalf("%s is answered where it was %s's turn", id, want)
			}
		}
		if len(refused) > 128 {
			t.Fatalf("one Step answers %d messages", len(refused))
		}
		if answered += len(refused); len(refused) > 0 && first == 0 {
			first = d.now
		}
	}
	if sooner := due - first; sooner > n/128*12*time.Millisecond {
		t.Errorf("the first is answered %v before its time", sooner)
	}
}

// A destination is flooded with messages of one class, far over what it takes, while payments for others come
// at their usual rate: those are all served, and the flood is refused at the door and told when to come
// again.
func TestFloodLeavesOthersAlone(t *testing.T) {
	set := worldSettings()
	set.Fleet, set.MaxHeld, set.Workers = 1, 500, 16
	for _, flood := range []struct {
		name  string
		class int
	}{{"of cheap messages", 0}, {"of payments", 2}} {
		t.Run(flood.name, func(t *testing.T) {
			hosts := []choice.Host{listed(0)}
			for p := 1; p <= 4; p++ {
				hosts = append(hosts, listed(p))
			}
			d := drive(t, set, hosts...)
			flooded, told, late := map[string]time.Duration{}, 0, 0 // when each came
			others := map[string]bool{}                             // payments for others, true once served
			pending := map[time.Duration][]choice.Event{}
			var events []choice.Event
			for n := range 6000 { // 30 s
				if n < 5600 { // the last ones have their time
					for range 5 { // 1,000 a second for a partner that takes 25
						a := d.arrival(flood.class, 0, 8*time.Second)
						flooded[a.ID] = d.now
						events = append(events, a)
					}
					if n%20 == 0 { // 10 a second
						a := d.arrival(2, 1+n/20%4, 8*time.Second)
						others[a.ID] = false
						events = append(events, a)
					}
				}
				for _, a := range d.step(events...) {
					switch a := a.(type) {
					case choice.Send:
						took := 40 * time.Millisecond
						if flooded[a.ID] > 0 {
							took = 400 * time.Millisecond
						} else {
							others[a.ID] = true
						}
						pending[d.now+took] = append(pending[d.now+took], choice.Result{ID: a.ID, Host: a.Host, Outcome: choice.Served, Took: took, Done: true})
					case choice.Refuse:
						switch came := flooded[a.ID]; {
						case came > 0 && came < d.now:
							late++
						case came > 0 && a.After > 0:
							told++
						}
					}
				}
				d.now += tick
				events = pending[d.now]
				delete(pending, d.now)
			}
			served := 0
			for _, ok := range others {
				if ok {
					served++
				}
			}
			if 100*served < 99*len(others) || told < 20_000 || late > told/20 {
				t.Errorf("%d of %d payments for others were sent; of the flood %d were refused at the door with a time, and %d after they had been"+
					" taken on; want 99%%, most and few", served, len(others), told, late)
			}
		})
	}
}

// The room is full of messages that may have run and must not be turned away: a new one is refused at once,
// and every one of those held is still there.
func TestNothingLawfulToTurnAway(t *testing.T) {
	set := worldSettings()
	set.MaxHeld, set.Workers = 100, 100
	set.Classes[1].Window = 9 * time.Second
	var hosts []choice.Host
	for p := range 10 {
		hosts = append(hosts, listed(p))
	}
	d := drive(t, set, hosts...)
	var events []choice.Event
	held := map[string]bool{}
	for p := range 10 {
		for range 10 {
			e := choice.Restored{Arrival: d.arrival(1, p, 9*time.Second), Attempts: 1, Ran: true, RanZone: 1} // no host there
			held[e.ID] = true
			events = append(events, e)
		}
	}
	d.step(events...)
	for class := range 4 {
		a := d.arrival(class, 3, 5*time.Second)
		refused, failed := ends(d.step(a))
		if fmt.Sprint(refused, failed) != fmt.Sprint([]string{a.ID}, []string(nil)) {
			t.Errorf("class %d: refused %v and failed %v, want the new one alone refused", class, refused, failed)
		}
	}
	refused, failed := ends(d.sleep(9 * time.Second))
	if len(failed)+len(refused) != len(held) {
		t.Errorf("%d of %d held were answered at the end of their time", len(failed)+len(refused), len(held))
	}
}

// Time that stands still, jumps or runs backwards ends no message twice and loses none.
func TestClockJumps(t *testing.T) {
	set := worldSettings()
	set.MaxHeld = 200
	d := drive(t, set, listed(1), listed(2))
	r := rand.New(rand.NewPCG(3, 4))
	open := map[string]bool{}
	var events []choice.Event
	for range 3000 {
		if r.IntN(2) == 0 {
			a := d.arrival(r.IntN(4), 1+r.IntN(2), time.Duration(1+r.IntN(9000))*time.Millisecond)
			open[a.ID] = true
			events = append(events, a)
		}
		acts := d.step(events...)
		events = nil
		for _, a := range acts {
			if s, ok := a.(choice.Send); ok {
				if !open[s.ID] {
					t.Fatalf("%s was sent after its end", s.ID)
				}
				o := choice.Outcome(r.IntN(int(choice.Spoilt) + 1))
				if o == choice.Served {
					delete(open, s.ID)
				}
				events = append(events, choice.Result{ID: s.ID, Host: s.Host, Outcome: o, Took: tick, Done: o == choice.Served})
			} else if id := endOf(a); id != "" {
				if !open[id] {
					t.Fatalf("%s was ended twice", id)
				}
				delete(open, id)
			}
		}
		switch r.IntN(6) {
		case 0: // stands still
		case 1:
			d.now += time.Duration(r.IntN(5000)) * time.Millisecond
		case 2:
			d.now -= time.Duration(r.IntN(50)) * time.Millisecond
		default:
			d.now += tick
		}
	}
	d.now += 24 * time.Hour
	for _, id := range append(ended(d.step(events...)), ended(d.step())...) {
		delete(open, id)
	}
	if len(open) > 0 {
		t.Errorf("%d messages never ended", len(open))
	}
}

func ended(acts []choice.Action) (ids []string) {
	refused, failed := ends(acts)
	return append(refused, failed...)
}

// A destination loses its last host with thousands waiting: they wait on without cost, go to the next host
// that is listed, and hear in time if there is none. One withdrawn in the Step in which it would have been
// sent stays.
func TestLastHostLeaves(t *testing.T) {
	set := worldSettings()
	set.Fleet = 1
	h := listed(1)
	d := drive(t, set, h)
	d.step(d.arrivals(5000, 0, 1, 9*time.Second)...)
	h.State = choice.Gone
	var free []choice.Event
	for _, a := range d.acts {
		if s, ok := a.(choice.Send); ok {
			free = append(free, choice.Result{ID: s.ID, Host: s.Host, Outcome: choice.Reset, Took: tick})
		}
	}
	d.now += tick
	if acts := d.step(append(free, choice.Listing{Hosts: []choice.Host{h}})...); len(sendsOf(acts)) > 0 {
		t.Fatalf("sent to a host that left: %v", sendsOf(acts)[0])
	}
	d.now += time.Second
	next := listed(1)
	next.Addr = "next"
	acts := d.step(choice.Withdrawn{ID: "m4000"}, choice.Listing{Hosts: []choice.Host{next}})
	if len(sendsOf(acts)) == 0 {
		t.Fatal("nothing was sent to the new host")
	}
	for _, s := range sendsOf(acts) {
		if s.Host != "next" || s.ID == "m4000" {
			t.Errorf("sent %+v", s)
		}
	}
	if n := len(ended(d.sleep(7990 * time.Millisecond))); n < 4900 {
		t.Errorf("%d messages heard of their end in time, want all that are not out", n)
	}
}

func sendsOf(acts []choice.Action) (all []choice.Send) {
	for _, a := range acts {
		if s, ok := a.(choice.Send); ok {
			all = append(all, s)
		}
	}
	return all
}

// BenchmarkStep is the cost of a Step that takes a message on, sends it and takes in that it was served,
// while so many others wait for partners that told to wait or are down.
func BenchmarkStep(b *testing.B) {
	for _, held := range []int{100, 10_000, 100_000} {
		for _, dests := range []int{32, 5000} {
			b.Run(fmt.Sprintf("held=%d/dests=%d", held, dests), func(b *testing.B) {
				set := worldSettings()
				set.Workers, set.Listed, set.Fleet = 64, false, 1
				c, err := choice.New(set, 1)
				if err != nil {
					b.Fatal(err)
				}
				l := choice.Listing{Whole: true}
				for d := range dests {
					l.Hosts = append(l.Hosts, listed(d))
				}
				events := []choice.Event{l}
				for i := range held { // for the odd ones, which have no host
					events = append(events, choice.Arrival{ID: fmt.Sprint("held", i), Class: i % 3, Dest: dests + i%(dests/2), Left: 24 * time.Hour})
				}
				now := time.Hour
				c.Step(now, events)
				events = events[:0]
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					now += time.Millisecond
					events = append(events, choice.Arrival{ID: fmt.Sprint("m", n), Class: n % 3, Dest: n % dests, Left: 8 * time.Second})
					acts := c.Step(now, events)
					events = events[:0]
					for _, a := range acts {
						if s, ok := a.(choice.Send); ok {
							events = append(events, choice.Result{ID: s.ID, Host: s.Host, Outcome: choice.Served, Took: 30 * time.Millisecond, Done: true})
						}
					}
				}
			})
		}
	}
}
