package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// The model plays the duty of placement, stores that sweep and clients that write, in steps of virtual time. Stores and
// writes are the model's (the real ones play in turnstore's courses); Plan, Hear and the groups of copies are the real
// ones. It is small, so that thousands of courses are played in seconds.

const (
	step                     = 50 * time.Millisecond
	registerInterval         = 400 * time.Millisecond // a store, again and again
	unplacedRegisterInterval = 100 * time.Millisecond // while it is not in the placement
	pullTimeout              = 700 * time.Millisecond // what a pull from a machine that says nothing takes
	unresponsiveFor          = 10 * time.Second
	sweepRetryInterval       = 100 * time.Millisecond
	reportInterval           = 200 * time.Millisecond // the head, to the other core nodes
	programCount             = 6
	never                    = time.Duration(1 << 62)
)

// fault names a defect that is planted into the model; empty for none.
type fault string

const (
	jointPhaseSkipped         fault = "the joint step is skipped"
	changeEndsUnswept         fault = "stable before the newcomers have swept"
	retiringRemovedWhileJoint fault = "a leaver may go while joint"
	wipedStoreKeepsIdentity   fault = "a wiped store counts as the copy that it was"
	sweepMissesAny            fault = "a sweep is done however many stores it missed"
	pullBeforeAdoption        fault = "a store answers a sweep before it has adopted the gen"
	initialGenerationOne      fault = "a placement founded anew begins at gen 1"
	anyUnresponsiveUnswept    fault = "any number of silent stores may be unswept"
	slowDelivery              fault = "placements are heard late, which may take long, and loses nothing"
	lateReplacement           fault = "a silent store is replaced only after twice contact"
	retirementNotExtended     fault = "a store that lost its disk while it was emptied needs a new order"
	noTakeoverGrace           fault = "silence that another head has measured counts before this one has listened"
)

// host is a store machine.
type host struct {
	name, addr string
	id         string
	up, frozen bool
	removed    bool          // for good
	retired    bool          // to be emptied
	lostUntil  time.Duration // counts as lost until then; never: while it is down
	started    time.Duration

	adopted, swept  int64
	writes          uint64 // writes, a bit for each
	known           *turnstore.Placement
	deliveries      []delivery
	registeredAt    time.Duration
	registeredSweep int64

	pulled            map[string]bool // peers, under sweeping
	pulledBefore      map[string]bool // peers that it has pulled from under any gen
	sweepPhase        int64           // the phase of a gen
	pullFrom          string          // that it pulls from until pulls
	pullEnds          time.Duration
	retryAt           time.Duration            // it tries again then
	unresponsiveUntil map[string]time.Duration // peers that said nothing, until then
}

type delivery struct {
	at time.Duration
	p  *turnstore.Placement
}

type message struct {
	at time.Duration
	r  Registration
}

type turnWrite struct {
	program int
	acked   bool
}

type simulation struct {
	fault             fault
	rng               *rand.Rand
	faultTolerance    int
	catchUp           time.Duration
	timings           Timings
	maxPull           time.Duration // a pull takes at most so long
	maxDelivery       time.Duration // a placement is heard within
	now               time.Duration
	hosts             []*host
	writes            []turnWrite
	programWrites     [programCount]uint64 // the writes of each program
	current           *turnstore.Placement
	replicaSetCache   map[replicaSetKey][]turnstore.ReplicaSet // computed before
	previous          *turnstore.Placement                     // what fronts that lag go by
	previousUntil     time.Duration                            // until then
	tookOverAt        time.Duration
	generation        int64
	generationSince   time.Duration // it was seen first
	stores            map[string]StoreStatus
	inherited         Observations           // what this head was told by the one before it
	reportRand        *rand.Rand             // which reports of the head are lost
	targetRand        *rand.Rand             // whether a loss hits a store that is being emptied
	lastReport        Observations           // the last that the other core nodes have of the head
	referenceStores   map[string]StoreStatus // what a head that never changes would have heard
	retired           map[string]bool
	departures        Departures // as this head saw it
	inTransit         []message
	created           int
	hostsByID         map[string]*host // that are there
	events            []string
	violation         string
	jointSince        time.Duration // the joint phase that is under way
	longestJoint      time.Duration // joint phase
	changes           int
	longestNoMajority time.Duration // longest without a majority
	noMajoritySince   time.Duration // since then, 0: not
}

