// Package simulation plays whole fleets in virtual time: the relays' real decisions (internal/relay/engine), with a network that
// carries their notes and calls, and stand-in destinations with limits that refused calls use up, outages and cold
// returns. There is one process, no socket and no clock; a seed gives the same day every time. What is counted is
// counted where it happens, at the destination.
package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/choice"
)

// world is a day under way.
type world struct {
	day         Day
	now         time.Duration
	events      eventQueue
	sequence    uint64
	random      *rand.Rand
	relays      []*relay
	size        int
	routes      map[string]*route
	messages    map[string]*message
	lastMessage int
	result      Result
	err         error
}

type message struct {
	id      string
	class   int
	dest    int
	arrived time.Duration
	done    bool
}

// Play plays a day.
func Play(d Day) (Result, error) {
	w := &world{day: d, random: rand.New(rand.NewPCG(d.Seed, 1)), routes: map[string]*route{}, messages: map[string]*message{}}
	w.result.ByDest = make([]DestinationCount, len(d.Dests))
	w.size = d.Relays
	most := d.Relays
	for _, s := range d.Resizes {
		most = max(most, s.Relays)
	}
	w.makeRoutes()
	for i := range most {
		r := &relay{world: w, index: i}
		w.relays = append(w.relays, r)
		if i < d.Relays {
			r.start()
		}
	}
	for _, s := range d.Resizes {
		w.at(s.From, func() { w.resize(s.Relays) })
	}
	for _, t := range d.Faults {
		w.scheduleFault(t)
	}
	for dest := range d.Dests {
		w.scheduleArrival(dest)
	}
	last := time.Duration(0)
	for _, c := range d.Settings.Classes {
		last = max(last, c.Deadline)
	}
	for len(w.events) > 0 && w.err == nil {
		e := heap.Pop(&w.events).(event)
		if e.at > d.Span+last+time.Second {
			break
		}
		w.now = max(w.now, e.at)
		e.run()
	}
	w.countPossible()
	return w.result, w.err
}

// scheduleArrival has the next message for a destination come, at a relay drawn by chance.
func (w *world) scheduleArrival(dest int) {
	load := w.day.Dests[dest].Load
	if load <= 0 {
		return
	}
	w.after(w.exponential(time.Duration(float64(time.Second)/load)), func() {
		if w.now >= w.day.Span {
			return
		}
		w.scheduleArrival(dest)
		w.lastMessage++
		m := &message{id: fmt.Sprintf("m%06d", w.lastMessage), class: w.random.IntN(len(w.day.Settings.Classes)), dest: dest, arrived: w.now}
		k := w.day.Settings.Classes[m.class]
		w.result.Offered++
		w.result.ByDest[dest].Offered++
		w.result.OfferedValue += k.Worth
		for range 10 { // the front turns to another while one is down
			if r := w.relays[w.random.IntN(w.size)]; r.up {
				w.messages[m.id] = m
				a := choice.Arrival{ID: m.id, Class: m.class, Dest: dest, Left: k.Deadline}
				r.pending[m.id], r.deadline[m.id] = &choice.Restored{Arrival: a}, w.now+k.Deadline
				r.order = append(r.order, m.id)
				r.step(a)
				return
			}
		}
		w.result.Refused++
	})
}

// resize has relays come or go.
func (w *world) resize(n int) {
	w.size = n
	for i, r := range w.relays {
		if i < n && !r.up {
			r.start()
		} else if i >= n && r.up {
			r.stop()
		}
	}
}

// dropped tells whether a trouble keeps a note from its receiver.
func (w *world) dropped(from, to int) bool {
	return slices.ContainsFunc(w.day.Faults, func(t Fault) bool {
		return t.Drop != nil && t.From <= w.now && w.now < t.To && t.Drop(from, to)
	})
}

// undelivered ends a message undelivered.
func (w *world) undelivered(id string, count *int) {
	if m := w.messages[id]; m != nil && !m.done {
		m.done = true
		*count++
		delete(w.messages, id)
	}
}

// served counts a message that a destination has taken.
func (w *world) served(id string) {
	m := w.messages[id]
	if m == nil || m.done {
		return
	}
	m.done = true
	delete(w.messages, id)
	w.result.ByDest[m.dest].Served++
	k := w.day.Settings.Classes[m.class]
	age := w.now - m.arrived
	if age <= k.Aim {
		w.result.InTime++
		w.result.Value += k.Worth
		return
	}
	w.result.Late++
	w.result.Value += k.Worth * max(k.LateShare, 1-(1-k.LateShare)*(age-k.Aim).Seconds()/(k.Deadline-k.Aim).Seconds())
}

// countPossible works out what the limits allow.
func (w *world) countPossible() {
	for i, d := range w.day.Dests {
		limit := 0.0
		for _, x := range d.Routes {
			limit += x.Limit * float64(max(1, w.day.Settings.Kinds[d.Kind].PerCall))
		}
		w.result.Possible += math.Min(limit*w.day.Span.Seconds(), float64(w.result.ByDest[i].Offered))
	}
}
