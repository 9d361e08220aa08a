package turnstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

// The model plays stores, fronts and the duty of placement in virtual time (inside a synctest bubble). Stores and
// clients are the real ones; disks, network, machines and the chain's head are the model's.

const (
	contact         = 3 * time.Second
	messageLifetime = 20 * time.Second        // at a cut
	catchUp         = 4200 * time.Millisecond // a store counts as lost for so long after its return
)

// fault names a defect that is planted into the model; empty for none.
type fault string

const (
	noSync                fault = "a sync left out"
	majorityOfOne         fault = "a majority of one"
	noGenerationFence     fault = "the fence by gen left out"
	sweepWithoutLedgers   fault = "a sweep that skips ledgers"
	settleBeforeEnd       fault = "settled before the turn has ended"
	noRetainMargin        fault = "expiry without margin"
	quorumOfNewListOnly   fault = "a joint phase that needs only the new list"
	reusedIdentity        fault = "a wiped store under its old identity, with what it had swept"
	repairWithoutLedger   fault = "a read repair that drops the ledger"
	sweptTooSoon          fault = "a rebuilt store that says no too early"
	expiredForgotten      fault = "what has expired is not remembered"
	endBeforeSync         fault = "the end passed on before the sync"
	partialHistory        fault = "a part of a history taken for the whole"
	generationNotReported fault = "stores do not tell which gen they have adopted"
	noReservation         fault = "a reservation that is not written"
)

type simulation struct {
	seed  uint64
	fault fault
	began time.Time

	mu         sync.Mutex
	rng        *rand.Rand
	counts     map[message]uint64 // messages, by what sends which to whom
	partitions map[[2]string]chan struct{}
	log        []logLine
	violations []string
	done       chan struct{} // closed when something is broken, or at the end
	ended      bool
	wg         sync.WaitGroup // all that the model runs

	controller     controller
	stores         []*machine
	fronts         []*front
	oracle         oracle
	storeFaultSlot chan struct{} // holds a store's trouble and its catching up
	uniformDelays  bool          // all messages take as long
	noDigest       bool          // no anti-entropy: read repair is alone
}

type message struct {
	from, to string
	m        rpc.Method
}

type logLine struct {
	at           time.Duration
	column, text string
}

func newWorld(seed uint64, f fault) *simulation {
	return &simulation{seed: seed, fault: f, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 7)), counts: map[message]uint64{},
		partitions: map[[2]string]chan struct{}{}, done: make(chan struct{}), storeFaultSlot: make(chan struct{}, 1),
		oracle:     oracle{turns: map[string]*turnRecord{}, programs: map[string]*programBudget{}, used: map[string]time.Duration{}},
		controller: controller{stores: map[string]placement.StoreStatus{}, retired: map[string]bool{}}}
}

func (w *simulation) now() time.Duration { return time.Since(w.began) }

func (w *simulation) draw(lo, hi int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo + w.rng.IntN(hi-lo+1)
}

func (w *simulation) oneIn(n int) bool { return w.draw(1, n) == 1 }

func (w *simulation) span(lo, hi time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

func (w *simulation) note(column, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, logLine{w.now(), column, fmt.Sprintf(format, args...)})
}

// violation notes that a rule is broken and ends the course.
func (w *simulation) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, logLine{w.now(), "!", text})
	w.violations = append(w.violations, text)
	if !w.ended {
		w.ended = true
		close(w.done)
	}
}

func (w *simulation) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// sleep tells whether the course goes on.
func (w *simulation) sleep(d time.Duration) bool {
	t := time.NewTimer(max(d, time.Nanosecond)) // under the race detector one of 0 in a bubble can end the process
	defer t.Stop()
	select {
	case <-t.C:
		return !w.over()
	case <-w.done:
		return false
	}
}

