package choice

// The step function and the endpoint list. The interface is in api.go, the state in state.go. Decisions:
// timeout.go and oracle/oracle.go time-outs of attempts; health.go outages, backoff and slow start; pace.go
// rate limits; admit.go admission, load shedding, outcomes and final answers; turn.go scheduling; order.go
// ordering keys; restore.go restarts of the relay. waiting.go has the queues that the decisions use.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/choice/oracle"
)

const (
	expiryMarginTicks = 4   // ticks by which a final answer precedes the deadline
	wakesPerTarget    = 200 // wake-ups without other events within the shortest latency target, at most
	// From largeFleet relays on, each starts at a unit whose rate is not listed with its share of
	// initialRateGuess, in calls a second: a burst of first calls of all relays could exhaust a limit on
	// which refused calls count.
	largeFleet, initialRateGuess = 16, 15.0
)

// New returns a Chooser for one relay, or an error if the settings are invalid. The seed determines all
// random choices.
func New(cfg Settings, seed uint64) (*Chooser, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("choice: settings: %w", err)
	}
	chooser := &Chooser{cfg: cfg, messages: map[string]*message{}, destinations: map[int]*destination{},
		hosts: map[string]*endpoint{}, keyOrders: map[string]*keyOrder{},
		rand: rand.New(rand.NewPCG(seed, 0)), pooledLatencies: oracle.New(0, restartCost),
		watchAt: never, nextGrantExpiry: never}
	if !cfg.Subscribe {
		chooser.subscribeAt = -1
	}
	chooser.retrySuccess = slices.Repeat([]float64{0.5}, max(1, len(cfg.Kinds)))
	chooser.deriveSettings()
	chooser.initOrders()
	return chooser, nil
}

// Step applies the events in their order, then makes all decisions that are possible at the time now, and
// returns the actions to carry out.
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

// applyEvents sets the current time, which never decreases, and applies the events to the state.
func (c *Chooser) applyEvents(now time.Duration, events []Event) {
	c.now, c.actions = max(c.now, now), nil
	c.returnExpiredGrants()
	for _, event := range events {
		switch event := event.(type) {
		case Arrival:
			c.admit(event)
		case Restored:
			c.restore(event)
		case Unwell:
			c.applyUnwell(event)
		case Result:
			c.applyResult(event)
		case Withdrawn:
			if msg := c.messages[event.ID]; msg != nil && !msg.finished {
				c.finish(msg)
			}
		case Listing:
			c.applyListing(event)
		case Retuned:
			c.applySettings(event.Settings)
		case Told:
			c.applyWait(event)
		case Granted:
			c.applyGrant(event)
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

// emit appends an action to the result of the Step.
func (c *Chooser) emit(action Action) { c.actions = append(c.actions, action) }

func (c *Chooser) logf(format string, args ...any) { c.emit(Log{fmt.Sprintf(format, args...)}) }

// applyListing updates the hosts by the endpoint list.
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
		c.applyHost(host, entry)
	}
	c.prunable = slices.DeleteFunc(c.prunable, func(dest *destination) bool {
		dest.listedPrunable = !c.prune(dest)
		return !dest.listedPrunable
	})
}

// applyHost updates a host, nil if it is new, by its entry in the endpoint list.
func (c *Chooser) applyHost(host *endpoint, entry Host) {
	dest := c.destination(entry.Dest)
	c.updateRateLimits(dest) // a new unit starts with the tokens that it has now
	if host == nil {
		host = c.newHost(dest, entry)
	}
	if c.markDirty(host.dest); entry.State == Gone {
		c.markPrunable(host.dest)
	}
	if host.Host = entry; c.cfg.Listed && entry.State == Ready {
		if host.unit.listedRate = entry.Rate; host.unit.rateLimit == 0 {
			host.unit.rateLimit = entry.Rate // the limit of the fleet bounds that of each relay
		}
	}
}

// markPrunable puts a destination on the list of those that may have hosts to remove.
func (c *Chooser) markPrunable(dest *destination) {
	c.markDirty(dest)
	if !dest.listedPrunable {
		dest.listedPrunable, c.prunable = true, append(c.prunable, dest)
	}
}

// prune removes the hosts of a destination that have left the list, and the destination once it has none. It
// reports whether nothing is left to remove.
func (c *Chooser) prune(dest *destination) (done bool) {
	dest.hosts = slices.DeleteFunc(dest.hosts, func(host *endpoint) bool {
		// A host that may return keeps its retry-after and its health.
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
	gone := func(host *endpoint) bool { return host.State == Gone }
	return len(dest.hosts) > 0 && !slices.ContainsFunc(dest.hosts, gone)
}

// destination returns a destination, a new one if there is none with this number.
func (c *Chooser) destination(id int) *destination {
	dest := c.destinations[id]
	if dest == nil {
		dest = c.newDestination(id)
		c.destinations[id] = dest
		c.markPrunable(dest)
	}
	return dest
}
