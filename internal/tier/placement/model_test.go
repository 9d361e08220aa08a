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
	step              = 50 * time.Millisecond
	registers         = 400 * time.Millisecond // a store, again and again
	registersUnplaced = 100 * time.Millisecond // while it is not in the placement
	silentPull        = 700 * time.Millisecond // what a pull from a machine that says nothing takes
	staysSilent       = 10 * time.Second
	sweepsAgain       = 100 * time.Millisecond
	reportsEvery      = 200 * time.Millisecond // the head, to the other core nodes
	programsDrawn     = 6
	never             = time.Duration(1 << 62)
)

// fault names a defect that is planted into the model; empty for none.
type fault string

const (
	jointSkipped    fault = "the joint step is skipped"
	stableUnswept   fault = "stable before the newcomers have swept"
	leaverEarly     fault = "a leaver may go while joint"
	wipedCounts     fault = "a wiped store counts as the copy that it was"
	missedAny       fault = "a sweep is done however many stores it missed"
	pulledUnadopted fault = "a store answers a sweep before it has adopted the gen"
	foundedAtOne    fault = "a placement founded anew begins at gen 1"
	allUnswept      fault = "any number of silent stores may be unswept"
	toldLate        fault = "placements are heard late, which may take long, and loses nothing"
	slowSilent      fault = "a silent store is replaced only after twice contact"
	orderForgotten  fault = "a store that lost its disk while it was emptied needs a new order"
	toldAtOnce      fault = "silence that another head has measured counts before this one has listened"
)

// host is a store machine.
type host struct {
	name, addr string
	id         string
	up, frozen bool
	gone       bool          // for good
	ordered    bool          // to be emptied
	lost       time.Duration // counts as lost until then; never: while it is down
	started    time.Duration

	adopted, swept int64
	has            uint64 // writes, a bit for each
	heard          *turnstore.Placement
	hears          []delivery
	registered     time.Duration
	toldSwept      int64

	pulled  map[string]bool // peers, under sweeping
	had     map[string]bool // peers that it has pulled from under any gen
	under   int64           // the phase of a gen
	peer    string          // that it pulls from until pulls
	pulls   time.Duration
	stalled time.Duration            // it tries again then
	silent  map[string]time.Duration // peers that said nothing, until then
}

type delivery struct {
	at time.Duration
	p  *turnstore.Placement
}

type message struct {
	at time.Duration
	r  Registration
}

type written struct {
	program int
	acked   bool
}

type model struct {
	fault   fault
	rng     *rand.Rand
	losses  int
	catchUp time.Duration
	timings Timings
	slowest time.Duration // a pull takes at most so long
	told    time.Duration // a placement is heard within
	now     time.Duration
	hosts   []*host
	writes  []written
	of      [programsDrawn]uint64 // the writes of each program
	place   *turnstore.Placement
	groups  map[placed][]turnstore.ReplicaSet // computed before
	before  *turnstore.Placement              // what fronts that lag go by
	beforeT time.Duration                     // until then
	since   time.Duration
	gen     int64
	genAt   time.Duration // it was seen first
	stores  map[string]StoreStatus
	handed  Observations           // what this head was told by the one before it
	reports *rand.Rand             // which reports of the head are lost
	aims    *rand.Rand             // whether a loss hits a store that is being emptied
	report  Observations           // the last that the other core nodes have of the head
	heard   map[string]StoreStatus // what a head that never changes would have heard
	retired map[string]bool
	left    Departures // as this head saw it
	mail    []message
	made    int
	ids     map[string]*host // that are there
	log     []string
	broken  string
	begun   time.Duration // the joint phase that is under way
	worst   time.Duration // joint phase
	changes int
	stuck   time.Duration // longest without a majority
	stuckAt time.Duration // since then, 0: not
}