// timeline gives the last lines, with a column for the core, each store and each front.
func (w *simulation) timeline(most int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	columns := []string{"core"}
	for _, s := range w.stores {
		columns = append(columns, s.name)
	}
	for _, f := range w.fronts {
		columns = append(columns, f.name)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d %s\n%9s", w.seed, w.fault, "ms")
	for _, c := range columns {
		fmt.Fprintf(&b, " %-22s", c)
	}
	b.WriteByte('\n')
	lines := slices.DeleteFunc(slices.Clone(w.log), func(l logLine) bool { // of what is dropped only that which came back
		id, drops := strings.CutPrefix(l.text, "drops ")
		return drops && !strings.Contains(strings.Join(w.violations, " "), " "+id+" ")
	})
	for _, l := range lines[max(0, len(lines)-most):] {
		fmt.Fprintf(&b, "%9.1f", float64(l.at.Microseconds())/1000)
		if i := slices.Index(columns, l.column); i >= 0 {
			b.WriteString(strings.Repeat(" ", 23*i))
		}
		fmt.Fprintf(&b, " %s\n", l.text)
	}
	return b.String()
}

// Network.

// delay of a message: by what it is, so that a course plays the same however goroutines are scheduled.
func (w *simulation) delay(from, to string, m rpc.Method) time.Duration {
	if w.uniformDelays {
		return time.Millisecond
	}
	key := message{from, to, m}
	w.mu.Lock()
	w.counts[key]++
	n := w.counts[key]
	w.mu.Unlock()
	h := xxhash.Sum64String(from)*31 + xxhash.Sum64String(to)
	rng := rand.NewPCG(w.seed^uint64(m)<<40, h^n*0x9e3779b97f4a7c15)
	span := func(d time.Duration) time.Duration { return time.Duration(rng.Uint64() % uint64(d)) }
	switch k := rng.Uint64() % 100; {
	case k < 80:
		return 200*time.Microsecond + span(2*time.Millisecond)
	case k < 96:
		return 2*time.Millisecond + span(20*time.Millisecond)
	}
	return 20*time.Millisecond + span(280*time.Millisecond)
}

func (w *simulation) partition(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if k := [2]string{from, to}; w.partitions[k] == nil {
		w.partitions[k] = make(chan struct{})
	}
}

func (w *simulation) heal(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := [2]string{from, to}
	if c := w.partitions[k]; c != nil {
		close(c)
		delete(w.partitions, k)
	}
}

// awaitPath waits until a path is there; what waits for too long is lost.
func (w *simulation) awaitPath(from, to string) bool {
	give := time.NewTimer(messageLifetime)
	defer give.Stop()
	for {
		w.mu.Lock()
		c := w.partitions[[2]string{from, to}]
		w.mu.Unlock()
		if c == nil {
			return true
		}
		select {
		case <-c:
		case <-give.C:
			return false
		}
	}
}

// node is what machines and fronts have in common.
type node struct {
	w        *simulation
	name     string
	zone     string
	frozen   atomic.Pointer[chan struct{}]
	received atomic.Pointer[turnstore.Placement]
	changed  atomic.Pointer[chan struct{}]
}

// awaitThaw waits while the machine is frozen.
func (n *node) awaitThaw() {
	for c := n.frozen.Load(); c != nil; c = n.frozen.Load() {
		<-*c
	}
}

func (n *node) freeze() {
	c := make(chan struct{})
	if n.frozen.CompareAndSwap(nil, &c) {
		n.w.note(n.name, "frozen")
	}
}

func (n *node) thaw() {
	if c := n.frozen.Swap(nil); c != nil {
		n.w.note(n.name, "thawed")
		close(*c)
	}
}

func (n *node) receivePlacement(p *turnstore.Placement) {
	for {
		was := n.received.Load()
		if was != nil && (was.Generation > p.Generation || was.Generation == p.Generation && len(p.New) > 0) {
			return
		}
		if n.received.CompareAndSwap(was, p) {
			c := make(chan struct{})
			if old := n.changed.Swap(&c); old != nil {
				close(*old)
			}
			return
		}
	}
}

func (n *node) placement() *turnstore.Placement { return n.received.Load() }

// endpoint is a process' side of the network.
type endpoint struct {
	n         *node
	ctx       context.Context // of the process
	repairing func() bool     // nil for none
}

var errReset = errors.Mark(errors.New("connection reset"), rpc.ErrLost)

type callResult struct {
	body []byte
	err  error
}

func (p endpoint) Call(ctx context.Context, addr string, m rpc.Method, body, answer any) error {
	raw := rpc.Encode(body)
	ch := make(chan callResult, 1)
	p.n.w.wg.Go(func() {
		b, err := p.n.w.deliver(p, addr, m, raw)
		ch <- callResult{b, err}
	})
	select {
	case h := <-ch:
		if h.err != nil || answer == nil {
			return h.err
		}
		return rpc.Decode(h.body, answer)
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), rpc.ErrLost)
	}
}

