package turnstore_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/turnstore"
)

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
