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
	"larchrouter/internal/relay/engine"
	"larchrouter/internal/relay/settings"
)

// Route is one endpoint of a destination, with limits of its own.
type Route struct {
	Limit           float64       // calls a second from all relays
	Burst           float64       // calls that it takes at once after a rest
	Debt            float64       // refused calls use the limit up, to so many calls below none
	MinRetryAfter   time.Duration // the least that it tells to wait
	RetryAfterShare float64       // share of the refusals that tell it
	ServiceTime     time.Duration // mean
	Zone            int
}

// Destination is one destination.
type Destination struct {
	Routes []Route
	Kind   int
	Load   float64 // messages a second from all relays
}

// Fault is something that befalls the day.
type Fault struct {
	From, To          time.Duration
	Dests             []int
	Down              bool    // calls are not answered, or find no connection where Shut is set
	RefuseConnections bool    // new connections are refused at once
	LimitFactor       float64 // share of the limit that is left; 0 for all
	Kill              int     // so many relays end at From, and start with nothing at To
	// Drop tells which notes are lost from From to To, by the numbers of sender and receiver; nil for none.
	Drop func(from, to int) bool
}

// Day is what is played.
type Day struct {
	Relays        int
	Settings      settings.Settings // Fleet and Index are filled in
	Dests         []Destination
	Faults        []Fault
	Span          time.Duration // messages arrive so long
	Seed          uint64
	Delay         [2]time.Duration // of a note, least and most
	LossRate      float64          // share of the notes
	DuplicateRate float64
	Corrupt       func(note []byte, r *rand.Rand) []byte // what becomes of a note on the way; nil for nothing
	Resizes       []Resize                               // the fleet's size over time; empty for Relays throughout
}

// Resize says how many relays there are from a time on.
type Resize struct {
	From   time.Duration
	Relays int
}

// Result is what was counted.
type Result struct {
	Offered, InTime, Late, Refused, Failed int // messages
	Value, OfferedValue                    float64
	Calls, OverLimit, RetryAfters          int // calls that reached a destination; refused above a limit; told to wait
	GossipMessages, GossipBytes            int // delivered
	ColdOverloads                          int // routes that fell over when cold
	RetryAfterViolations, ColdViolations   int // rules broken: calls within a told wait; routes pushed over by those that knew
	Steps                                  int
	Possible                               float64 // messages a second that limits would allow, times the span, at most what was offered
	ByDest                                 []DestinationCount
}

// DestinationCount is what one destination saw.
type DestinationCount struct{ Offered, Served, Calls, OverLimit int }

