package placement

import (
	"fmt"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// host is a store machine.
type host struct {
	name, addr string
	id         string
	up, frozen bool
	removed    bool          // for good
	retired    bool          // by order
	lostUntil  time.Duration // counts as lost until then; never while it is down
	started    time.Duration

	adopted, swept  int64
	writes          uint64 // a bit for each write
	known           *turnstore.Placement
	deliveries      []delivery
	registeredAt    time.Duration
	registeredSweep int64

	pulled            map[string]bool // peers tried in the present phase, with success or without
	pulledBefore      map[string]bool // peers pulled from under any generation
	sweepPhase        int64           // generation and joint or stable, of the present sweep
	pullFrom          string          // peer of the pull in progress until pullEnds
	pullEnds          time.Duration
	retryAt           time.Duration
	unresponsiveUntil map[string]time.Duration // peers that did not respond
}

type delivery struct {
	at        time.Duration
	placement *turnstore.Placement
}

func (m *simulation) wipe(h *host) {
	m.created++
	if m.fault != wipedStoreKeepsIdentity || h.id == "" {
		delete(m.hostsByID, h.id)
		h.id = fmt.Sprintf("%s.%d", h.name, m.created)
	}
	m.hostsByID[h.id] = h
	h.writes, h.pulledBefore, h.unresponsiveUntil, h.adopted, h.swept = 0, map[string]bool{}, map[string]time.Duration{}, 0, 0
}

// add starts a new machine. It does not count as lost unless it succeeds another.
func (m *simulation) add(name string) *host {
	m.created++
	h := &host{name: name, addr: fmt.Sprintf("a%d:1", m.created)}
	if name == "" {
		h.name = fmt.Sprintf("s%d", m.created)
	}
	m.hosts = append(m.hosts, h)
	m.wipe(h)
	m.start(h)
	return h
}

func (m *simulation) start(h *host) {
	h.up, h.frozen, h.started, h.known, h.deliveries, h.registeredSweep = true, false, m.now, nil, nil, -1
	h.pulled, h.sweepPhase, h.pullFrom = nil, 0, ""
	m.logEvent("%s up as %s", h.name, h.id)
	m.deliverPlacement(h)
}

// stop ends a process; a registration of it may still be in transit for long.
func (m *simulation) stop(h *host) {
	if h.up && m.rng.IntN(4) == 0 {
		m.inTransit = append(m.inTransit, message{m.now + m.duration(step, 8*time.Second), m.registration(h)})
	}
	h.up, h.frozen = false, false
}

// remove removes a machine for good, with its disk.
func (m *simulation) remove(h *host) {
	m.stop(h)
	h.removed = true
	delete(m.hostsByID, h.id)
}

func (m *simulation) deliverPlacement(h *host) {
	if m.current != nil {
		h.deliveries = append(h.deliveries, delivery{m.now + m.duration(20*time.Millisecond, m.maxDelivery), m.current})
	}
}

func (m *simulation) registration(h *host) Registration {
	return Registration{Store: turnstore.Store{ID: h.id, Name: h.name, Addr: h.addr, Zone: "z"},
		Generation: max(h.adopted, h.swept), SweptGeneration: h.swept}
}

func (h *host) isUp() bool { return h.up && !h.frozen }

// stepHost simulates a step of one store.
func (m *simulation) stepHost(store *host) {
	if !store.isUp() {
		return
	}
	for len(store.deliveries) > 0 && store.deliveries[0].at <= m.now {
		delivered := store.deliveries[0].placement
		store.deliveries = store.deliveries[1:]
		if store.known == nil || delivered.Generation > store.known.Generation ||
			delivered.Generation == store.known.Generation && len(delivered.New) == 0 {
			store.known, store.adopted = delivered, max(store.adopted, delivered.Generation)
		}
	}
	every := registerInterval
	if store.known == nil || !containsStore(store.known.Stores(), store.id) {
		every = unplacedRegisterInterval
	}
	if m.now-store.registeredAt >= every || store.swept != store.registeredSweep {
		store.registeredAt, store.registeredSweep = m.now, store.swept
		m.inTransit = append(m.inTransit, message{m.now + m.duration(5*time.Millisecond, 150*time.Millisecond), m.registration(store)})
	}
	m.sweep(store)
}
