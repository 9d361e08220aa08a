// Package reference is the plain implementation of package choice: it makes the same decisions by scanning
// all queued messages in every Step, without the queues of choice. Tests compare the two action for action;
// nothing else uses it, and its decisions change only where those of choice are meant to change. It has no
// grants and no changes of settings, and does not give reasons.
//
// docs/design/002-backlog.md lists the points in which its decisions differ from those of the module before
// the queues.
package reference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	expiryMarginTicks = 4   // ticks by which a final answer precedes the deadline
	wakesPerTarget    = 200 // wake-ups without other events within the shortest latency target, at most
	// From largeFleet relays on, each starts at a unit whose rate is not listed with its share of
	// initialRateGuess, in calls a second.
	largeFleet, initialRateGuess = 16, 15.0
)

// New returns a Chooser for one relay, or an error if the settings are invalid. The seed determines all
// random choices.
func New(cfg Settings, seed uint64) (*Chooser, error) {
	c := &Chooser{cfg: cfg, minTarget: math.MaxInt64,
		messages: map[string]*message{}, destinations: map[int]*destination{},
		hosts: map[string]*endpoint{}, keyOrders: map[string]*keyOrder{},
		rand: rand.New(rand.NewPCG(seed, 0)), pooledLatencies: latencyTable{weight: 1}}
	for _, class := range cfg.Classes {
		c.maxTimeout, c.minTarget = max(c.maxTimeout, class.Aim), min(c.minTarget, class.Aim)
	}
	if !cfg.Subscribe {
		c.subscribeAt = -1
	}
	c.pooledLatencies.width = c.maxTimeout / latencyBuckets
	c.retrySuccess = slices.Repeat([]float64{0.5}, max(1, len(cfg.Kinds)))
	c.wakeInterval = max(cfg.Tick, c.minTarget/wakesPerTarget)
	return c, nil
}

// Step applies the events, then makes all decisions that are possible at the time now.
func (c *Chooser) Step(now time.Duration, events []Event) []Action {
	c.now, c.actions = now, nil
	for _, event := range events {
		switch event := event.(type) {
		case Arrival:
			c.admit(event, false)
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
		}
	}
	if c.subscribeAt >= 0 && now >= c.subscribeAt {
		c.subscribeAt = -1
		c.emit(Subscribe{})
	}
	c.releaseSettledKeys()
	c.active = slices.DeleteFunc(c.active, func(dest *destination) bool {
		dest.listedActive = len(dest.waiting) > 0 || dest.inFlight > 0
		return !dest.listedActive
	})
	c.detectUnresponsive()
	c.answerExpired()
	c.shedLoad()
	c.fillSlots()
	at := now + c.wakeInterval
	if (c.pending+c.callsInFlight > 0 || c.subscribeAt >= 0) && (c.wakeAt <= now || at < c.wakeAt) {
		c.wakeAt = at
		c.emit(Wake{After: at - now})
	}
	return c.actions
}

// emit appends an action to the result of the Step.
func (c *Chooser) emit(a Action) { c.actions = append(c.actions, a) }

// applyListing updates the hosts by the endpoint list.
func (c *Chooser) applyListing(listing Listing) {
	if listing.Failed {
		c.subscribeAt = c.now + time.Second
		return
	}
	if listing.Whole {
		for _, host := range c.hosts {
			host.State = Gone
		}
	}
	for _, entry := range listing.Hosts {
		host := c.hosts[entry.Addr]
		if host == nil && entry.State == Gone {
			continue
		}
		c.updateRateLimits(c.destination(entry.Dest))
		if host == nil {
			host = c.newHost(c.destination(entry.Dest), entry)
		}
		if host.Host = entry; c.cfg.Listed && entry.State == Ready {
			if host.unit.listedRate = entry.Rate; host.unit.rateLimit == 0 {
				host.unit.rateLimit = entry.Rate // the limit of the fleet bounds that of each relay
			}
		}
	}
	for _, dest := range c.inOrder {
		c.prune(dest)
	}
	c.inOrder = slices.DeleteFunc(c.inOrder, func(dest *destination) bool {
		idle := len(dest.hosts) == 0 && len(dest.waiting) == 0 && dest.inFlight == 0
		if idle {
			delete(c.destinations, dest.id)
		}
		return idle
	})
}

// newHost adds a host to a destination.
func (c *Chooser) newHost(dest *destination, entry Host) *endpoint {
	host := &endpoint{dest: dest, preference: c.rand.Float64()}
	c.hosts[entry.Addr], dest.hosts = host, append(dest.hosts, host)
	if entry.Kind >= 0 && entry.Kind < len(c.cfg.Kinds) {
		dest.kind, dest.retrySuccess = c.cfg.Kinds[entry.Kind], &c.retrySuccess[entry.Kind]
	}
	if dest.kind.Apart || len(dest.units) == 0 {
		unit := &healthUnit{name: entry.Addr, createdAt: c.now - time.Second, lastServed: c.now - time.Second}
		if c.cfg.Fleet >= largeFleet && !c.cfg.Listed {
			unit.rateLimit, unit.rateLimitAt = initialRateGuess/float64(c.cfg.Fleet), c.now
			unit.tokens = c.rand.Float64()
		}
		dest.units = append(dest.units, unit)
	}
	host.unit = dest.units[len(dest.units)-1]
	return host
}

// prune removes the hosts of a destination that have left the list.
func (c *Chooser) prune(dest *destination) {
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
}

// destination returns a destination, a new one if there is none with this number.
func (c *Chooser) destination(id int) *destination {
	dest := c.destinations[id]
	if dest == nil {
		dest = &destination{id: id, kind: Kind{PerCall: 1}, retrySuccess: &c.retrySuccess[0]}
		dest.latencies = latencyTable{width: c.maxTimeout / latencyBuckets, weight: 1}
		c.destinations[id] = dest
		c.inOrder = append(c.inOrder, dest)
	}
	return dest
}

func (c *Chooser) logf(format string, args ...any) { c.emit(Log{Text: fmt.Sprintf(format, args...)}) }