func newModel(seed uint64, f fault, stores, losses int, contact, catchUp, slowest time.Duration) *model {
	m := &model{fault: f, rng: rand.New(rand.NewPCG(seed, 3)), losses: losses, catchUp: catchUp, slowest: slowest, told: 300 * time.Millisecond,
		timings: DefaultTimings(contact), stores: map[string]StoreStatus{}, retired: map[string]bool{}, ids: map[string]*host{},
		reports: rand.New(rand.NewPCG(seed, 7)), aims: rand.New(rand.NewPCG(seed, 11)), left: Departures{}, heard: map[string]StoreStatus{}}
	if f == pulledUnadopted || f == toldLate {
		m.told = 3 * time.Second
	}
	switch f {
	case slowSilent:
		m.timings.FailureTimeout = m.timings.RemovalTimeout
	case toldAtOnce:
		m.timings.TakeoverGrace = 0
	}
	for range stores {
		m.add("")
	}
	return m
}

func (m *model) span(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(m.rng.Int64N(int64(hi-lo)+1))
}

func (m *model) note(format string, args ...any) {
	m.log = append(m.log, fmt.Sprintf("%7d  %s", m.now.Milliseconds(), fmt.Sprintf(format, args...)))
}

func (m *model) fail(format string, args ...any) {
	if m.broken == "" {
		m.broken = fmt.Sprintf(format, args...)
		m.note("! %s", m.broken)
	}
}

func (m *model) timeline() string { return strings.Join(m.log[max(0, len(m.log)-60):], "\n") }

// add starts a new machine; it counts as lost for a while only where it succeeds another.
func (m *model) add(name string) *host {
	m.made++
	h := &host{name: name, addr: fmt.Sprintf("a%d:1", m.made)}
	if name == "" {
		h.name = fmt.Sprintf("s%d", m.made)
	}
	m.hosts = append(m.hosts, h)
	m.empty(h)
	m.start(h)
	return h
}

func (m *model) empty(h *host) {
	m.made++
	if m.fault != wipedCounts || h.id == "" {
		delete(m.ids, h.id)
		h.id = fmt.Sprintf("%s.%d", h.name, m.made)
	}
	m.ids[h.id] = h
	h.has, h.had, h.silent, h.adopted, h.swept = 0, map[string]bool{}, map[string]time.Duration{}, 0, 0
}

func (m *model) start(h *host) {
	h.up, h.frozen, h.started, h.heard, h.hears, h.toldSwept = true, false, m.now, nil, nil, -1
	h.pulled, h.under, h.peer = nil, 0, ""
	m.note("%s up as %s", h.name, h.id)
	m.tell(h)
}

// stop ends a process; a registration may be under way for long.
func (m *model) stop(h *host) {
	if h.up && m.rng.IntN(4) == 0 {
		m.mail = append(m.mail, message{m.now + m.span(step, 8*time.Second), m.registration(h)})
	}
	h.up, h.frozen = false, false
}

// take takes a machine away for good, with its disk.
func (m *model) take(h *host) {
	m.stop(h)
	h.gone = true
	delete(m.ids, h.id)
}

func (m *model) tell(h *host) {
	if m.place != nil {
		h.hears = append(h.hears, delivery{m.now + m.span(20*time.Millisecond, m.told), m.place})
	}
}

func (m *model) registration(h *host) Registration {
	return Registration{Store: turnstore.Store{ID: h.id, Name: h.name, Addr: h.addr, Zone: "z"}, Generation: max(h.adopted, h.swept), SweptGeneration: h.swept}
}

func (h *host) lives() bool { return h.up && !h.frozen }

func (m *model) by(id string) *host { return m.ids[id] }

// lostNow counts the machines that are lost.
func (m *model) lostNow() (n int) {
	for _, h := range m.hosts {
		if h.lost > m.now {
			n++
		}
	}
	return n
}

// run plays until a time.
func (m *model) run(until time.Duration, each func()) {
	for ; m.now < until && m.broken == ""; m.now += step {
		if each != nil {
			each()
		}
		for _, h := range m.hosts {
			m.act(h)
		}
		m.duty()
		m.write()
		m.check()
	}
}

