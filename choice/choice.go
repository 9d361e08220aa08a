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
	expiryMarginTicks = 4   // ticks between the last own look at a message and its deadline
	wakesPerTarget    = 200 // looks without news within the shortest aim
	// In a fleet of large size a relay begins at each unit with its share of a guess, in calls a second from
	// all of them: each one's first calls are harmless, their sum shuts a unit where refused ones count.
	largeFleet, initialRateGuess = 16, 15.0
)

// New returns a Chooser for one relay. Pauses are drawn from the seed.
func New(s Settings, seed uint64) (*Chooser, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("choice: settings: %w", err)
	}
	c := &Chooser{cfg: s, messages: map[string]*message{}, destinations: map[int]*destination{},
		hosts: map[string]*endpoint{}, keyOrders: map[string]*keyOrder{},
		rand: rand.New(rand.NewPCG(seed, 0)), pooledLatencies: oracle.New(0, restartCost),
		watchAt: never, nextGrantExpiry: never}
	if !s.Subscribe {
		c.subscribeAt = -1
	}
	c.retrySuccess = slices.Repeat([]float64{0.5}, max(1, len(s.Kinds)))
	c.deriveSettings()
	c.initOrders()
	return c, nil
}

// Step takes in all that happened, then decides once. What it costs grows with the events, the actions and
// the calls out, and with the logarithm of what is held.
func (c *Chooser) Step(now time.Duration, events []Event) []Action {
	c.applyEvents(now, events)
	c.detectUnresponsive()
	c.answerExpired()
	c.shedLoad()
	c.fillSlots()
	c.emitWants()
	c.requestWake()
	return c.actions
}

// take takes in all that happened. Time that runs backwards stands still.
func (c *Chooser) applyEvents(now time.Duration, events []Event) {
	c.now, c.actions = max(c.now, now), nil
	c.returnExpiredGrants()
	for _, event := range events {
		switch e := event.(type) {
		case Arrival:
			c.admit(e)
		case Restored:
			c.restore(e)
		case Unwell:
			c.applyUnwell(e)
		case Result:
			c.applyResult(e)
		case Withdrawn:
			if msg := c.messages[e.ID]; msg != nil && !msg.finished {
				c.finish(msg)
			}
		case Listing:
			c.applyListing(e)
		case Retuned:
			c.applySettings(e.Settings)
		case Told:
			c.applyWait(e)
		case Granted:
			c.applyGrant(e)
		case Woken:
			c.wakeAt = 0
		}
	}
	if c.subscribeAt >= 0 && c.now >= c.subscribeAt {
		c.subscribeAt = -1
		c.emit(Subscribe{})
	}
	c.releaseSettledKeys()
}

func (c *Chooser) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Chooser) logf(format string, args ...any) { c.emit(Log{fmt.Sprintf(format, args...)}) }

// list takes in news of the endpoint list.
func (c *Chooser) applyListing(listing Listing) {
	if listing.Failed {
		c.subscribeAt = c.now + time.Second
		return
	}
	if listing.Whole {
		for _, host := range c.hosts {
			host.State = Gone
			c.markPrunable(host.dest)
		}
	}
	for _, entry := range listing.Hosts {
		host := c.hosts[entry.Addr]
		if host == nil && entry.State == Gone {
			continue
		}
		dest := c.destination(entry.Dest)
		c.updateRateLimits(dest) // what is new here has its tokens
		if host == nil {
			host = c.newHost(dest, entry)
		}
		if c.markDirty(host.dest); entry.State == Gone {
			c.markPrunable(host.dest)
		}
		if host.Host = entry; c.cfg.Listed && entry.State == Ready {
			if host.unit.listedRate = entry.Rate; host.unit.rateLimit == 0 {
				host.unit.rateLimit = entry.Rate // all relays together may send no more, so neither may one
			}
		}
	}
	c.prunable = slices.DeleteFunc(c.prunable, func(dest *destination) bool {
		dest.listedPrunable = !c.prune(dest)
		return !dest.listedPrunable
	})
}

// depart notes a destination with a host that may have to be forgotten.
func (c *Chooser) markPrunable(dest *destination) {
	c.markDirty(dest)
	if !dest.listedPrunable {
		dest.listedPrunable, c.prunable = true, append(c.prunable, dest)
	}
}

// prune forgets what has left of a destination, and it too in the end; it tells whether that is all there is
// to be forgotten.
func (c *Chooser) prune(dest *destination) (done bool) {
	dest.hosts = slices.DeleteFunc(dest.hosts, func(host *endpoint) bool {
		// A host that may come back keeps its wait, and what is known of its health.
		departed := host.State == Gone && host.inFlight == 0 && c.now >= host.unit.retryAfterUntil &&
			(host.unit.state == healthy || c.now-host.unit.stateSince > c.cfg.Rules.Cold)
		if departed {
			delete(c.hosts, host.Addr)
		}
		if departed && dest.kind.Apart {
			dest.units = removeElement(dest.units, host.unit)
		}
		return departed
	})
	if len(dest.hosts) == 0 && dest.queued == 0 && dest.inFlight == 0 {
		delete(c.destinations, dest.id)
		return true
	}
	return len(dest.hosts) > 0 && !slices.ContainsFunc(dest.hosts, func(host *endpoint) bool { return host.State == Gone })
}

func (c *Chooser) destination(id int) *destination {
	dest := c.destinations[id]
	if dest == nil {
		dest = c.newDestination(id)
		c.destinations[id] = dest
		c.markPrunable(dest)
	}
	return dest
}
