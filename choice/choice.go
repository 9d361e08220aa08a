package choice

// The Chooser, one Step, and the endpoint list. The interface is in api.go, plain state in state.go. The
// decisions are in files of their own: timeout.go and oracle/oracle.go time-outs; health.go outages, refusals
// and waits; pace.go rates; admit.go what is taken on, ends of attempts and final answers; turn.go what goes
// next, and where; order.go the order of keys; restore.go what outlasts a process.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/choice/oracle"
)

const (
	margin = 4   // ticks between the last own look at a message and its deadline
	glance = 200 // looks without news within the shortest aim
	// In a fleet of large size a relay begins at each unit with its share of a guess, in calls a second from
	// all of them: each one's first calls are harmless, their sum shuts a unit where refused ones count.
	large, guess = 16, 15.0
)

// New returns a Chooser for one relay. Pauses are drawn from the seed.
func New(s Settings, seed uint64) (*Chooser, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("choice: settings: %w", err)
	}
	c := &Chooser{set: s, msgs: map[string]*message{}, dests: map[int]*dest{},
		hosts: map[string]*host{}, lines: map[string]*line{},
		rand: rand.New(rand.NewPCG(seed, 0)), pool: oracle.New(0, restartCost),
		watchAt: never, lapseAt: never}
	if !s.Subscribe {
		c.askAt = -1
	}
	c.luck = slices.Repeat([]float64{0.5}, max(1, len(s.Kinds)))
	c.measure()
	c.makeOrders()
	return c, nil
}

// Step takes in all that happened, then decides once. What it costs grows with the events, the actions and
// the calls out, and with the logarithm of what is held.
func (c *Chooser) Step(now time.Duration, events []Event) []Action {
	c.take(now, events)
	c.watch()
	c.answer()
	c.shed()
	c.turn()
	c.ask()
	c.wake()
	return c.acts
}

// take takes in all that happened. Time that runs backwards stands still.
func (c *Chooser) take(now time.Duration, events []Event) {
	c.now, c.acts = max(c.now, now), nil
	c.lapse()
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			c.arrive(e)
		case Restored:
			c.restore(e)
		case Unwell:
			c.unwell(e)
		case Result:
			c.result(e)
		case Withdrawn:
			if m := c.msgs[e.ID]; m != nil && !m.over {
				c.end(m)
			}
		case Listing:
			c.list(e)
		case Retuned:
			c.retune(e.Settings)
		case Told:
			c.told(e)
		case Granted:
			c.granted(e)
		case Woken:
			c.wakeAt = 0
		}
	}
	if c.askAt >= 0 && c.now >= c.askAt {
		c.askAt = -1
		c.act(Subscribe{})
	}
	c.freeLines()
}

func (c *Chooser) act(a Action) { c.acts = append(c.acts, a) }

func (c *Chooser) log(format string, args ...any) { c.act(Log{fmt.Sprintf(format, args...)}) }

// list takes in news of the endpoint list.
func (c *Chooser) list(e Listing) {
	if e.Failed {
		c.askAt = c.now + time.Second
		return
	}
	if e.Whole {
		for _, h := range c.hosts {
			h.State = Gone
			c.depart(h.dest)
		}
	}
	for _, n := range e.Hosts {
		h := c.hosts[n.Addr]
		if h == nil && n.State == Gone {
			continue
		}
		d := c.dest(n.Dest)
		c.settle(d) // what is new here has its tokens
		if h == nil {
			h = c.newHost(d, n)
		}
		if c.touch(h.dest); n.State == Gone {
			c.depart(h.dest)
		}
		if h.Host = n; c.set.Listed && n.State == Ready {
			if h.unit.listed = n.Rate; h.unit.limit == 0 {
				h.unit.limit = n.Rate // all relays together may send no more, so neither may one
			}
		}
	}
	c.leaving = slices.DeleteFunc(c.leaving, func(d *dest) bool {
		d.leaving = !c.prune(d)
		return !d.leaving
	})
}

// depart notes a destination with a host that may have to be forgotten.
func (c *Chooser) depart(d *dest) {
	c.touch(d)
	if !d.leaving {
		d.leaving, c.leaving = true, append(c.leaving, d)
	}
}

// prune forgets what has left of a destination, and it too in the end; it tells whether that is all there is
// to be forgotten.
func (c *Chooser) prune(d *dest) (done bool) {
	d.hosts = slices.DeleteFunc(d.hosts, func(h *host) bool {
		// A host that may come back keeps its wait, and what is known of its health.
		left := h.State == Gone && h.out == 0 && c.now >= h.unit.waitUntil &&
			(h.unit.state == healthy || c.now-h.unit.since > c.set.Rules.Cold)
		if left {
			delete(c.hosts, h.Addr)
		}
		if left && d.kind.Apart {
			d.units = remove(d.units, h.unit)
		}
		return left
	})
	if len(d.hosts) == 0 && d.waits == 0 && d.out == 0 {
		delete(c.dests, d.id)
		return true
	}
	return len(d.hosts) > 0 && !slices.ContainsFunc(d.hosts, func(h *host) bool { return h.State == Gone })
}

func (c *Chooser) dest(id int) *dest {
	d := c.dests[id]
	if d == nil {
		d = c.newDest(id)
		c.dests[id] = d
		c.depart(d)
	}
	return d
}