// String gives the main counts in one line, as shares of the messages offered, of the worth asked for or of the calls.
func (r Result) String() string {
	return fmt.Sprintf("offered %d, in time %.1f%%, late %.1f%%, worth %.1f%%, calls %d, over a limit %.1f%%, note bytes for each message %.1f",
		r.Offered, 100*float64(r.InTime)/float64(max(1, r.Offered)), 100*float64(r.Late)/float64(max(1, r.Offered)), 100*r.Value/max(1e-9, r.OfferedValue),
		r.Calls, 100*float64(r.OverLimit)/float64(max(1, r.Calls)), float64(r.GossipBytes)/float64(max(1, r.Offered)))
}

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(e any)   { *a = append(*a, e.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*a = old[:len(old)-1]
	return e
}

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

// relay is one relay of the fleet.
type relay struct {
	world       *world
	index       int
	incarnation int // counts its starts; 0 while it is down
	up          bool
	engine      *engine.Core
	wakeAt      time.Duration // the timer; 0 if it is not running
	calls       map[string]*call
	retryAfter  map[string]time.Duration    // told, by route
	pending     map[string]*choice.Restored // what its journal would have of each message
	order       []string                    // of those held, as they came; some are over
	deadline    map[string]time.Duration
	ranAt       map[string]time.Duration // the first attempt that may have run went out
}

type message struct {
	id      string
	class   int
	dest    int
	arrived time.Duration
	done    bool
}

// call is one call out.
type call struct {
	members []choice.Send
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

func (w *world) at(t time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{max(t, w.now), w.sequence, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+max(0, d), do) }

// between draws a time.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Float64()*float64(most-least))
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
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

func (r *relay) start() {
	s := r.world.day.Settings
	s.Fleet, s.Index = r.world.size, r.index
	c, err := engine.New(s, r.world.day.Seed<<16+uint64(r.index)<<4+uint64(r.incarnation))
	if err != nil {
		r.world.err = err
		return
	}
	r.incarnation++
	r.up, r.engine, r.wakeAt, r.calls, r.retryAfter = true, c, 0, map[string]*call{}, map[string]time.Duration{}
	old, held, due, ranAt := r.order, r.pending, r.deadline, r.ranAt
	r.order, r.pending, r.deadline, r.ranAt = nil, map[string]*choice.Restored{}, map[string]time.Duration{}, map[string]time.Duration{}
	l := choice.Listing{Whole: true}
	for dest, d := range r.world.day.Dests {
		for i, x := range d.Routes {
			l.Hosts = append(l.Hosts, choice.Host{Addr: hostName(dest, i), Dest: dest, Kind: d.Kind, Zone: x.Zone, State: choice.Ready})
		}
	}
	r.step(l)
	for _, id := range old { // as the journal has them
		e := held[id]
		if e == nil {
			continue
		}
		if e.Left = due[id] - r.world.now; e.Left <= 0 {
			r.world.undelivered(id, &r.world.result.Failed)
			continue
		}
		if e.Ran {
			e.RanAgo, r.ranAt[id] = r.world.now-ranAt[id], ranAt[id]
		}
		r.pending[id], r.deadline[id], r.order = e, due[id], append(r.order, id)
		r.step(*e)
	}
}

// stop kills a relay. Its journal has what it held; calls that were out may have run.
func (r *relay) stop() {
	r.up = false
	for id := range r.calls {
		r.mayHaveRun(id)
	}
}

func (r *relay) mayHaveRun(id string) {
	if e := r.pending[id]; e != nil {
		e.Ran = true
	}
}

// step leads the decisions on, and carries out what they say.
func (r *relay) step(events ...choice.Event) {
	w := r.world
	if !r.up {
		return
	}
	w.result.Steps++
	open := map[string]*call{}
	for _, a := range r.engine.Step(w.now, events) {
		switch a := a.(type) {
		case choice.Send:
			k := w.day.Settings.Kinds[w.day.Dests[w.routes[a.Host].dest].Kind]
			c := open[a.Host]
			if w.now < r.retryAfter[a.Host] {
				w.result.RetryAfterViolations++
			}
			if c == nil || len(c.members) >= max(1, k.PerCall) {
				c = &call{}
				open[a.Host] = c
				w.after(0, func() { r.call(a.Host, c) })
			}
			c.members = append(c.members, a)
			r.calls[a.ID] = c
			if e := r.pending[a.ID]; e != nil {
				if e.Attempts, e.Timeout = e.Attempts+1, a.Timeout; !e.Ran {
					r.ranAt[a.ID] = w.now
				}
				if !e.Ran {
					e.RanZone = w.routes[a.Host].Zone
				}
			}
		case choice.Refuse:
			delete(r.pending, a.ID)
			w.undelivered(a.ID, &w.result.Refused)
		case choice.Fail:
			delete(r.pending, a.ID)
			w.undelivered(a.ID, &w.result.Failed)
		case choice.Cancel:
			if c := r.calls[a.ID]; c != nil {
				w.after(0, func() { r.callEnded(c, "", choice.Cancelled, w.now, 0) })
			}
		case choice.Tell:
			r.sendGossip(a)
		case choice.Wake:
			r.wake(a.After)
		}
	}
}

// wake sets the one timer, unless it runs out sooner.
func (r *relay) wake(after time.Duration) {
	w := r.world
	at := w.now + max(after, 0)
	if r.wakeAt > w.now && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	life := r.incarnation
	w.at(at, func() {
		if r.incarnation == life && r.wakeAt == at {
			r.wakeAt = 0
			r.step(choice.Woken{})
		}
	})
}

// sendGossip carries a note, late, twice or not at all.
func (r *relay) sendGossip(t choice.Tell) {
	w := r.world
	if len(t.Note) > 256 {
		w.err = fmt.Errorf("lab: a note of %d bytes", len(t.Note))
	}
	for copies := 1; copies > 0; copies-- {
		if w.random.Float64() < w.day.LossRate || t.To >= len(w.relays) || w.dropped(r.index, t.To) {
			return
		}
		if w.random.Float64() < w.day.DuplicateRate {
			copies++
		}
		note := t.Note
		if w.day.Corrupt != nil {
			note = w.day.Corrupt(note, w.random)
		}
		w.after(w.between(w.day.Delay[0], w.day.Delay[1]), func() {
			if to := w.relays[t.To]; to.up {
				w.result.GossipMessages++
				w.result.GossipBytes += len(note)
				to.step(choice.Heard{From: r.index, Note: note})
			}
		})
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