func (p endpoint) Notify(_ context.Context, addr string, m rpc.Method, body any) error {
	raw := rpc.Encode(body)
	p.n.w.wg.Go(func() { _, _ = p.n.w.deliver(p, addr, m, raw) })
	return nil
}

// deliver takes a call to a store and its answer back. A call goes on when its caller has given up.
func (w *simulation) deliver(p endpoint, addr string, m rpc.Method, raw []byte) ([]byte, error) {
	p.n.awaitThaw()
	if p.ctx.Err() != nil {
		return nil, errReset
	}
	to := w.storeAt(addr)
	if to == nil {
		return nil, errors.Mark(errors.New("no route"), rpc.ErrUnsent)
	}
	time.Sleep(w.delay(p.n.name, to.name, m))
	if !w.awaitPath(p.n.name, to.name) {
		return nil, errReset
	}
	to.awaitThaw()
	life := to.incarnation.Load()
	if life == nil {
		return nil, errors.Mark(errors.New("connection refused"), rpc.ErrUnsent)
	}
	h := life.handlers[m]
	if w.noDigest && m == turnstore.MethodDigest {
		return nil, errors.Mark(errors.New("left out"), rpc.ErrRemote)
	}
	if m == turnstore.MethodRepair {
		w.checkRepair(to, life, raw)
	}
	answer, err := h(life.ctx, w.injectIntoCall(p, m, raw))
	to.awaitThaw()
	if life.ctx.Err() != nil {
		return nil, errReset
	}
	if err != nil {
		return nil, errors.Mark(err, rpc.ErrRemote)
	}
	out := rpc.Encode(w.injectIntoReply(p, to, answer))
	time.Sleep(w.delay(to.name, p.n.name, m))
	if !w.awaitPath(to.name, p.n.name) {
		return nil, errReset
	}
	p.n.awaitThaw()
	return out, nil
}

func (w *simulation) storeAt(addr string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stores {
		if s.addr == addr {
			return s
		}
	}
	return nil
}

// injectIntoCall plants faults in what is asked.
func (w *simulation) injectIntoCall(p endpoint, m rpc.Method, raw []byte) []byte {
	front := strings.HasPrefix(p.n.name, "f")
	switch {
	case w.fault == noRetainMargin && m == turnstore.MethodClose:
		var c turnstore.CloseCall
		_ = rpc.Decode(raw, &c)
		c.Turn.RetainSeconds = max(1, c.Turn.RetainSeconds-int(turnstore.KeepMargin/time.Second))
		return rpc.Encode(&c)
	case w.fault == noGenerationFence && front && m == turnstore.MethodOpen:
		var c turnstore.OpenCall
		_ = rpc.Decode(raw, &c)
		c.To.Generation = 1 << 40
		return rpc.Encode(&c)
	case w.fault == noGenerationFence && front && m == turnstore.MethodClose:
		var c turnstore.CloseCall
		_ = rpc.Decode(raw, &c)
		c.To.Generation = 1 << 40
		return rpc.Encode(&c)
	case w.fault == noReservation && m == turnstore.MethodOpen:
		var c turnstore.OpenCall
		_ = rpc.Decode(raw, &c)
		c.MaxTokens = 0
		return rpc.Encode(&c)
	}
	return raw
}

// injectIntoReply plants faults in what is answered.
func (w *simulation) injectIntoReply(p endpoint, to *machine, answer any) any {
	switch r := answer.(type) {
	case *turnstore.OpenReply:
		if w.fault == partialHistory {
			r.Missing = ""
		}
	case *turnstore.PastReply:
		if w.fault == partialHistory {
			r.Missing = ""
		}
	case *turnstore.StatesReply:
		if w.fault == sweepWithoutLedgers || w.fault == repairWithoutLedger && p.repairing != nil && p.repairing() {
			for i := range r.States {
				r.States[i].Ledger = nil
			}
		}
	}
	return answer
}

