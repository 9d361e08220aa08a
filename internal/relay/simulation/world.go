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
	Limit   float64       // calls a second from all relays
	Burst   float64       // calls that it takes at once after a rest
	Debt    float64       // refused calls use the limit up, to so many calls below none
	Wait    time.Duration // the least that it tells to wait
	Tells   float64       // share of the refusals that tell it
	Service time.Duration // mean
	Zone    int
}

// Dest is one destination.
type Dest struct {
	Routes []Route
	Kind   int
	Load   float64 // messages a second from all relays
}

// Trouble is something that befalls the day.
type Trouble struct {
	From, To time.Duration
	Dests    []int
	Down     bool    // calls are not answered, or find no connection where Shut is set
	Shut     bool    // new connections are refused at once
	Limit    float64 // share of the limit that is left; 0 for all
	Kill     int     // so many relays end at From, and start with nothing at To
	// Mute tells which notes are lost from From to To, by the numbers of sender and receiver; nil for none.
	Mute func(from, to int) bool
}

// Day is what is played.
type Day struct {
	Relays   int
	Settings settings.Settings // Fleet and Index are filled in
	Dests    []Dest
	Troubles []Trouble
	Span     time.Duration // messages arrive so long
	Seed     uint64
	Delay    [2]time.Duration // of a note, least and most
	Lose     float64          // share of the notes
	Double   float64
	Spoil    func(note []byte, r *rand.Rand) []byte // what becomes of a note on the way; nil for nothing
	Grow     []Size                                 // the fleet's size over time; empty for Relays throughout
}

// Size says how many relays there are from a time on.
type Size struct {
	From   time.Duration
	Relays int
}

// Result is what was counted.
type Result struct {
	Offered, InTime, Late, Refused, Failed int // messages
	Worth, Asked                           float64
	Calls, Over, Told                      int // calls that reached a destination; refused above a limit; told to wait
	Notes, NoteBytes                       int // delivered
	Fell                                   int // routes that fell over when cold
	Waits, Falls                           int // rules broken: calls within a told wait; routes pushed over by those that knew
	Steps                                  int
	Possible                               float64 // messages a second that limits would allow, times the span, at most what was offered
	ByDest                                 []Count
}

// Count is what one destination saw.
type Count struct{ Offered, Served, Calls, Over int }

// String gives the main counts in one line, as shares of the messages offered, of the worth asked for or of the calls.
func (r Result) String() string {
	return fmt.Sprintf("offered %d, in time %.1f%%, late %.1f%%, worth %.1f%%, calls %d, over a limit %.1f%%, note bytes for each message %.1f",
		r.Offered, 100*float64(r.InTime)/float64(max(1, r.Offered)), 100*float64(r.Late)/float64(max(1, r.Offered)), 100*r.Worth/max(1e-9, r.Asked),
		r.Calls, 100*float64(r.Over)/float64(max(1, r.Calls)), float64(r.NoteBytes)/float64(max(1, r.Offered)))
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(e any)   { *a = append(*a, e.(event)) }
func (a *agenda) Pop() any {
	old := *a
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*a = old[:len(old)-1]
	return e
}

// world is a day under way.
type world struct {
	day    Day
	now    time.Duration
	agenda agenda
	order  uint64
	rand   *rand.Rand
	relays []*relay
	size   int
	routes map[string]*route
	msgs   map[string]*message
	next   int
	res    Result
	err    error
}

// relay is one relay of the fleet.
type relay struct {
	w      *world
	index  int
	life   int // counts its starts; 0 while it is down
	up     bool
	core   *engine.Core
	wakeAt time.Duration // the timer; 0 if it is not running
	calls  map[string]*call
	waits  map[string]time.Duration    // told, by route
	held   map[string]*choice.Restored // what its journal would have of each message
	order  []string                    // of those held, as they came; some are over
	due    map[string]time.Duration
	ranAt  map[string]time.Duration // the first attempt that may have run went out
}

type message struct {
	id    string
	class int
	dest  int
	born  time.Duration
	over  bool
}

// call is one call out.
type call struct {
	members []choice.Send
	over    bool
}

// Play plays a day.
func Play(d Day) (Result, error) {
	w := &world{day: d, rand: rand.New(rand.NewPCG(d.Seed, 1)), routes: map[string]*route{}, msgs: map[string]*message{}}
	w.res.ByDest = make([]Count, len(d.Dests))
	w.size = d.Relays
	most := d.Relays
	for _, s := range d.Grow {
		most = max(most, s.Relays)
	}
	w.makeRoutes()
	for i := range most {
		r := &relay{w: w, index: i}
		w.relays = append(w.relays, r)
		if i < d.Relays {
			r.start()
		}
	}
	for _, s := range d.Grow {
		w.at(s.From, func() { w.resize(s.Relays) })
	}
	for _, t := range d.Troubles {
		w.plan(t)
	}
	for dest := range d.Dests {
		w.arrive(dest)
	}
	last := time.Duration(0)
	for _, c := range d.Settings.Classes {
		last = max(last, c.Deadline)
	}
	for len(w.agenda) > 0 && w.err == nil {
		e := heap.Pop(&w.agenda).(event)
		if e.at > d.Span+last+time.Second {
			break
		}
		w.now = max(w.now, e.at)
		e.do()
	}
	w.possible()
	return w.res, w.err
}

func (w *world) at(t time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, event{max(t, w.now), w.order, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+max(0, d), do) }

// between draws a time.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rand.Float64()*float64(most-least))
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rand.ExpFloat64() * float64(mean))
}

