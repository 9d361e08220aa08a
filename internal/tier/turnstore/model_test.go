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
	contact      = 3 * time.Second
	messageLives = 20 * time.Second        // at a cut
	catchUp      = 4200 * time.Millisecond // a store counts as lost for so long after its return
)

// fault names a defect that is planted into the model; empty for none.
type fault string

const (
	noSync         fault = "a sync left out"
	majorityOfOne  fault = "a majority of one"
	noFence        fault = "the fence by gen left out"
	sweepNoLedgers fault = "a sweep that skips ledgers"
	settleBefore   fault = "settled before the turn has ended"
	noMargin       fault = "expiry without margin"
	onlyNew        fault = "a joint phase that needs only the new list"
	oldIdentity    fault = "a wiped store under its old identity, with what it had swept"
	mendNoLedger   fault = "a read repair that drops the ledger"
	sweptEarly     fault = "a rebuilt store that says no too early"
	goneForgotten  fault = "what has expired is not remembered"
	endBeforeSync  fault = "the end passed on before the sync"
	partIsWhole    fault = "a part of a history taken for the whole"
	genUntold      fault = "stores do not tell which gen they have adopted"
	noReservation  fault = "a reservation that is not written"
)

type world struct {
	seed  uint64
	fault fault
	began time.Time

	mu     sync.Mutex
	rng    *rand.Rand
	counts map[message]uint64 // messages, by what sends which to whom
	cuts   map[[2]string]chan struct{}
	lines  []line
	broken []string
	ends   chan struct{} // closed when something is broken, or at the end
	ended  bool
	wg     sync.WaitGroup // all that the model runs

	core     core
	stores   []*machine
	fronts   []*front
	oracle   oracle
	alone    chan struct{} // holds a store's trouble and its catching up
	even     bool          // all messages take as long
	noDigest bool          // no anti-entropy: read repair is alone
}

type message struct {
	from, to string
	m        rpc.Method
}

type line struct {
	at           time.Duration
	column, text string
}

func newWorld(seed uint64, f fault) *world {
	return &world{seed: seed, fault: f, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 7)), counts: map[message]uint64{},
		cuts: map[[2]string]chan struct{}{}, ends: make(chan struct{}), alone: make(chan struct{}, 1),
		oracle: oracle{turns: map[string]*told{}, programs: map[string]*budget{}, used: map[string]time.Duration{}},
		core:   core{stores: map[string]placement.StoreStatus{}, retired: map[string]bool{}}}
}

func (w *world) now() time.Duration { return time.Since(w.began) }

func (w *world) draw(lo, hi int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo + w.rng.IntN(hi-lo+1)
}

func (w *world) oneIn(n int) bool { return w.draw(1, n) == 1 }

func (w *world) span(lo, hi time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

func (w *world) note(column, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, line{w.now(), column, fmt.Sprintf(format, args...)})
}

// fail notes that a rule is broken and ends the course.
func (w *world) fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, line{w.now(), "!", text})
	w.broken = append(w.broken, text)
	if !w.ended {
		w.ended = true
		close(w.ends)
	}
}

func (w *world) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// sleep tells whether the course goes on.
func (w *world) sleep(d time.Duration) bool {
	t := time.NewTimer(max(d, time.Nanosecond)) // under the race detector one of 0 in a bubble can end the process
	defer t.Stop()
	select {
	case <-t.C:
		return !w.over()
	case <-w.ends:
		return false
	}
}

