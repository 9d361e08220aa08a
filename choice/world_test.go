package choice_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"larchrouter/choice"
)

// world is destinations and clients in simulated time: it turns sends into results, as its hosts behave, and
// draws arrivals. The same seed and the same actions give the same events.
type world struct {
	set    choice.Settings
	rand   *rand.Rand
	now    time.Duration
	hosts  []*worldHost
	byAddr map[string]*worldHost
	msgs   map[string]*worldMessage
	due    map[time.Duration][]choice.Event
	next   int
	rate   float64 // arrivals a second
	keys   int
	left   func() time.Duration
}

type worldHost struct {
	choice.Host
	latency  time.Duration
	refuses  float64 // share
	wait     time.Duration
	fails    float64 // share that errs
	hangs    bool
	down     bool
	outUntil time.Duration // in such a state
}

type worldMessage struct {
	class, dest int
	due         time.Duration
	tries       int
	out         string
	over        bool
}

func newWorld(seed uint64, set choice.Settings, dests int, rate float64) *world {
	w := &world{set: set, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, byAddr: map[string]*worldHost{},
		msgs: map[string]*worldMessage{}, due: map[time.Duration][]choice.Event{}, rate: rate, keys: 20}
	for d := range dests {
		kind := w.rand.IntN(len(set.Kinds))
		for i := range 1 + w.rand.IntN(3) {
			h := &worldHost{Host: choice.Host{Addr: fmt.Sprintf("h%d-%d", d, i), Dest: d, Kind: kind, Zone: w.rand.IntN(2),
				Rate: 20 + float64(w.rand.IntN(100)), State: choice.Ready}, latency: time.Duration(5+w.rand.IntN(200)) * time.Millisecond}
			w.hosts = append(w.hosts, h)
			w.byAddr[h.Addr] = h
		}
	}
	w.left = func() time.Duration { return time.Duration(500+w.rand.IntN(9500)) * time.Millisecond }
	return w
}

const tick = 5 * time.Millisecond

func (w *world) listing() choice.Event {
	l := choice.Listing{Whole: true}
	for _, h := range w.hosts {
		l.Hosts = append(l.Hosts, h.Host)
	}
	return l
}

// turn lets a tick pass and returns what happened in it.
func (w *world) turn() []choice.Event {
	w.now += tick
	events := w.due[w.now]
	delete(w.due, w.now)
	for n := w.rate * tick.Seconds(); n > 0; n-- {
		if w.rand.Float64() < n {
			events = append(events, w.arrive(-1, w.rand.IntN(len(w.hosts)*2)))
		}
	}
	if id := fmt.Sprint("m", w.next-w.rand.IntN(50)); w.msgs[id] != nil && !w.msgs[id].over && w.rand.Float64() < 0.01 {
		events = append(events, choice.Withdrawn{ID: id})
		w.end(id)
	}
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	if w.rand.Float64() < 0.02 && w.now > h.outUntil {
		h.outUntil = w.now + time.Duration(w.rand.IntN(8000))*time.Millisecond
		h.refuses, h.wait, h.fails, h.hangs, h.down = 0, 0, 0, false, false
		switch w.rand.IntN(8) {
		case 0:
			h.down = true
		case 1:
			h.hangs = true
		case 2:
			h.refuses, h.wait = 1, time.Duration(w.rand.IntN(3000))*time.Millisecond
		case 3:
			h.refuses = 0.3
		case 4:
			h.fails = 0.7
		case 5:
			h.State = choice.Draining
			events = append(events, choice.Listing{Hosts: []choice.Host{h.Host}})
		case 6:
			h.State = choice.Gone
			events = append(events, choice.Listing{Hosts: []choice.Host{h.Host}})
		case 7:
			h.State = choice.Ready
			events = append(events, choice.Listing{Hosts: []choice.Host{h.Host}})
		}
	} else if w.now > h.outUntil {
		h.refuses, h.wait, h.fails, h.hangs, h.down = 0, 0, 0, false, false
	}
	return events
}

// arrive hands a message in; class or destination below 0 are drawn.
func (w *world) arrive(class, dest int) choice.Event {
	if class < 0 {
		class = w.rand.IntN(len(w.set.Classes))
	}
	dest = w.hosts[dest%len(w.hosts)].Dest
	w.next++
	id := fmt.Sprint("m", w.next)
	m := &worldMessage{class: class, dest: dest, due: w.now + w.left()}
	w.msgs[id] = m
	a := choice.Arrival{ID: id, Class: class, Dest: dest, Left: m.due - w.now}
	if w.set.Classes[class].Ordered {
		a.Key = fmt.Sprint("k", w.rand.IntN(w.keys))
	}
	return a
}

