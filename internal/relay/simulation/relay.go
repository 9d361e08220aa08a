package simulation

import (
	"fmt"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/engine"
)

// relay is a simulated relay of the fleet.
type relay struct {
	world       *world
	index       int
	incarnation int // number of its starts
	up          bool
	engine      *engine.Core
	wakeAt      time.Duration // of the timer; 0 if it is not set
	calls       map[string]*call
	retryAfter  map[string]time.Duration    // until when, by route
	pending     map[string]*choice.Restored // by message: what its journal has of it
	order       []string                    // of pending messages' arrival; some are complete
	deadline    map[string]time.Duration
	ranAt       map[string]time.Duration // by message: when the first attempt that may have run was sent
}

// call is a call in flight, for one message or several.
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
	r.order, r.pending = nil, map[string]*choice.Restored{}
	r.deadline, r.ranAt = map[string]time.Duration{}, map[string]time.Duration{}
	l := choice.Listing{Whole: true}
	for dest, d := range r.world.day.Dests {
		for i, x := range d.Routes {
			l.Hosts = append(l.Hosts, choice.Host{Addr: hostName(dest, i), Dest: dest, Kind: d.Kind, Zone: x.Zone, State: choice.Ready})
		}
	}
	r.step(l)
	for _, id := range old { // replay the journal
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

// stop kills a relay. Its journal keeps the pending messages; calls in flight may have run.
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

// step passes events to the engine and executes its actions.
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
			r.send(a, open)
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

// send adds a message to an open call to its host, or to a new one if there is none or it is full.
func (r *relay) send(a choice.Send, open map[string]*call) {
	w := r.world
	kind := w.day.Settings.Kinds[w.day.Dests[w.routes[a.Host].dest].Kind]
	c := open[a.Host]
	if w.now < r.retryAfter[a.Host] {
		w.result.RetryAfterViolations++
	}
	if c == nil || len(c.members) >= max(1, kind.PerCall) {
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
}

// wake sets the relay's timer, unless it is set to an earlier time.
func (r *relay) wake(after time.Duration) {
	w := r.world
	at := w.now + max(after, 0)
	if r.wakeAt > w.now && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	incarnation := r.incarnation
	w.at(at, func() {
		if r.incarnation == incarnation && r.wakeAt == at {
			r.wakeAt = 0
			r.step(choice.Woken{})
		}
	})
}

// sendGossip delivers a gossip message with a delay, possibly more than once or not at all.
func (r *relay) sendGossip(t choice.Tell) {
	w := r.world
	if len(t.Note) > 256 {
		w.err = fmt.Errorf("simulation: a gossip message of %d bytes", len(t.Note))
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