// act is a step of one store.
func (m *model) act(h *host) {
	if !h.lives() {
		return
	}
	for len(h.hears) > 0 && h.hears[0].at <= m.now {
		p := h.hears[0].p
		h.hears = h.hears[1:]
		if h.heard == nil || p.Generation > h.heard.Generation || p.Generation == h.heard.Generation && len(p.New) == 0 {
			h.heard, h.adopted = p, max(h.adopted, p.Generation)
		}
	}
	every := registers
	if h.heard == nil || !in(h.heard.Stores(), h.id) {
		every = registersUnplaced
	}
	if m.now-h.registered >= every || h.swept != h.toldSwept {
		h.registered, h.toldSwept = m.now, h.swept
		m.mail = append(m.mail, message{m.now + m.span(5*time.Millisecond, 150*time.Millisecond), m.registration(h)})
	}
	m.sweep(h)
}

func in(list []turnstore.Store, id string) bool {
	return slices.ContainsFunc(list, func(s turnstore.Store) bool { return s.ID == id })
}

// sweep is as turnstore's: peer after peer; what was pulled under a gen is not pulled again.
func (m *model) sweep(h *host) {
	p := h.heard
	if p == nil || h.swept >= p.Generation || p.Generation == 1 || !in(p.New, h.id) && (len(p.New) > 0 || !in(p.Old, h.id)) {
		h.peer = ""
		return
	}
	if phase := 2*p.Generation + int64(min(1, len(p.New))); h.under != phase {
		h.under, h.pulled, h.peer, h.stalled = phase, map[string]bool{}, "", 0
	}
	if h.peer != "" {
		if m.now < h.pulls {
			return
		}
		if m.pull(h, p, h.peer) {
			h.pulled[h.peer] = true
		} else {
			h.pulled[h.peer] = false
			h.silent[h.peer] = m.now + staysSilent
		}
		h.peer = ""
	}
	if m.now < h.stalled {
		return
	}
	if peer := m.nextPeer(h, p); peer != "" {
		took := m.span(10*time.Millisecond, m.slowest)
		if h.had[peer] { // most of it is here
			took = min(took, 30*time.Millisecond)
		}
		switch at := m.by(peer); {
		case at != nil && !at.lives(), at == nil && m.rng.IntN(2) == 0:
			took = silentPull
		case at == nil:
			took = 0 // refused
		}
		h.peer, h.pulls = peer, m.now+took
		return
	}
	missed := 0
	for _, peer := range p.Old {
		if peer.ID != h.id && !h.pulled[peer.ID] {
			missed++
			delete(h.pulled, peer.ID)
		}
	}
	if missed > m.losses && m.fault != missedAny {
		h.stalled = m.now + sweepsAgain
		return
	}
	h.swept = p.Generation
	m.note("%s has swept gen %d, missed %d", h.id, p.Generation, missed)
}

// nextPeer gives the one to pull from: those that said nothing a moment ago come last, and not at all where they are
// not needed.
func (m *model) nextPeer(h *host, p *turnstore.Placement) string {
	left := 0
	for _, peer := range p.Old {
		if peer.ID != h.id && !h.pulled[peer.ID] {
			left++
		}
	}
	for _, silent := range []bool{false, true} {
		for _, peer := range p.Old {
			if _, tried := h.pulled[peer.ID]; peer.ID != h.id && !tried && (h.silent[peer.ID] > m.now) == silent && (!silent || left > m.losses) {
				return peer.ID
			}
		}
	}
	return ""
}

func (m *model) pull(h *host, p *turnstore.Placement, from string) bool {
	at := m.by(from)
	if at == nil || !at.lives() || at.adopted < p.Generation && m.fault != pulledUnadopted {
		return false
	}
	h.had[from] = true
	for program := range programsDrawn {
		for _, g := range m.copiesBy(p, program) {
			if in(g, h.id) {
				h.has |= at.has & m.of[program]
			}
		}
	}
	return true
}

func key(program int) string { return fmt.Sprint("program-", program) }