func newSimulation(seed uint64, fault fault, stores, faultTolerance int, contact, catchUp, maxPull time.Duration) *simulation {
	m := &simulation{fault: fault, rng: rand.New(rand.NewPCG(seed, 3)), faultTolerance: faultTolerance, catchUp: catchUp, maxPull: maxPull, maxDelivery: 300 * time.Millisecond,
		timings: DefaultTimings(contact), stores: map[string]StoreStatus{}, retired: map[string]bool{}, hostsByID: map[string]*host{},
		reportRand: rand.New(rand.NewPCG(seed, 7)), targetRand: rand.New(rand.NewPCG(seed, 11)), departures: Departures{}, referenceStores: map[string]StoreStatus{}}
	if fault == pullBeforeAdoption || fault == slowDelivery {
		m.maxDelivery = 3 * time.Second
	}
	switch fault {
	case lateReplacement:
		m.timings.FailureTimeout = m.timings.RemovalTimeout
	case noTakeoverGrace:
		m.timings.TakeoverGrace = 0
	}
	for range stores {
		m.add("")
	}
	return m
}

func (m *simulation) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)+1))
}

func (m *simulation) logEvent(format string, args ...any) {
	m.events = append(m.events, fmt.Sprintf("%7d  %s", m.now.Milliseconds(), fmt.Sprintf(format, args...)))
}

func (m *simulation) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
		m.logEvent("! %s", m.violation)
	}
}

func (m *simulation) timeline() string {
	return strings.Join(m.events[max(0, len(m.events)-60):], "\n")
}

// add starts a new machine; it counts as lost for a while only where it succeeds another.
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

func (m *simulation) wipe(h *host) {
	m.created++
	if m.fault != wipedStoreKeepsIdentity || h.id == "" {
		delete(m.hostsByID, h.id)
		h.id = fmt.Sprintf("%s.%d", h.name, m.created)
	}
	m.hostsByID[h.id] = h
	h.writes, h.pulledBefore, h.unresponsiveUntil, h.adopted, h.swept = 0, map[string]bool{}, map[string]time.Duration{}, 0, 0
}

func (m *simulation) start(h *host) {
	h.up, h.frozen, h.started, h.known, h.deliveries, h.registeredSweep = true, false, m.now, nil, nil, -1
	h.pulled, h.sweepPhase, h.pullFrom = nil, 0, ""
	m.logEvent("%s up as %s", h.name, h.id)
	m.deliverPlacement(h)
}

// stop ends a process; a registration may be under way for long.
func (m *simulation) stop(h *host) {
	if h.up && m.rng.IntN(4) == 0 {
		m.inTransit = append(m.inTransit, message{m.now + m.duration(step, 8*time.Second), m.registration(h)})
	}
	h.up, h.frozen = false, false
}

// remove takes a machine away for good, with its disk.
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
	return Registration{Store: turnstore.Store{ID: h.id, Name: h.name, Addr: h.addr, Zone: "z"}, Generation: max(h.adopted, h.swept), SweptGeneration: h.swept}
}

func (h *host) isUp() bool { return h.up && !h.frozen }

func (m *simulation) host(id string) *host { return m.hostsByID[id] }

// countLost counts the machines that are lost.
func (m *simulation) countLost() (n int) {
	for _, h := range m.hosts {
		if h.lostUntil > m.now {
			n++
		}
	}
	return n
}

// run plays until a time.
func (m *simulation) run(until time.Duration, inject func()) {
	for ; m.now < until && m.violation == ""; m.now += step {
		if inject != nil {
			inject()
		}
		for _, h := range m.hosts {
			m.stepHost(h)
		}
		m.stepHead()
		m.write()
		m.check()
	}
}