// timeline gives the last lines, with a column for the core, each store and each front.
func (w *world) timeline(most int) string {
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
	lines := slices.DeleteFunc(slices.Clone(w.lines), func(l line) bool { // of what is dropped only that which came back
		id, drops := strings.CutPrefix(l.text, "drops ")
		return drops && !strings.Contains(strings.Join(w.broken, " "), " "+id+" ")
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

// lag of a message: by what it is, so that a course plays the same however goroutines are scheduled.
func (w *world) lag(from, to string, m rpc.Method) time.Duration {
	if w.even {
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

func (w *world) cut(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if k := [2]string{from, to}; w.cuts[k] == nil {
		w.cuts[k] = make(chan struct{})
	}
}

func (w *world) join(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := [2]string{from, to}
	if c := w.cuts[k]; c != nil {
		close(c)
		delete(w.cuts, k)
	}
}

// pass waits until a path is there; what waits for too long is lost.
func (w *world) pass(from, to string) bool {
	give := time.NewTimer(messageLives)
	defer give.Stop()
	for {
		w.mu.Lock()
		c := w.cuts[[2]string{from, to}]
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
	w       *world
	name    string
	zone    string
	frozen  atomic.Pointer[chan struct{}]
	heard   atomic.Pointer[turnstore.Placement]
	changed atomic.Pointer[chan struct{}]
}

// thawed waits while the machine is frozen.
func (n *node) thawed() {
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

func (n *node) hear(p *turnstore.Placement) {
	for {
		was := n.heard.Load()
		if was != nil && (was.Generation > p.Generation || was.Generation == p.Generation && len(p.New) > 0) {
			return
		}
		if n.heard.CompareAndSwap(was, p) {
			c := make(chan struct{})
			if old := n.changed.Swap(&c); old != nil {
				close(*old)
			}
			return
		}
	}
}

func (n *node) placement() *turnstore.Placement { return n.heard.Load() }

// port is a process' side of the network.
type port struct {
	n       *node
	ctx     context.Context // of the process
	mending func() bool     // nil for none
}

var errReset = errors.Mark(errors.New("connection reset"), rpc.ErrLost)

type heard struct {
	body []byte
	err  error
}

func (p port) Call(ctx context.Context, addr string, m rpc.Method, body, answer any) error {
	raw := rpc.Encode(body)
	ch := make(chan heard, 1)
	p.n.w.wg.Go(func() {
		b, err := p.n.w.carry(p, addr, m, raw)
		ch <- heard{b, err}
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

func (p port) Notify(_ context.Context, addr string, m rpc.Method, body any) error {
	raw := rpc.Encode(body)
	p.n.w.wg.Go(func() { _, _ = p.n.w.carry(p, addr, m, raw) })
	return nil
}

// carry takes a call to a store and its answer back. A call goes on when its caller has given up.
func (w *world) carry(p port, addr string, m rpc.Method, raw []byte) ([]byte, error) {
	p.n.thawed()
	if p.ctx.Err() != nil {
		return nil, errReset
	}
	to := w.at(addr)
	if to == nil {
		return nil, errors.Mark(errors.New("no route"), rpc.ErrUnsent)
	}
	time.Sleep(w.lag(p.n.name, to.name, m))
	if !w.pass(p.n.name, to.name) {
		return nil, errReset
	}
	to.thawed()
	life := to.life.Load()
	if life == nil {
		return nil, errors.Mark(errors.New("connection refused"), rpc.ErrUnsent)
	}
	h := life.handlers[m]
	if w.noDigest && m == turnstore.MethodDigest {
		return nil, errors.Mark(errors.New("left out"), rpc.ErrRemote)
	}
	if m == turnstore.MethodRepair {
		w.expectRepair(to, life, raw)
	}
	answer, err := h(life.ctx, w.spoilCall(p, m, raw))
	to.thawed()
	if life.ctx.Err() != nil {
		return nil, errReset
	}
	if err != nil {
		return nil, errors.Mark(err, rpc.ErrRemote)
	}
	out := rpc.Encode(w.spoilAnswer(p, to, answer))
	time.Sleep(w.lag(to.name, p.n.name, m))
	if !w.pass(to.name, p.n.name) {
		return nil, errReset
	}
	p.n.thawed()
	return out, nil
}

func (w *world) at(addr string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stores {
		if s.addr == addr {
			return s
		}
	}
	return nil
}

// spoilCall plants faults in what is asked.
func (w *world) spoilCall(p port, m rpc.Method, raw []byte) []byte {
	front := strings.HasPrefix(p.n.name, "f")
	switch {
	case w.fault == noMargin && m == turnstore.MethodClose:
		var c turnstore.CloseCall
		_ = rpc.Decode(raw, &c)
		c.Turn.RetainSeconds = max(1, c.Turn.RetainSeconds-int(turnstore.KeepMargin/time.Second))
		return rpc.Encode(&c)
	case w.fault == noFence && front && m == turnstore.MethodOpen:
		var c turnstore.OpenCall
		_ = rpc.Decode(raw, &c)
		c.To.Generation = 1 << 40
		return rpc.Encode(&c)
	case w.fault == noFence && front && m == turnstore.MethodClose:
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

// spoilAnswer plants faults in what is answered.
func (w *world) spoilAnswer(p port, to *machine, answer any) any {
	switch r := answer.(type) {
	case *turnstore.OpenReply:
		if w.fault == partIsWhole {
			r.Missing = ""
		}
	case *turnstore.PastReply:
		if w.fault == partIsWhole {
			r.Missing = ""
		}
	case *turnstore.StatesReply:
		if w.fault == sweepNoLedgers || w.fault == mendNoLedger && p.mending != nil && p.mending() {
			for i := range r.States {
				r.States[i].Ledger = nil
			}
		}
	}
	return answer
}

// Disk.

type memDisk struct {
	w     *world
	owner *machine
	id    string

	mu     sync.Mutex
	tables map[string]map[string][]byte // what reads see
	life   int
	queue  []*write
	busy   bool
	flight []*write // in a commit that is under way
	undo   []func() // what only the fault of no sync can lose
	slow   time.Duration
	stands chan struct{} // nil while the disk goes; else closed once it goes on
	full   bool          // it takes no more bytes
	syncs  int
}

type write struct {
	writes []sqlitelog.Write
	done   chan error
}

func (w *world) disk(owner *machine, id string) *memDisk {
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
		d.apply(d.flight)
	}
	if power {
		for _, u := range slices.Backward(d.undo) {
			u()
		}
	}
	d.undo = nil
	for _, g := range append(d.flight, d.queue...) {
		g.done <- sqlitelog.ErrClosed
	}
	d.life++
	d.queue, d.flight, d.busy = nil, nil, false
	if d.stands != nil { // the disk stands still for the next life as well
		close(d.stands)
		d.stands = make(chan struct{})
	}
}

// stall has syncs, and reads behind one, wait until the disk goes on.
func (d *memDisk) stall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stands == nil {
		d.stands = make(chan struct{})
	}
}

// goOn ends a stall.
func (d *memDisk) goOn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stands != nil {
		close(d.stands)
		d.stands = nil
	}
}

// fill has the disk take no more bytes, or take them again.
func (d *memDisk) fill(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// goes waits, in the given life, while the disk stands still; a life that is over waits no more.
func (d *memDisk) goes(life int) {
	for {
		d.mu.Lock()
		c := d.stands
		over := d.life != life
		d.mu.Unlock()
		if c == nil || over {
			return
		}
		<-c
	}
}

// readable waits as goes does, where a commit is under way: a file is read under the same hold as it is written.
func (d *memDisk) readable(life int) {
	d.mu.Lock()
	busy := d.busy
	d.mu.Unlock()
	if busy {
		d.goes(life)
	}
}

func (d *memDisk) syncTime() time.Duration {
	if d.slow > 0 {
		return d.slow
	}
	return d.w.lag("disk", d.owner.name, 0)/4 + 300*time.Microsecond
}

// run makes commits of groups until nothing waits.
func (d *memDisk) run(life int) {
	for {
		d.mu.Lock()
		if d.life != life || len(d.queue) == 0 {
			if d.life == life {
				d.busy = false
			}
			d.mu.Unlock()
			return
		}
		d.flight, d.queue = d.queue, nil
		took := d.syncTime()
		d.mu.Unlock()
		if d.w.fault != noSync {
			time.Sleep(took)
			d.goes(life)
			d.owner.thawed()
		}
		d.mu.Lock()
		if d.life != life {
			d.mu.Unlock()
			return
		}
		if d.w.fault == noSync {
			for _, g := range d.flight {
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
			d.apply(d.flight)
			d.syncs++
		}
		for _, g := range d.flight {
			g.done <- outcome
		}
		d.flight = nil
		d.mu.Unlock()
	}
}

// decodeCall is the disk as one life of its process has it.
type decodeCall struct {
	d    *memDisk
	life int
}

func (h decodeCall) Identity() (string, bool) { return h.d.id, false }

func (h decodeCall) Submit(writes []sqlitelog.Write) turnstore.Pending {
	g := &write{writes: writes, done: make(chan error, 1)}
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	switch {
	case h.d.life != h.life:
		g.done <- sqlitelog.ErrClosed
	case len(writes) == 0:
		g.done <- nil
	default:
		h.d.queue = append(h.d.queue, g)
		if !h.d.busy {
			h.d.busy = true
			h.d.w.wg.Go(func() { h.d.run(h.life) })
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

func (h decodeCall) Commit(ctx context.Context, writes []sqlitelog.Write) error {
	return h.Submit(writes).Wait(ctx)
}

func (h decodeCall) Room() (left, most int64, err error) { return 0, 0, nil }

func (h decodeCall) Get(table string, key []byte) ([]byte, error) {
	h.d.readable(h.life)
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	return h.d.tables[table][string(key)], nil
}

func (h decodeCall) GetMany(table string, keys [][]byte, most int) (out [][]byte, err error) {
	h.d.readable(h.life)
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	for size := 0; len(out) < len(keys) && size <= most; {
		v := h.d.tables[table][string(keys[len(out)])]
		out = append(out, v)
		size += len(v)
	}
	return out, nil
}

func (h decodeCall) Range(table string, _, _ []byte, f func(k, v []byte) error) error {
	h.d.readable(h.life)
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	var keys []string
	for k := range h.d.tables[table] {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if err := f([]byte(k), h.d.tables[table][k]); err != nil {
			return err
		}
	}
	return nil
}

// Store machines.

type machine struct {
	node
	addr string
	file atomic.Pointer[memDisk]
	life atomic.Pointer[life]
}

type life struct {
	ctx      context.Context
	stop     context.CancelFunc
	store    *turnstore.Server
	handlers map[rpc.Method]rpc.Handler
	had      map[string]bool // turns it had; false: dropped
}

func (w *world) addStore(name, zone string) *machine {
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

// slow has each sync take so long; 0: as usual.
func (m *machine) slow(d time.Duration) {
	disk := m.disk()
	disk.mu.Lock()
	defer disk.mu.Unlock()
	disk.slow = d
}

func (m *machine) start() {
	if m.life.Load() != nil {
		return
	}
	w := m.w
	l := &life{had: map[string]bool{}}
	l.ctx, l.stop = context.WithCancel(context.Background())
	m.heard.Store(nil)
	c := make(chan struct{})
	m.changed.Store(&c)
	var mending atomic.Int64
	p := port{n: &m.node, ctx: l.ctx, mending: func() bool { return mending.Load() > 0 }}
	m.disk().mu.Lock()
	h := decodeCall{m.disk(), m.disk().life}
	m.disk().mu.Unlock()
	store, err := turnstore.NewServerOn(h, p, m.placement, func() <-chan struct{} { return *m.changed.Load() })
	if err != nil {
		w.fail("%s does not start: %v", m.name, err)
		l.stop()
		return
	}
	l.store, l.handlers = store, store.Handlers()
	if w.fault == mendNoLedger {
		take := l.handlers[turnstore.MethodRepair]
		l.handlers[turnstore.MethodRepair] = func(ctx context.Context, b []byte) (any, error) {
			mending.Add(1)
			time.AfterFunc(turnstore.RepairAfter+500*time.Millisecond, func() { mending.Add(-1) })
			return take(ctx, b)
		}
	}
	m.life.Store(l)
	w.note(m.name, "up as %s", m.disk().id)
	w.wg.Go(func() { store.Run(l.ctx) })
	w.wg.Go(func() { m.register(l) })
	w.core.tell(w, &m.node)
}

// register tells the core of the store, again and again.
func (m *machine) register(l *life) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	var told int64 = -1
	var at time.Time
	for {
		swept, gen := l.store.SweptGeneration(), l.store.AdoptedGeneration()
		if m.w.fault == genUntold {
			swept, gen = 0, 0
		}
		every := 400 * time.Millisecond
		if p := m.placement(); p == nil || !slices.ContainsFunc(p.Stores(), func(s turnstore.Store) bool { return s.ID == m.disk().id }) {
			every = 90 * time.Millisecond
		}
		if p := m.placement(); m.w.fault == sweptEarly && p != nil {
			swept = p.Generation
		}
		if swept != told || time.Since(at) > every {
			told, at = swept, time.Now()
			self := turnstore.Store{ID: m.disk().id, Name: m.name, Addr: m.addr, Zone: m.zone}
			m.w.wg.Go(func() {
				time.Sleep(m.w.lag(m.name, "core", 99))
				m.thawed()
				if m.w.pass(m.name, "core") && l.ctx.Err() == nil {
					m.w.core.register(m.w, self, gen, swept)
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
	l := m.life.Swap(nil)
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
	m.w.core.mu.Lock()
	m.w.core.wiped++
	id := fmt.Sprintf("%s.%d", m.name, m.w.core.wiped)
	m.w.core.mu.Unlock()
	if m.w.fault == oldIdentity {
		id = m.disk().id
	}
	empty := m.w.disk(m, id)
	if m.w.fault == oldIdentity {
		empty.tables[turnstore.Facts] = m.disk().tables[turnstore.Facts]
	}
	m.file.Store(empty)
	m.w.note(m.name, "wiped")
}

// Core: the holder of the duty of placement.

type core struct {
	mu      sync.Mutex
	place   *turnstore.Placement
	since   time.Duration
	gen     int64
	began   time.Duration // when the gen was seen first
	stores  map[string]placement.StoreStatus
	retired map[string]bool
	wiped   int
}

func (c *core) register(w *world, s turnstore.Store, gen, swept int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	placement.Register(c.stores, placement.Registration{Store: s, Generation: gen, SweptGeneration: swept}, w.now(), placement.DefaultTimings(contact))
}

// run plans the placement; now and then the duty moves to another node.
func (c *core) run(w *world) {
	timings := placement.DefaultTimings(contact)
	move := w.span(10*time.Second, 60*time.Second)
	for w.sleep(100 * time.Millisecond) {
		c.mu.Lock()
		if w.now() > move {
			move += 40 * time.Second
			c.stores, c.since = map[string]placement.StoreStatus{}, w.now()
		}
		if c.place != nil && c.place.Generation != c.gen {
			c.gen, c.began = c.place.Generation, w.now()
		}
		next := placement.Plan(placement.Input{Now: w.now(), TookOverAt: c.since, GenerationSince: max(c.since, c.began), FaultTolerance: 1, Current: c.place, Stores: c.stores, Retired: c.retired}, timings)
		if next != nil {
			c.place = next
		}
		c.mu.Unlock()
		if next == nil {
			continue
		}
		w.note("core", "%s", show(next))
		for _, n := range w.nodes() {
			c.tell(w, n)
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

func (w *world) nodes() (out []*node) {
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

// tell has a node hear the placement after a while.
func (c *core) tell(w *world, n *node) {
	c.mu.Lock()
	p := c.place
	c.mu.Unlock()
	if p == nil {
		return
	}
	w.wg.Go(func() {
		time.Sleep(5*time.Millisecond + 3*w.lag("core", n.name, 98))
		for !w.pass("core", n.name) {
		}
		n.thawed()
		switch {
		case !strings.HasPrefix(n.name, "f"):
		case w.fault == majorityOfOne:
			one := *p
			one.ReplicationFactor, one.DurableReplicas = 1, 1
			p = &one
		case w.fault == onlyNew && len(p.New) > 0:
			one := *p
			one.Old, one.New = p.New, nil
			p = &one
		}
		n.hear(p)
	})
}

// anew has the core know nothing any more, as after the loss of all its disks.
func (c *core) anew(w *world) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.place, c.stores, c.retired, c.since = nil, map[string]placement.StoreStatus{}, map[string]bool{}, w.now()
	w.lines = append(w.lines, line{w.now(), "core", "founded anew"})
}

// complete tells whether a store may go, as the operator is told.
func (c *core) complete(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.place != nil && len(c.place.New) == 0 && !slices.ContainsFunc(c.place.Old, func(s turnstore.Store) bool { return s.ID == id })
}

func (c *core) retire(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.place == nil || !placement.CanRetire(c.place, c.retired, 1) {
		return false
	}
	c.retired[id] = true
	return true
}

// expectRepair: a store that was told that it is not whole has, a while later, the ledger that the others have now.
func (w *world) expectRepair(to *machine, l *life, raw []byte) {
	var n turnstore.Notice
	if rpc.Decode(raw, &n) != nil || !w.noDigest {
		return
	}
	p := to.placement()
	if p == nil || p.Generation != n.To.Generation || to.disk().id != n.To.Store || len(p.New) > 0 {
		return
	}
	w.oracle.mu.Lock()
	stormy := w.now() < w.oracle.stormy
	w.oracle.mu.Unlock()
	if stormy {
		return
	}
	want := l.store.Ledger(n.Key)
	for _, c := range p.ReplicaSets(n.Key)[0] {
		m := w.at(c.Addr)
		if m == nil || m.life.Load() == nil || m.disk().id != c.ID || m.frozen.Load() != nil {
			return
		}
		other := m.life.Load().store.Ledger(n.Key)
		want.Merge(other.Entries())
	}
	quiet := w.oracle.troubles.Load()
	w.wg.Go(func() {
		if !w.sleep(4*time.Second) || quiet != w.oracle.troubles.Load() || l.ctx.Err() != nil || to.placement() != p {
			return // what a change of the placement interrupts is a sweep's
		}
		got := l.store.Ledger(n.Key)
		for _, e := range want.Entries() {
			if have, ok := got.Get(e.Turn); !ok || have.Join(e) != have {
				w.fail("%s was told that %s is not whole there, and lacks %+v of its ledger 4 s later", to.name, n.Key, e)
				return
			}
		}
	})
}