// duty hears registrations and plans.
func (m *model) duty() {
	sort.SliceStable(m.mail, func(i, j int) bool { return m.mail[i].at < m.mail[j].at })
	for len(m.mail) > 0 && m.mail[0].at <= m.now {
		Register(m.stores, m.mail[0].r, m.now, m.timings)
		Register(m.heard, m.mail[0].r, m.now, m.timings)
		m.mail = m.mail[1:]
	}
	if m.now%(100*time.Millisecond) != 0 {
		return
	}
	if m.place != nil && m.place.Generation != m.gen {
		m.gen, m.genAt = m.place.Generation, m.now
	}
	s := Input{Now: m.now, TookOverAt: m.since, Inherited: m.handed, GenerationSince: m.handed.GenerationSince(m.gen, max(m.since, m.genAt)), FaultTolerance: m.losses,
		Current: m.place, Stores: m.stores, Retired: m.retired, Departures: m.left}
	m.checkSilence(&s)
	if m.now%reportsEvery == 0 && m.reports.IntN(4) > 0 {
		m.report = s.Observe(m.timings)
	}
	if m.fault != orderForgotten {
		for _, one := range LostWhileRetiring(s) {
			m.retired[one.ID] = true
			m.note("%s is to be emptied as well", one.ID)
		}
	}
	next := m.plan(s)
	if next == nil {
		return
	}
	if m.fault == jointSkipped && len(next.New) > 0 {
		next.Old, next.New = next.New, nil
	}
	switch {
	case m.place == nil:
	case len(next.New) > 0 && len(m.place.New) == 0:
		m.begun = m.now
		m.changes++
	case len(next.New) == 0:
		m.worst = max(m.worst, m.now-m.begun)
	}
	m.before, m.beforeT = m.place, m.now+m.span(0, m.told+200*time.Millisecond)
	m.left.Record(m.place, next, m.retired, m.now)
	m.place = next
	m.note("gen %d %s > %s", next.Generation, names(next.Old), names(next.New))
	for _, h := range m.hosts {
		if h.up {
			m.tell(h)
		}
	}
}

// anotherHead takes the duty over, with the last report of the one before it that has come.
func (m *model) anotherHead() {
	m.stores, m.since, m.handed, m.left = map[string]StoreStatus{}, m.now, m.report, Departures{}
	m.note("another head")
}

// checkSilence: no store is counted silent that a head which never changes would just have heard.
func (m *model) checkSilence(s *Input) {
	if s.Current == nil {
		return
	}
	for _, one := range s.Current.Stores() {
		r, known := m.heard[one.ID]
		if known && r.ConfirmedAt > 0 && m.now-r.ConfirmedAt <= m.timings.SuspectTimeout && s.silence(one.ID, m.timings) > m.timings.FailureTimeout {
			m.fail("SILENT: %s, heard %v ago, is counted as silent", one.ID, m.now-r.ConfirmedAt)
		}
	}
}

func (m *model) plan(s Input) *turnstore.Placement {
	if m.fault == stableUnswept || m.fault == allUnswept {
		s.Stores = map[string]StoreStatus{}
		for id, r := range m.stores {
			if s.Current != nil && (m.fault == stableUnswept || s.Now-r.ConfirmedAt > m.timings.FailureTimeout/4) {
				r.SweptGeneration = s.Current.Generation
			}
			s.Stores[id] = r
		}
	}
	next := Plan(s, m.timings)
	if next != nil && m.place == nil && m.fault == foundedAtOne {
		next.Generation = 1
	}
	return next
}

func names(list []turnstore.Store) string {
	var out []string
	for _, s := range list {
		out = append(out, s.ID)
	}
	return strings.Join(out, ",")
}

// copies of a program by the lists in force.
func (m *model) copies(program int) []turnstore.ReplicaSet { return m.copiesBy(m.place, program) }

func (m *model) copiesBy(p *turnstore.Placement, program int) []turnstore.ReplicaSet {
	if m.groups == nil || len(m.groups) > 1000 {
		m.groups = map[placed][]turnstore.ReplicaSet{}
	}
	k := placed{p, program}
	if m.groups[k] == nil {
		m.groups[k] = p.ReplicaSets(key(program))
	}
	return m.groups[k]
}

type placed struct {
	p       *turnstore.Placement
	program int
}

