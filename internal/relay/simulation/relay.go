package simulation

import (
	"fmt"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/engine"
)

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

// call is one call out.
type call struct {
	members []choice.Send
	done    bool
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