// Disk.

type memDisk struct {
	w     *simulation
	owner *machine
	id    string

	mu          sync.Mutex
	tables      map[string]map[string][]byte // what reads see
	incarnation int
	queue       []*write
	busy        bool
	inFlight    []*write // in a commit that is under way
	undo        []func() // what only the fault of no sync can lose
	slow        time.Duration
	stalled     chan struct{} // nil while the disk goes; else closed once it goes on
	full        bool          // it takes no more bytes
	syncs       int
}

type write struct {
	writes []sqlitelog.Write
	done   chan error
}

func (w *simulation) disk(owner *machine, id string) *memDisk {
	return &memDisk{w: w, owner: owner, id: id, tables: map[string]map[string][]byte{}}
}

func (d *memDisk) apply(group []*write) {
	for _, g := range group {
		for _, one := range g.writes {
			t := d.tables[one.Table]
			if t == nil {
				t = map[string][]byte{}
				d.tables[one.Table] = t
			}
			if one.Value == nil {
				delete(t, string(one.Key))
			} else {
				t[string(one.Key)] = one.Value
			}
		}
	}
}

// crash ends a life: a commit under way is there whole or not at all, what waited is not.
func (d *memDisk) crash(keep, power bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if keep {
		d.apply(d.inFlight)
	}
	if power {
		for _, u := range slices.Backward(d.undo) {
			u()
		}
	}
	d.undo = nil
	for _, g := range append(d.inFlight, d.queue...) {
		g.done <- sqlitelog.ErrClosed
	}
	d.incarnation++
	d.queue, d.inFlight, d.busy = nil, nil, false
	if d.stalled != nil { // the disk stands still for the next life as well
		close(d.stalled)
		d.stalled = make(chan struct{})
	}
}

// stall has syncs, and reads behind one, wait until the disk goes on.
func (d *memDisk) stall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled == nil {
		d.stalled = make(chan struct{})
	}
}

// resume ends a stall.
func (d *memDisk) resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
}

// setFull has the disk take no more bytes, or take them again.
func (d *memDisk) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// awaitResume waits, in the given life, while the disk stands still; a life that is over waits no more.
func (d *memDisk) awaitResume(life int) {
	for {
		d.mu.Lock()
		c := d.stalled
		over := d.incarnation != life
		d.mu.Unlock()
		if c == nil || over {
			return
		}
		<-c
	}
}

// awaitReadable waits as goes does, where a commit is under way: a file is read under the same hold as it is written.
func (d *memDisk) awaitReadable(life int) {
	d.mu.Lock()
	busy := d.busy
	d.mu.Unlock()
	if busy {
		d.awaitResume(life)
	}
}

func (d *memDisk) syncTime() time.Duration {
	if d.slow > 0 {
		return d.slow
	}
	return d.w.delay("disk", d.owner.name, 0)/4 + 300*time.Microsecond
}

// run makes commits of groups until nothing waits.
func (d *memDisk) run(life int) {
	for {
		d.mu.Lock()
		if d.incarnation != life || len(d.queue) == 0 {
			if d.incarnation == life {
				d.busy = false
			}
			d.mu.Unlock()
			return
		}
		d.inFlight, d.queue = d.queue, nil
		took := d.syncTime()
		d.mu.Unlock()
		if d.w.fault != noSync {
			time.Sleep(took)
			d.awaitResume(life)
			d.owner.awaitThaw()
		}
		d.mu.Lock()
		if d.incarnation != life {
			d.mu.Unlock()
			return
		}
		if d.w.fault == noSync {
			for _, g := range d.inFlight {
				for _, one := range g.writes {
					was, had := d.tables[one.Table][string(one.Key)]
					d.undo = append(d.undo, func() {
						if had {
							d.tables[one.Table][string(one.Key)] = was
						} else {
							delete(d.tables[one.Table], string(one.Key))
						}
					})
				}
			}
			if len(d.undo) > 40 {
				d.undo = d.undo[len(d.undo)-40:]
			}
		}
		var outcome error
		if d.full {
			outcome = sqlitelog.ErrFull
		} else {
			d.apply(d.inFlight)
			d.syncs++
		}
		for _, g := range d.inFlight {
			g.done <- outcome
		}
		d.inFlight = nil
		d.mu.Unlock()
	}
}

