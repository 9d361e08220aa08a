package placement

import (
	"fmt"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// host is a machine that runs a store.
type host struct {
	name, addr string
	id         string
	up, paused bool
	removed    bool          // permanently, with its disk
	retired    bool          // by an operator's order
	isReplaced bool          // its successor was started as planned
	lostUntil  time.Duration // counts as lost until this time; set to never while it is down
	started    time.Duration

	adoptedGeneration, sweptGeneration int64
	writes                             uint64 // a bit for each write
	placement                          *turnstore.Placement
	deliveries                         []delivery
	registeredAt                       time.Duration
	registeredSweptGeneration          int64 // sweptGeneration in its last registration; -1 for none

	stopRequestedAt time.Duration // SIGTERM; 0 for none
	stopPermittedAt time.Duration // when the host receives the head's permission to stop; never for none
	stopAskedAt     time.Duration // last request to the head
	leftAt          time.Duration // when it learns that it is not in the placement; never for none
	stopped         func()        // called at its end
	lastDecision    StopDecision

	pulled            map[string]bool // peers tried in the current phase: whether the pull succeeded
	pulledBefore      map[string]bool // peers from which it has pulled under any generation
	sweepPhase        int64           // of the current sweep: 2 * generation, plus 1 while joint
	pullFrom          string          // peer from which it pulls until pullEnds; empty for none
	pullEnds          time.Duration
	retryAt           time.Duration
	unresponsiveUntil map[string]time.Duration // time until which a peer counts as unresponsive
}

// delivery is a placement on its way to a store.
type delivery struct {
	deliveredAt time.Duration
	placement   *turnstore.Placement
}

// wipe empties the disk of a host, which gives it a new identity.
func (m *simulation) wipe(h *host) {
	m.identitiesCreated++
	if m.bug != wipedStoreKeepsIdentity || h.id == "" {
		delete(m.hostsByID, h.id)
		h.id = fmt.Sprintf("%s.%d", h.name, m.identitiesCreated)
	}
	m.hostsByID[h.id] = h
	h.writes, h.pulledBefore, h.unresponsiveUntil, h.adoptedGeneration, h.sweptGeneration =
		0, map[string]bool{}, map[string]time.Duration{}, 0, 0
}

// add starts a new machine, and names it if the name is empty. It does not count as lost unless it succeeds another one.
func (m *simulation) add(name string) *host {
	m.identitiesCreated++
	h := &host{name: name, addr: fmt.Sprintf("a%d:1", m.identitiesCreated)}
	if name == "" {
		h.name = fmt.Sprintf("s%d", m.identitiesCreated)
	}
	m.hosts = append(m.hosts, h)
	m.wipe(h)
	m.start(h)
	return h
}

func (m *simulation) start(h *host) {
	h.up, h.paused, h.started, h.placement, h.deliveries, h.registeredSweptGeneration = true, false, m.now, nil, nil, -1
	h.pulled, h.sweepPhase, h.pullFrom, h.stopRequestedAt, h.stopped = nil, 0, "", 0, nil
	m.logEvent("%s up as %s", h.name, h.id)
	m.deliverPlacement(h)
}

// stop ends the process of a store. One of its registrations may remain in transit for up to 8 s.
func (m *simulation) stop(h *host) {
	if h.up && m.rng.IntN(4) == 0 {
		m.inTransit = append(m.inTransit, sentRegistration{arrivesAt: m.now + m.duration(step, 8*time.Second), registration: m.registration(h)})
	}
	h.up, h.paused, h.stopRequestedAt = false, false, 0
}

// remove removes a machine permanently, with its disk.
func (m *simulation) remove(h *host) {
	m.stop(h)
	h.removed = true
	delete(m.hostsByID, h.id)
}

func (m *simulation) deliverPlacement(h *host) {
	if m.currentPlacement != nil {
		h.deliveries = append(h.deliveries, delivery{m.now + m.duration(20*time.Millisecond, m.maxDelivery), m.currentPlacement})
	}
}

func (m *simulation) registration(h *host) Registration {
	return Registration{Store: turnstore.Store{ID: h.id, Name: h.name, Addr: h.addr, Zone: "z"},
		Generation: max(h.adoptedGeneration, h.sweptGeneration), SweptGeneration: h.sweptGeneration}
}

func (h *host) isUp() bool { return h.up && !h.paused }

// stepHost simulates one step of a store.
func (m *simulation) stepHost(store *host) {
	if store.stopRequestedAt > 0 && m.now-store.stopRequestedAt >= gracePeriod { // it was paused
		m.endStopped(store)
	}
	if !store.isUp() {
		return
	}
	for len(store.deliveries) > 0 && store.deliveries[0].deliveredAt <= m.now {
		delivered := store.deliveries[0].placement
		store.deliveries = store.deliveries[1:]
		if store.placement == nil || delivered.Generation > store.placement.Generation ||
			delivered.Generation == store.placement.Generation && len(delivered.New) == 0 {
			store.placement, store.adoptedGeneration = delivered, max(store.adoptedGeneration, delivered.Generation)
		}
	}
	every := registerInterval
	if store.placement == nil || !turnstore.ContainsStore(store.placement.Stores(), store.id) {
		every = unplacedRegisterInterval
	}
	hasLeft := store.stopRequestedAt > 0 && m.now >= store.leftAt
	if !hasLeft && (m.now-store.registeredAt >= every || store.sweptGeneration != store.registeredSweptGeneration) {
		store.registeredAt, store.registeredSweptGeneration = m.now, store.sweptGeneration
		m.inTransit = append(m.inTransit, sentRegistration{
			arrivesAt: m.now + m.duration(5*time.Millisecond, 150*time.Millisecond), registration: m.registration(store)})
	}
	m.sweep(store)
	if store.stopRequestedAt > 0 {
		m.stepStop(store)
	}
}

// terminate tells a store to stop; stopped is called when it has ended.
func (m *simulation) terminate(h *host, stopped func()) {
	h.stopRequestedAt, h.stopPermittedAt, h.stopAskedAt, h.leftAt, h.stopped = m.now, never, 0, never, stopped
	m.logEvent("%s gets SIGTERM", h.name)
	if m.bug == stopsAtOnce {
		h.stopPermittedAt = m.now
	}
}

// stepStop simulates a store that was told to stop: it ends once the head permits it, or when it cannot wait any longer.
func (m *simulation) stepStop(h *host) {
	timedOut := m.now-h.stopRequestedAt >= stopTimeout
	if m.now < h.stopPermittedAt && !timedOut {
		if m.now-h.stopAskedAt >= stopRequestInterval {
			h.stopAskedAt = m.now
			m.inTransit = append(m.inTransit, sentRegistration{arrivesAt: m.now + m.duration(5*time.Millisecond, 150*time.Millisecond),
				registration: m.registration(h), stopRequest: h})
		}
		return
	}
	m.longestStop = max(m.longestStop, m.now-h.stopRequestedAt)
	if timedOut {
		m.forcedStops++
	}
	m.endStopped(h)
}

// endStopped ends the process of a store that was told to stop.
func (m *simulation) endStopped(h *host) {
	m.logEvent("%s ends %v after SIGTERM", h.name, m.now-h.stopRequestedAt)
	m.stops++
	stopped := h.stopped
	m.stop(h)
	stopped()
}