// restored hands in what an earlier process held: so many messages, some of which may have run.
func (w *world) restored(n int) (events []choice.Event) {
	for range n {
		r := choice.Restored{Arrival: w.arrive(-1, w.rand.IntN(len(w.hosts)*2)).(choice.Arrival), Attempts: w.rand.IntN(3)}
		if r.Attempts > 0 && w.rand.IntN(2) == 0 {
			r.Ran, r.RanAgo, r.RanZone = true, time.Duration(w.rand.IntN(4000))*time.Millisecond, w.rand.IntN(2)
		}
		w.msgs[r.ID].tries = r.Attempts
		events = append(events, r)
	}
	for _, h := range w.hosts[:2] {
		events = append(events, choice.Unwell{Host: h.Addr, Base: 5})
	}
	return events
}

// carry carries actions out.
func (w *world) carry(acts []choice.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case choice.Send:
			w.send(a)
		case choice.Refuse:
			w.end(a.ID)
		case choice.Fail:
			w.end(a.ID)
		case choice.Cancel:
			if m := w.msgs[a.ID]; m != nil && m.out != "" {
				w.at(tick, choice.Result{ID: a.ID, Host: m.out, Attempt: a.Attempt, Outcome: choice.Cancelled, Took: time.Second})
			}
		}
	}
}

func (w *world) end(id string) {
	if m := w.msgs[id]; m != nil {
		if m.over = true; m.out == "" {
			delete(w.msgs, id)
		}
	}
}

func (w *world) at(after time.Duration, e choice.Result) {
	at := w.now + max(tick, (after+tick-1)/tick*tick)
	w.due[at] = append(w.due[at], e)
}

func (w *world) send(s choice.Send) {
	m, h := w.msgs[s.ID], w.byAddr[s.Host]
	m.tries++
	m.out = s.Host
	e := choice.Result{ID: s.ID, Host: s.Host, Attempt: m.tries - 1, Outcome: choice.Served}
	took := time.Duration(float64(h.latency) * (0.5 + w.rand.Float64()))
	switch x := w.rand.Float64(); {
	case h.down:
		e.Outcome, took = choice.NoConnection, tick
	case h.hangs:
		e.Outcome, took = choice.Timeout, s.Timeout
	case x < h.refuses:
		e.Outcome, e.Wait, took = choice.Refused, h.wait, tick
	case x < h.refuses+h.fails:
		e.Outcome = choice.Error
	case x > 0.995:
		e.Outcome = []choice.Outcome{choice.Reset, choice.Spoilt, choice.NotSent}[w.rand.IntN(3)]
	}
	if took >= s.Timeout {
		e.Outcome, took = choice.Timeout, s.Timeout
	}
	e.Took = took
	e.Done = e.Outcome == choice.Served
	w.at(took, e)
}

// results marks what became of attempts, as the events go to the Choosers, and drops results of attempts that
// ended before.
func (w *world) settle(events []choice.Event) []choice.Event {
	return slices.DeleteFunc(events, func(e choice.Event) bool {
		r, ok := e.(choice.Result)
		if !ok {
			return false
		}
		m := w.msgs[r.ID]
		if m == nil || m.out == "" || r.Attempt != m.tries-1 {
			return true
		}
		if m.out = ""; r.Done || m.over {
			delete(w.msgs, r.ID)
		}
		return false
	})
}

// said puts actions into words, in an order that does not depend on that in which destinations were looked
// at; sends stay as they are. Wakes are left out.
func said(acts []choice.Action) string {
	var sends, rest []string
	for _, a := range acts {
		switch r := a.(type) { // the standard does not say why
		case choice.Refuse:
			r.Why = 0
			a = r
		case choice.Fail:
			r.Why = 0
			a = r
		}
		switch a := a.(type) {
		case choice.Wake:
		case choice.Send:
			sends = append(sends, fmt.Sprintf("%+v", a))
		default:
			rest = append(rest, fmt.Sprintf("%T%+v", a, a))
		}
	}
	sort.Strings(rest)
	return strings.Join(append(sends, rest...), "\n")
}