// diskHandle is the disk as one life of its process has it.
type diskHandle struct {
	disk        *memDisk
	incarnation int
}

func (h diskHandle) Identity() (string, bool) { return h.disk.id, false }

func (h diskHandle) Submit(writes []sqlitelog.Write) turnstore.Pending {
	g := &write{writes: writes, done: make(chan error, 1)}
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	switch {
	case h.disk.incarnation != h.incarnation:
		g.done <- sqlitelog.ErrClosed
	case len(writes) == 0:
		g.done <- nil
	default:
		h.disk.queue = append(h.disk.queue, g)
		if !h.disk.busy {
			h.disk.busy = true
			h.disk.w.wg.Go(func() { h.disk.run(h.incarnation) })
		}
	}
	return g
}

func (g *write) Wait(ctx context.Context) error {
	select {
	case err := <-g.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h diskHandle) Commit(ctx context.Context, writes []sqlitelog.Write) error {
	return h.Submit(writes).Wait(ctx)
}

func (h diskHandle) Capacity() (left, most int64, err error) { return 0, 0, nil }

func (h diskHandle) Get(table string, key []byte) ([]byte, error) {
	h.disk.awaitReadable(h.incarnation)
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	return h.disk.tables[table][string(key)], nil
}

func (h diskHandle) GetMany(table string, keys [][]byte, most int) (out [][]byte, err error) {
	h.disk.awaitReadable(h.incarnation)
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	for size := 0; len(out) < len(keys) && size <= most; {
		v := h.disk.tables[table][string(keys[len(out)])]
		out = append(out, v)
		size += len(v)
	}
	return out, nil
}

func (h diskHandle) Range(table string, _, _ []byte, f func(k, v []byte) error) error {
	h.disk.awaitReadable(h.incarnation)
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	var keys []string
	for k := range h.disk.tables[table] {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if err := f([]byte(k), h.disk.tables[table][k]); err != nil {
			return err
		}
	}
	return nil
}

// Store machines.

type machine struct {
	node
	addr        string
	file        atomic.Pointer[memDisk]
	incarnation atomic.Pointer[incarnation]
}

type incarnation struct {
	ctx      context.Context
	stop     context.CancelFunc
	store    *turnstore.Server
	handlers map[rpc.Method]rpc.Handler
	seen     map[string]bool // turns it had; false: dropped
}

func (w *simulation) addStore(name, zone string) *machine {
	m := &machine{addr: name + ":1"}
	m.w, m.name, m.zone = w, name, zone
	m.file.Store(w.disk(m, name))
	w.mu.Lock()
	w.stores = append(w.stores, m)
	w.mu.Unlock()
	m.start()
	return m
}

func (m *machine) disk() *memDisk { return m.file.Load() }

// setSyncTime has each sync take so long; 0: as usual.
func (m *machine) setSyncTime(d time.Duration) {
	disk := m.disk()
	disk.mu.Lock()
	defer disk.mu.Unlock()
	disk.slow = d
}

func (m *machine) start() {
	if m.incarnation.Load() != nil {
		return
	}
	w := m.w
	l := &incarnation{seen: map[string]bool{}}
	l.ctx, l.stop = context.WithCancel(context.Background())
	m.received.Store(nil)
	c := make(chan struct{})
	m.changed.Store(&c)
	var mending atomic.Int64
	p := endpoint{n: &m.node, ctx: l.ctx, repairing: func() bool { return mending.Load() > 0 }}
	m.disk().mu.Lock()
	h := diskHandle{m.disk(), m.disk().incarnation}
	m.disk().mu.Unlock()
	store, err := turnstore.NewServerOn(h, p, m.placement, func() <-chan struct{} { return *m.changed.Load() })
	if err != nil {
		w.violation("%s does not start: %v", m.name, err)
		l.stop()
		return
	}
	l.store, l.handlers = store, store.Handlers()
	if w.fault == repairWithoutLedger {
		take := l.handlers[turnstore.MethodRepair]
		l.handlers[turnstore.MethodRepair] = func(ctx context.Context, b []byte) (any, error) {
			mending.Add(1)
			time.AfterFunc(turnstore.RepairAfter+500*time.Millisecond, func() { mending.Add(-1) })
			return take(ctx, b)
		}
	}
	m.incarnation.Store(l)
	w.note(m.name, "up as %s", m.disk().id)
	w.wg.Go(func() { store.Run(l.ctx) })
	w.wg.Go(func() { m.register(l) })
	w.controller.sendPlacement(w, &m.node)
}

// register tells the core of the store, again and again.
func (m *machine) register(l *incarnation) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	var told int64 = -1
	var at time.Time
	for {
		swept, gen := l.store.SweptGeneration(), l.store.AdoptedGeneration()
		if m.w.fault == generationNotReported {
			swept, gen = 0, 0
		}
		every := 400 * time.Millisecond
		if p := m.placement(); p == nil || !slices.ContainsFunc(p.Stores(), func(s turnstore.Store) bool { return s.ID == m.disk().id }) {
			every = 90 * time.Millisecond
		}
		if p := m.placement(); m.w.fault == sweptTooSoon && p != nil {
			swept = p.Generation
		}
		if swept != told || time.Since(at) > every {
			told, at = swept, time.Now()
			self := turnstore.Store{ID: m.disk().id, Name: m.name, Addr: m.addr, Zone: m.zone}
			m.w.wg.Go(func() {
				time.Sleep(m.w.delay(m.name, "core", 99))
				m.awaitThaw()
				if m.w.awaitPath(m.name, "core") && l.ctx.Err() == nil {
					m.w.controller.register(m.w, self, gen, swept)
				}
			})
		}
		select {
		case <-tick.C:
		case <-l.ctx.Done():
			return
		}
	}
}