// arrive has the next message for a destination come, at a relay drawn by chance.
func (w *world) arrive(dest int) {
	load := w.day.Dests[dest].Load
	if load <= 0 {
		return
	}
	w.after(w.exponential(time.Duration(float64(time.Second)/load)), func() {
		if w.now >= w.day.Span {
			return
		}
		w.arrive(dest)
		w.next++
		m := &message{id: fmt.Sprintf("m%06d", w.next), class: w.rand.IntN(len(w.day.Settings.Classes)), dest: dest, born: w.now}
		k := w.day.Settings.Classes[m.class]
		w.res.Offered++
		w.res.ByDest[dest].Offered++
		w.res.Asked += k.Worth
		for range 10 { // the front turns to another while one is down
			if r := w.relays[w.rand.IntN(w.size)]; r.up {
				w.msgs[m.id] = m
				a := choice.Arrival{ID: m.id, Class: m.class, Dest: dest, Left: k.Deadline}
				r.held[m.id], r.due[m.id] = &choice.Restored{Arrival: a}, w.now+k.Deadline
				r.order = append(r.order, m.id)
				r.step(a)
				return
			}
		}
		w.res.Refused++
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
	s := r.w.day.Settings
	s.Fleet, s.Index = r.w.size, r.index
	c, err := engine.New(s, r.w.day.Seed<<16+uint64(r.index)<<4+uint64(r.life))
	if err != nil {
		r.w.err = err
		return
	}
	r.life++
	r.up, r.core, r.wakeAt, r.calls, r.waits = true, c, 0, map[string]*call{}, map[string]time.Duration{}
	old, held, due, ranAt := r.order, r.held, r.due, r.ranAt
	r.order, r.held, r.due, r.ranAt = nil, map[string]*choice.Restored{}, map[string]time.Duration{}, map[string]time.Duration{}
	l := choice.Listing{Whole: true}
	for dest, d := range r.w.day.Dests {
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
		if e.Left = due[id] - r.w.now; e.Left <= 0 {
			r.w.end(id, &r.w.res.Failed)
			continue
		}
		if e.Ran {
			e.RanAgo, r.ranAt[id] = r.w.now-ranAt[id], ranAt[id]
		}
		r.held[id], r.due[id], r.order = e, due[id], append(r.order, id)
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
	if e := r.held[id]; e != nil {
		e.Ran = true
	}
}

// step leads the decisions on, and carries out what they say.
func (r *relay) step(events ...choice.Event) {
	w := r.w
	if !r.up {
		return
	}
	w.res.Steps++
	open := map[string]*call{}
	for _, a := range r.core.Step(w.now, events) {
		switch a := a.(type) {
		case choice.Send:
			k := w.day.Settings.Kinds[w.day.Dests[w.routes[a.Host].dest].Kind]
			c := open[a.Host]
			if w.now < r.waits[a.Host] {
				w.res.Waits++
			}
			if c == nil || len(c.members) >= max(1, k.PerCall) {
				c = &call{}
				open[a.Host] = c
				w.after(0, func() { r.call(a.Host, c) })
			}
			c.members = append(c.members, a)
			r.calls[a.ID] = c
			if e := r.held[a.ID]; e != nil {
				if e.Attempts, e.Timeout = e.Attempts+1, a.Timeout; !e.Ran {
					r.ranAt[a.ID] = w.now
				}
				if !e.Ran {
					e.RanZone = w.routes[a.Host].Zone
				}
			}
		case choice.Refuse:
			delete(r.held, a.ID)
			w.end(a.ID, &w.res.Refused)
		case choice.Fail:
			delete(r.held, a.ID)
			w.end(a.ID, &w.res.Failed)
		case choice.Cancel:
			if c := r.calls[a.ID]; c != nil {
				w.after(0, func() { r.ended(c, "", choice.Cancelled, w.now, 0) })
			}
		case choice.Tell:
			r.tell(a)
		case choice.Wake:
			r.wake(a.After)
		}
	}
}

// wake sets the one timer, unless it runs out sooner.
func (r *relay) wake(after time.Duration) {
	w := r.w
	at := w.now + max(after, 0)
	if r.wakeAt > w.now && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	life := r.life
	w.at(at, func() {
		if r.life == life && r.wakeAt == at {
			r.wakeAt = 0
			r.step(choice.Woken{})
		}
	})
}

// tell carries a note, late, twice or not at all.
func (r *relay) tell(t choice.Tell) {
	w := r.w
	if len(t.Note) > 256 {
		w.err = fmt.Errorf("lab: a note of %d bytes", len(t.Note))
	}
	for copies := 1; copies > 0; copies-- {
		if w.rand.Float64() < w.day.Lose || t.To >= len(w.relays) || w.muted(r.index, t.To) {
			return
		}
		if w.rand.Float64() < w.day.Double {
			copies++
		}
		note := t.Note
		if w.day.Spoil != nil {
			note = w.day.Spoil(note, w.rand)
		}
		w.after(w.between(w.day.Delay[0], w.day.Delay[1]), func() {
			if to := w.relays[t.To]; to.up {
				w.res.Notes++
				w.res.NoteBytes += len(note)
				to.step(choice.Heard{From: r.index, Note: note})
			}
		})
	}
}

// muted tells whether a trouble keeps a note from its receiver.
func (w *world) muted(from, to int) bool {
	return slices.ContainsFunc(w.day.Troubles, func(t Trouble) bool {
		return t.Mute != nil && t.From <= w.now && w.now < t.To && t.Mute(from, to)
	})
}

// end ends a message undelivered.
func (w *world) end(id string, count *int) {
	if m := w.msgs[id]; m != nil && !m.over {
		m.over = true
		*count++
		delete(w.msgs, id)
	}
}

// served counts a message that a destination has taken.
func (w *world) served(id string) {
	m := w.msgs[id]
	if m == nil || m.over {
		return
	}
	m.over = true
	delete(w.msgs, id)
	w.res.ByDest[m.dest].Served++
	k := w.day.Settings.Classes[m.class]
	age := w.now - m.born
	if age <= k.Aim {
		w.res.InTime++
		w.res.Worth += k.Worth
		return
	}
	w.res.Late++
	w.res.Worth += k.Worth * max(k.LateShare, 1-(1-k.LateShare)*(age-k.Aim).Seconds()/(k.Deadline-k.Aim).Seconds())
}

// possible works out what the limits allow.
func (w *world) possible() {
	for i, d := range w.day.Dests {
		limit := 0.0
		for _, x := range d.Routes {
			limit += x.Limit * float64(max(1, w.day.Settings.Kinds[d.Kind].PerCall))
		}
		w.res.Possible += math.Min(limit*w.day.Span.Seconds(), float64(w.res.ByDest[i].Offered))
	}
}
