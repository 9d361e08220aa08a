// Package simulation runs fleets in virtual time: the relays' real decisions (internal/relay/engine) with a simulated network for
// gossip and calls, and simulated destinations with rate limits, outages and cold starts.
//
// A Day describes the fleet, its load and its faults; Play runs it and returns a Result, counted at the destinations. Play is
// deterministic: it uses no clock, socket or goroutine, and all random draws come from Day.Seed in the order of events. Days can
// be played in parallel.
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

// world is the state of a day that is played.
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

// Play runs a day. Its error is one of an invalid day, or of a relay that breaks the gossip protocol's limits.
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

// scheduleArrival schedules the next message for a destination, at a random relay.
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
		msg := &message{id: fmt.Sprintf("m%06d", w.lastMessage), class: w.random.IntN(len(w.day.Settings.Classes)),
			dest: dest, arrived: w.now}
		class := w.day.Settings.Classes[msg.class]
		w.result.Offered++
		w.result.ByDest[dest].Offered++
		w.result.OfferedValue += class.Worth
		for range 10 { // clients retry another relay if one is down
			if r := w.relays[w.random.IntN(w.size)]; r.up {
				w.messages[msg.id] = msg
				a := choice.Arrival{ID: msg.id, Class: msg.class, Dest: dest, Left: class.Deadline}
				r.pending[msg.id], r.deadline[msg.id] = &choice.Restored{Arrival: a}, w.now+class.Deadline
				r.order = append(r.order, msg.id)
				r.step(a)
				return
			}
		}
		w.result.Refused++
	})
}

// resize starts or stops relays, so that the first n are up.
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

// dropped reports whether a fault loses gossip between two relays now.
func (w *world) dropped(from, to int) bool {
	return slices.ContainsFunc(w.day.Faults, func(t Fault) bool {
		return t.Drop != nil && t.From <= w.now && w.now < t.To && t.Drop(from, to)
	})
}

// undelivered completes a message without delivery, unless it is complete, and counts it.
func (w *world) undelivered(id string, count *int) {
	if m := w.messages[id]; m != nil && !m.done {
		m.done = true
		*count++
		delete(w.messages, id)
	}
}

// served completes a message that a destination has served, unless it is complete, and counts it.
func (w *world) served(id string) {
	m := w.messages[id]
	if m == nil || m.done {
		return
	}
	m.done = true
	delete(w.messages, id)
	w.result.ByDest[m.dest].Served++
	class := w.day.Settings.Classes[m.class]
	age := w.now - m.arrived
	if age <= class.Aim {
		w.result.InTime++
		w.result.Value += class.Worth
		return
	}
	w.result.Late++
	lateTime, maxLate := (age - class.Aim).Seconds(), (class.Deadline - class.Aim).Seconds()
	w.result.Value += class.Worth * max(class.LateShare, 1-(1-class.LateShare)*lateTime/maxLate)
}

// countPossible computes Result.Possible.
func (w *world) countPossible() {
	for i, d := range w.day.Dests {
		limit := 0.0
		for _, x := range d.Routes {
			limit += x.Limit * float64(max(1, w.day.Settings.Kinds[d.Kind].PerCall))
		}
		w.result.Possible += math.Min(limit*w.day.Span.Seconds(), float64(w.result.ByDest[i].Offered))
	}
}