// write has a front keep a turn under the placement that it goes by; some copies do not get it.
func (m *model) write() {
	p := m.place
	if m.now < m.beforeT && m.rng.IntN(2) == 0 {
		p = m.before
	}
	often := 25
	if m.now < m.beforeT+500*time.Millisecond { // around a change of the placement
		often = 2
	}
	if p == nil || len(m.writes) >= 60 || m.rng.IntN(often) > 0 {
		return
	}
	w := len(m.writes)
	m.writes = append(m.writes, written{program: m.rng.IntN(programsDrawn)})
	m.of[m.writes[w].program] |= 1 << w
	groups := m.copiesBy(p, m.writes[w].program)
	took := map[string]bool{}
	skip := m.rng.IntN(2) == 0
	acked := true
	for _, g := range groups {
		yes := 0
		for _, s := range g {
			if _, asked := took[s.ID]; !asked {
				h := m.by(s.ID)
				takes := h != nil && h.lives() && h.adopted <= p.Generation && (!skip || m.rng.IntN(3) > 0)
				if took[s.ID] = takes; takes {
					h.has |= 1 << w
				}
			}
			if took[s.ID] {
				yes++
			}
		}
		acked = acked && len(g) > 0 && yes >= max(g.Majority(), min(p.DurableReplicas, len(g)))
	}
	m.writes[w].acked = acked
}

// valid is as turnstore's: the store may say what there is not.
func (h *host) valid() bool {
	return h.heard != nil && (in(h.heard.Old, h.id) || h.swept == h.heard.Generation)
}

// check holds the state against the invariant of docs/design/015.
func (m *model) check() {
	if m.place == nil || m.lostNow() > m.losses {
		m.stuckAt = 0
		return
	}
	m.checkMajority()
	lists := [][]answerer{m.answerers(m.place.Old), m.answerers(m.place.New)}
	for w, one := range m.writes {
		if one.acked {
			m.checkWrite(w, one, lists)
		}
	}
}

// answerer is a store of a list as it may answer now.
type answerer struct {
	live, valid bool
	has         uint64
}

func (m *model) answerers(list []turnstore.Store) (out []answerer) {
	for _, s := range list {
		if h := m.by(s.ID); h != nil {
			out = append(out, answerer{h.lives(), h.valid(), h.has})
		} else {
			out = append(out, answerer{})
		}
	}
	return out
}

// checkMajority: each program has a live majority of copies by each list in force.
func (m *model) checkMajority() {
	for p := range programsDrawn {
		for _, g := range m.copies(p) {
			live := 0
			for _, s := range g {
				if h := m.by(s.ID); h != nil && h.lives() && h.adopted <= m.place.Generation {
					live++
				}
			}
			if live < g.Majority() {
				if m.stuckAt == 0 {
					m.stuckAt = m.now
				}
				if m.stuck = max(m.stuck, m.now-m.stuckAt); m.stuck > mostStuck {
					m.fail("STUCK for %v: program %d has %d live copies of %s", m.stuck, p, live, names(g))
				}
				return
			}
		}
	}
	m.stuckAt = 0
}

// mostStuck bounds how long a program may be without a majority; the invariant says not at all.
const mostStuck = 0

// checkWrite: a live store has it, too few can deny it, and no majority misses it.
func (m *model) checkWrite(w int, one written, lists [][]answerer) {
	live, denied := false, true
	for _, list := range lists {
		no := 0
		for _, a := range list {
			has := a.has>>w&1 == 1
			live = live || a.live && has
			if a.live && a.valid && !has {
				no++
			}
		}
		denied = denied && (len(list) == 0 || no >= max(1, len(list)-m.losses))
	}
	if !live {
		m.fail("LOST: no live store has write %d of program %d", w, one.program)
	}
	if denied {
		m.fail("LOST: write %d of program %d may be answered 404", w, one.program)
	}
	missed := true
	for _, g := range m.copies(one.program) {
		lacking := 0
		for _, s := range g {
			if h := m.by(s.ID); h != nil && h.has>>w&1 == 0 {
				lacking++
			}
		}
		missed = missed && lacking >= g.Majority()
	}
	if missed {
		m.fail("BUDGET: a majority of copies misses write %d of program %d", w, one.program)
	}
}