func (m *machine) kill(power bool) {
	l := m.incarnation.Swap(nil)
	if l == nil {
		return
	}
	what := "killed"
	if power {
		what = "power lost"
	}
	m.w.note(m.name, "%s", what)
	m.disk().crash(m.w.oneIn(2), power)
	l.stop()
	m.thaw()
}

// wipe gives the machine an empty disk; it must be down.
func (m *machine) wipe() {
	m.w.controller.mu.Lock()
	m.w.controller.wiped++
	id := fmt.Sprintf("%s.%d", m.name, m.w.controller.wiped)
	m.w.controller.mu.Unlock()
	if m.w.fault == reusedIdentity {
		id = m.disk().id
	}
	empty := m.w.disk(m, id)
	if m.w.fault == reusedIdentity {
		empty.tables[turnstore.Facts] = m.disk().tables[turnstore.Facts]
	}
	m.file.Store(empty)
	m.w.note(m.name, "wiped")
}

// Core: the holder of the duty of placement.

type controller struct {
	mu              sync.Mutex
	placement       *turnstore.Placement
	tookOverAt      time.Duration
	generation      int64
	generationSince time.Duration // when the gen was seen first
	stores          map[string]placement.StoreStatus
	retired         map[string]bool
	wiped           int
}

func (c *controller) register(w *simulation, s turnstore.Store, gen, swept int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	placement.Register(c.stores, placement.Registration{Store: s, Generation: gen, SweptGeneration: swept}, w.now(), placement.DefaultTimings(contact))
}

// run plans the placement; now and then the duty moves to another node.
func (c *controller) run(w *simulation) {
	timings := placement.DefaultTimings(contact)
	move := w.span(10*time.Second, 60*time.Second)
	for w.sleep(100 * time.Millisecond) {
		c.mu.Lock()
		if w.now() > move {
			move += 40 * time.Second
			c.stores, c.tookOverAt = map[string]placement.StoreStatus{}, w.now()
		}
		if c.placement != nil && c.placement.Generation != c.generation {
			c.generation, c.generationSince = c.placement.Generation, w.now()
		}
		next := placement.Plan(placement.Input{Now: w.now(), TookOverAt: c.tookOverAt, GenerationSince: max(c.tookOverAt, c.generationSince), FaultTolerance: 1, Current: c.placement, Stores: c.stores, Retired: c.retired}, timings)
		if next != nil {
			c.placement = next
		}
		c.mu.Unlock()
		if next == nil {
			continue
		}
		w.note("core", "%s", show(next))
		for _, n := range w.nodes() {
			c.sendPlacement(w, n)
		}
	}
}