// stepHost is a step of one store.
func (m *simulation) stepHost(store *host) {
	if !store.isUp() {
		return
	}
	for len(store.deliveries) > 0 && store.deliveries[0].at <= m.now {
		p := store.deliveries[0].p
		store.deliveries = store.deliveries[1:]
		if store.known == nil || p.Generation > store.known.Generation || p.Generation == store.known.Generation && len(p.New) == 0 {
			store.known, store.adopted = p, max(store.adopted, p.Generation)
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

func containsStore(list []turnstore.Store, id string) bool {
	return slices.ContainsFunc(list, func(s turnstore.Store) bool { return s.ID == id })
}

// sweep is as turnstore's: peer after peer; what was pulled under a gen is not pulled again.
func (m *simulation) sweep(store *host) {
	placement := store.known
	if placement == nil || store.swept >= placement.Generation || placement.Generation == 1 || !containsStore(placement.New, store.id) && (len(placement.New) > 0 || !containsStore(placement.Old, store.id)) {
		store.pullFrom = ""
		return
	}
	if phase := 2*placement.Generation + int64(min(1, len(placement.New))); store.sweepPhase != phase {
		store.sweepPhase, store.pulled, store.pullFrom, store.retryAt = phase, map[string]bool{}, "", 0
	}
	if store.pullFrom != "" {
		if m.now < store.pullEnds {
			return
		}
		if m.pull(store, placement, store.pullFrom) {
			store.pulled[store.pullFrom] = true
		} else {
			store.pulled[store.pullFrom] = false
			store.unresponsiveUntil[store.pullFrom] = m.now + unresponsiveFor
		}
		store.pullFrom = ""
	}
	if m.now < store.retryAt {
		return
	}
	if peer := m.nextPeer(store, placement); peer != "" {
		took := m.duration(10*time.Millisecond, m.maxPull)
		if store.pulledBefore[peer] { // most of it is here
			took = min(took, 30*time.Millisecond)
		}
		switch peerHost := m.host(peer); {
		case peerHost != nil && !peerHost.isUp(), peerHost == nil && m.rng.IntN(2) == 0:
			took = pullTimeout
		case peerHost == nil:
			took = 0 // refused
		}
		store.pullFrom, store.pullEnds = peer, m.now+took
		return
	}
	missed := 0
	for _, peer := range placement.Old {
		if peer.ID != store.id && !store.pulled[peer.ID] {
			missed++
			delete(store.pulled, peer.ID)
		}
	}
	if missed > m.faultTolerance && m.fault != sweepMissesAny {
		store.retryAt = m.now + sweepRetryInterval
		return
	}
	store.swept = placement.Generation
	m.logEvent("%s has swept gen %d, missed %d", store.id, placement.Generation, missed)
}

// nextPeer gives the one to pull from: those that said nothing a moment ago come last, and not at all where they are
// not needed.
func (m *simulation) nextPeer(store *host, placement *turnstore.Placement) string {
	remaining := 0
	for _, peer := range placement.Old {
		if peer.ID != store.id && !store.pulled[peer.ID] {
			remaining++
		}
	}
	for _, silent := range []bool{false, true} {
		for _, peer := range placement.Old {
			if _, tried := store.pulled[peer.ID]; peer.ID != store.id && !tried && (store.unresponsiveUntil[peer.ID] > m.now) == silent && (!silent || remaining > m.faultTolerance) {
				return peer.ID
			}
		}
	}
	return ""
}

func (m *simulation) pull(store *host, placement *turnstore.Placement, from string) bool {
	peer := m.host(from)
	if peer == nil || !peer.isUp() || peer.adopted < placement.Generation && m.fault != pullBeforeAdoption {
		return false
	}
	store.pulledBefore[from] = true
	for program := range programCount {
		for _, replicas := range m.replicaSetsUnder(placement, program) {
			if containsStore(replicas, store.id) {
				store.writes |= peer.writes & m.programWrites[program]
			}
		}
	}
	return true
}

func programKey(program int) string { return fmt.Sprint("program-", program) }

// stepHead hears registrations and plans.
func (m *simulation) stepHead() {
	sort.SliceStable(m.inTransit, func(i, j int) bool { return m.inTransit[i].at < m.inTransit[j].at })
	for len(m.inTransit) > 0 && m.inTransit[0].at <= m.now {
		Register(m.stores, m.inTransit[0].r, m.now, m.timings)
		Register(m.referenceStores, m.inTransit[0].r, m.now, m.timings)
		m.inTransit = m.inTransit[1:]
	}
	if m.now%(100*time.Millisecond) != 0 {
		return
	}
	if m.current != nil && m.current.Generation != m.generation {
		m.generation, m.generationSince = m.current.Generation, m.now
	}
	in := Input{Now: m.now, TookOverAt: m.tookOverAt, Inherited: m.inherited, GenerationSince: m.inherited.GenerationSince(m.generation, max(m.tookOverAt, m.generationSince)), FaultTolerance: m.faultTolerance,
		Current: m.current, Stores: m.stores, Retired: m.retired, Departures: m.departures}
	m.checkNotCountedFailed(&in)
	if m.now%reportInterval == 0 && m.reportRand.IntN(4) > 0 {
		m.lastReport = in.Observe(m.timings)
	}
	if m.fault != retirementNotExtended {
		for _, store := range LostWhileRetiring(in) {
			m.retired[store.ID] = true
			m.logEvent("%s is to be emptied as well", store.ID)
		}
	}
	next := m.plan(in)
	if next == nil {
		return
	}
	if m.fault == jointPhaseSkipped && len(next.New) > 0 {
		next.Old, next.New = next.New, nil
	}
	switch {
	case m.current == nil:
	case len(next.New) > 0 && len(m.current.New) == 0:
		m.jointSince = m.now
		m.changes++
	case len(next.New) == 0:
		m.longestJoint = max(m.longestJoint, m.now-m.jointSince)
	}
	m.previous, m.previousUntil = m.current, m.now+m.duration(0, m.maxDelivery+200*time.Millisecond)
	m.departures.Record(m.current, next, m.retired, m.now)
	m.current = next
	m.logEvent("gen %d %s > %s", next.Generation, storeIDs(next.Old), storeIDs(next.New))
	for _, store := range m.hosts {
		if store.up {
			m.deliverPlacement(store)
		}
	}
}

// changeHead takes the duty over, with the last report of the one before it that has come.
func (m *simulation) changeHead() {
	m.stores, m.tookOverAt, m.inherited, m.departures = map[string]StoreStatus{}, m.now, m.lastReport, Departures{}
	m.logEvent("another head")
}

// checkNotCountedFailed: no store is counted silent that a head which never changes would just have heard.
func (m *simulation) checkNotCountedFailed(in *Input) {
	if in.Current == nil {
		return
	}
	for _, store := range in.Current.Stores() {
		status, known := m.referenceStores[store.ID]
		if known && status.ConfirmedAt > 0 && m.now-status.ConfirmedAt <= m.timings.SuspectTimeout && in.elapsed(store.ID, m.timings) > m.timings.FailureTimeout {
			m.fail("SILENT: %s, heard %v ago, is counted as silent", store.ID, m.now-status.ConfirmedAt)
		}
	}
}

func (m *simulation) plan(in Input) *turnstore.Placement {
	if m.fault == changeEndsUnswept || m.fault == anyUnresponsiveUnswept {
		in.Stores = map[string]StoreStatus{}
		for id, status := range m.stores {
			if in.Current != nil && (m.fault == changeEndsUnswept || in.Now-status.ConfirmedAt > m.timings.FailureTimeout/4) {
				status.SweptGeneration = in.Current.Generation
			}
			in.Stores[id] = status
		}
	}
	next := Plan(in, m.timings)
	if next != nil && m.current == nil && m.fault == initialGenerationOne {
		next.Generation = 1
	}
	return next
}

func storeIDs(list []turnstore.Store) string {
	var out []string
	for _, s := range list {
		out = append(out, s.ID)
	}
	return strings.Join(out, ",")
}

// replicaSets of a program by the lists in force.
func (m *simulation) replicaSets(program int) []turnstore.ReplicaSet {
	return m.replicaSetsUnder(m.current, program)
}

func (m *simulation) replicaSetsUnder(p *turnstore.Placement, program int) []turnstore.ReplicaSet {
	if m.replicaSetCache == nil || len(m.replicaSetCache) > 1000 {
		m.replicaSetCache = map[replicaSetKey][]turnstore.ReplicaSet{}
	}
	k := replicaSetKey{p, program}
	if m.replicaSetCache[k] == nil {
		m.replicaSetCache[k] = p.ReplicaSets(programKey(program))
	}
	return m.replicaSetCache[k]
}

type replicaSetKey struct {
	p       *turnstore.Placement
	program int
}

// write has a front keep a turn under the placement that it goes by; some copies do not get it.
func (m *simulation) write() {
	known := m.current
	if m.now < m.previousUntil && m.rng.IntN(2) == 0 {
		known = m.previous
	}
	oneIn := 25
	if m.now < m.previousUntil+500*time.Millisecond { // around a change of the placement
		oneIn = 2
	}
	if known == nil || len(m.writes) >= 60 || m.rng.IntN(oneIn) > 0 {
		return
	}
	number := len(m.writes)
	m.writes = append(m.writes, turnWrite{program: m.rng.IntN(programCount)})
	m.programWrites[m.writes[number].program] |= 1 << number
	groups := m.replicaSetsUnder(known, m.writes[number].program)
	accepted := map[string]bool{}
	skip := m.rng.IntN(2) == 0
	acked := true
	for _, replicas := range groups {
		acks := 0
		for _, store := range replicas {
			if _, asked := accepted[store.ID]; !asked {
				host := m.host(store.ID)
				accepts := host != nil && host.isUp() && host.adopted <= known.Generation && (!skip || m.rng.IntN(3) > 0)
				if accepted[store.ID] = accepts; accepts {
					host.writes |= 1 << number
				}
			}
			if accepted[store.ID] {
				acks++
			}
		}
		acked = acked && len(replicas) > 0 && acks >= max(replicas.Majority(), min(known.DurableReplicas, len(replicas)))
	}
	m.writes[number].acked = acked
}

// canDeny is as turnstore's: the store may say what there is not.
func (h *host) canDeny() bool {
	return h.known != nil && (containsStore(h.known.Old, h.id) || h.swept == h.known.Generation)
}

// check holds the state against the invariant of docs/design/015.
func (m *simulation) check() {
	if m.current == nil || m.countLost() > m.faultTolerance {
		m.noMajoritySince = 0
		return
	}
	m.checkMajorities()
	lists := [][]responder{m.responders(m.current.Old), m.responders(m.current.New)}
	for number, write := range m.writes {
		if write.acked {
			m.checkWrite(number, write, lists)
		}
	}
}

// responder is a store of a list as it may answer now.
type responder struct {
	live, valid bool
	has         uint64
}

func (m *simulation) responders(list []turnstore.Store) (out []responder) {
	for _, store := range list {
		if host := m.host(store.ID); host != nil {
			out = append(out, responder{host.isUp(), host.canDeny(), host.writes})
		} else {
			out = append(out, responder{})
		}
	}
	return out
}

// checkMajorities: each program has a live majority of copies by each list in force.
func (m *simulation) checkMajorities() {
	for program := range programCount {
		for _, replicas := range m.replicaSets(program) {
			running := 0
			for _, store := range replicas {
				if host := m.host(store.ID); host != nil && host.isUp() && host.adopted <= m.current.Generation {
					running++
				}
			}
			if running < replicas.Majority() {
				if m.noMajoritySince == 0 {
					m.noMajoritySince = m.now
				}
				if m.longestNoMajority = max(m.longestNoMajority, m.now-m.noMajoritySince); m.longestNoMajority > maxNoMajority {
					m.fail("STUCK for %v: program %d has %d live copies of %s", m.longestNoMajority, program, running, storeIDs(replicas))
				}
				return
			}
		}
	}
	m.noMajoritySince = 0
}

// maxNoMajority bounds how long a program may be without a majority; the invariant says not at all.
const maxNoMajority = 0

// checkWrite: a live store has it, too few can deny it, and no majority misses it.
func (m *simulation) checkWrite(number int, write turnWrite, lists [][]responder) {
	running, denied := false, true
	for _, list := range lists {
		denials := 0
		for _, store := range list {
			hasWrite := store.has>>number&1 == 1
			running = running || store.live && hasWrite
			if store.live && store.valid && !hasWrite {
				denials++
			}
		}
		denied = denied && (len(list) == 0 || denials >= max(1, len(list)-m.faultTolerance))
	}
	if !running {
		m.fail("LOST: no live store has write %d of program %d", number, write.program)
	}
	if denied {
		m.fail("LOST: write %d of program %d may be answered 404", number, write.program)
	}
	lacked := true
	for _, replicas := range m.replicaSets(write.program) {
		lacking := 0
		for _, s := range replicas {
			if h := m.host(s.ID); h != nil && h.writes>>number&1 == 0 {
				lacking++
			}
		}
		lacked = lacked && lacking >= replicas.Majority()
	}
	if lacked {
		m.fail("BUDGET: a majority of copies misses write %d of program %d", number, write.program)
	}
}