func show(p *turnstore.Placement) string {
	list := func(l []turnstore.Store) (out []string) {
		for _, s := range l {
			out = append(out, s.ID)
		}
		return out
	}
	return strings.TrimSpace(fmt.Sprintf("gen %d %s > %s", p.Generation, strings.Join(list(p.Old), ","), strings.Join(list(p.New), ",")))
}

func (w *simulation) nodes() (out []*node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stores {
		out = append(out, &s.node)
	}
	for _, f := range w.fronts {
		out = append(out, &f.node)
	}
	return out
}

// sendPlacement has a node hear the placement after a while.
func (c *controller) sendPlacement(w *simulation, n *node) {
	c.mu.Lock()
	p := c.placement
	c.mu.Unlock()
	if p == nil {
		return
	}
	w.wg.Go(func() {
		time.Sleep(5*time.Millisecond + 3*w.delay("core", n.name, 98))
		for !w.awaitPath("core", n.name) {
		}
		n.awaitThaw()
		switch {
		case !strings.HasPrefix(n.name, "f"):
		case w.fault == majorityOfOne:
			one := *p
			one.ReplicationFactor, one.DurableReplicas = 1, 1
			p = &one
		case w.fault == quorumOfNewListOnly && len(p.New) > 0:
			one := *p
			one.Old, one.New = p.New, nil
			p = &one
		}
		n.receivePlacement(p)
	})
}

// reset has the core know nothing any more, as after the loss of all its disks.
func (c *controller) reset(w *simulation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placement, c.stores, c.retired, c.tookOverAt = nil, map[string]placement.StoreStatus{}, map[string]bool{}, w.now()
	w.log = append(w.log, logLine{w.now(), "core", "founded anew"})
}

// retirementComplete tells whether a store may go, as the operator is told.
func (c *controller) retirementComplete(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.placement != nil && len(c.placement.New) == 0 && !slices.ContainsFunc(c.placement.Old, func(s turnstore.Store) bool { return s.ID == id })
}

func (c *controller) retire(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.placement == nil || !placement.CanRetire(c.placement, c.retired, 1) {
		return false
	}
	c.retired[id] = true
	return true
}

// checkRepair: a store that was told that it is not whole has, a while later, the ledger that the others have now.
func (w *simulation) checkRepair(to *machine, l *incarnation, raw []byte) {
	var n turnstore.Notice
	if rpc.Decode(raw, &n) != nil || !w.noDigest {
		return
	}
	p := to.placement()
	if p == nil || p.Generation != n.To.Generation || to.disk().id != n.To.Store || len(p.New) > 0 {
		return
	}
	w.oracle.mu.Lock()
	stormy := w.now() < w.oracle.faultsUntil
	w.oracle.mu.Unlock()
	if stormy {
		return
	}
	want := l.store.Ledger(n.Key)
	for _, c := range p.ReplicaSets(n.Key)[0] {
		m := w.storeAt(c.Addr)
		if m == nil || m.incarnation.Load() == nil || m.disk().id != c.ID || m.frozen.Load() != nil {
			return
		}
		other := m.incarnation.Load().store.Ledger(n.Key)
		want.Merge(other.Entries())
	}
	quiet := w.oracle.faults.Load()
	w.wg.Go(func() {
		if !w.sleep(4*time.Second) || quiet != w.oracle.faults.Load() || l.ctx.Err() != nil || to.placement() != p {
			return // what a change of the placement interrupts is a sweep's
		}
		got := l.store.Ledger(n.Key)
		for _, e := range want.Entries() {
			if have, ok := got.Get(e.Turn); !ok || have.Join(e) != have {
				w.violation("%s was told that %s is not whole there, and lacks %+v of its ledger 4 s later", to.name, n.Key, e)
				return
			}
		}
	})
}
