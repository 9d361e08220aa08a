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

// machine is a store machine with its disk, on which store processes run one after the other.
type machine struct {
	node
	addr        string
	file        atomic.Pointer[memDisk]     // its disk
	incarnation atomic.Pointer[incarnation] // the running process; nil: none
}

// incarnation is one run of a store process.
type incarnation struct {
	ctx      context.Context
	stop     context.CancelFunc
	store    *turnstore.Server
	handlers map[rpc.Method]rpc.Handler
	seen     map[string]bool // turns that it had at some time; false: expired
}

func (sim *simulation) addStore(name, zone string) *machine {
	m := &machine{addr: name + ":1"}
	m.sim, m.name, m.zone = sim, name, zone
	m.file.Store(sim.disk(m, name))
	sim.mu.Lock()
	sim.stores = append(sim.stores, m)
	sim.mu.Unlock()
	m.start()
	return m
}

func (m *machine) disk() *memDisk { return m.file.Load() }

// setSyncTime sets the duration of syncs; 0: drawn.
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
	sim := m.sim
	started := &incarnation{seen: map[string]bool{}}
	started.ctx, started.stop = context.WithCancel(context.Background())
	m.received.Store(nil)
	c := make(chan struct{})
	m.changed.Store(&c)
	var repairs atomic.Int64
	p := endpoint{n: &m.node, ctx: started.ctx, repairing: func() bool { return repairs.Load() > 0 }}
	m.disk().mu.Lock()
	disk := diskHandle{m.disk(), m.disk().incarnation}
	m.disk().mu.Unlock()
	store, err := turnstore.NewServerOn(disk, p, m.placement, func() <-chan struct{} { return *m.changed.Load() })
	if err != nil {
		sim.violation("%s does not start: %v", m.name, err)
		started.stop()
		return
	}
	started.store, started.handlers = store, store.Handlers()
	if sim.fault == repairWithoutLedger {
		handle := started.handlers[turnstore.MethodRepair]
		started.handlers[turnstore.MethodRepair] = func(ctx context.Context, b []byte) (any, error) {
			repairs.Add(1)
			time.AfterFunc(turnstore.RepairDelay+500*time.Millisecond, func() { repairs.Add(-1) })
			return handle(ctx, b)
		}
	}
	m.incarnation.Store(started)
	sim.note(m.name, "up as %s", m.disk().id)
	sim.wg.Go(func() { store.Run(started.ctx) })
	sim.wg.Go(func() { m.register(started) })
	sim.controller.sendPlacement(sim, &m.node)
}

// register registers the store with the controller periodically.
func (m *machine) register(l *incarnation) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	var registered int64 = -1 // swept generation of the last registration
	var at time.Time          // of the last registration
	for {
		swept, gen := l.store.SweptGeneration(), l.store.AdoptedGeneration()
		if m.sim.fault == generationNotReported {
			swept, gen = 0, 0
		}
		interval := 400 * time.Millisecond
		if p := m.placement(); p == nil || !slices.ContainsFunc(p.Stores(),
			func(s turnstore.Store) bool { return s.ID == m.disk().id }) {
			interval = 90 * time.Millisecond
		}
		if p := m.placement(); m.sim.fault == sweptTooSoon && p != nil {
			swept = p.Generation
		}
		if swept != registered || time.Since(at) > interval {
			registered, at = swept, time.Now()
			self := turnstore.Store{ID: m.disk().id, Name: m.name, Addr: m.addr, Zone: m.zone}
			m.sim.wg.Go(func() {
				time.Sleep(m.sim.delay(m.name, "core", 99))
				m.awaitThaw()
				if m.sim.awaitPath(m.name, "core") && l.ctx.Err() == nil {
					m.sim.controller.register(m.sim, self, gen, swept)
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

// kill ends the process; with power, what its disk has not synced is lost as well.
func (m *machine) kill(power bool) {
	l := m.incarnation.Swap(nil)
	if l == nil {
		return
	}
	event := "killed"
	if power {
		event = "power lost"
	}
	m.sim.note(m.name, "%s", event)
	m.disk().crash(m.sim.oneIn(2), power)
	l.stop()
	m.thaw()
}

// wipe gives the machine an empty disk; its process must have ended.
func (m *machine) wipe() {
	m.sim.controller.mu.Lock()
	m.sim.controller.wiped++
	id := fmt.Sprintf("%s.%d", m.name, m.sim.controller.wiped)
	m.sim.controller.mu.Unlock()
	if m.sim.fault == reusedIdentity {
		id = m.disk().id
	}
	empty := m.sim.disk(m, id)
	if m.sim.fault == reusedIdentity {
		empty.tables[turnstore.Facts] = m.disk().tables[turnstore.Facts]
	}
	m.file.Store(empty)
	m.sim.note(m.name, "wiped")
}

// checkRepair checks that a store which receives a repair notice has, 4 s later, the ledger that its peers have now.
func (sim *simulation) checkRepair(to *machine, l *incarnation, raw []byte) {
	var n turnstore.RepairNotice
	if rpc.Decode(raw, &n) != nil || !sim.noDigest {
		return
	}
	p := to.placement()
	if p == nil || p.Generation != n.To.Generation || to.disk().id != n.To.Store || len(p.New) > 0 {
		return
	}
	sim.oracle.mu.Lock()
	faulty := sim.now() < sim.oracle.faultsUntil
	sim.oracle.mu.Unlock()
	if faulty {
		return
	}
	want := l.store.Ledger(n.Key)
	for _, c := range p.ReplicaSets(n.Key)[0] {
		m := sim.storeAt(c.Addr)
		if m == nil || m.incarnation.Load() == nil || m.disk().id != c.ID || m.frozen.Load() != nil {
			return
		}
		other := m.incarnation.Load().store.Ledger(n.Key)
		want.Merge(other.Entries())
	}
	faults := sim.oracle.faults.Load()
	sim.wg.Go(func() {
		if !sim.sleep(4*time.Second) || faults != sim.oracle.faults.Load() || l.ctx.Err() != nil || to.placement() != p {
			return // a change of the placement supersedes the repair by a sweep
		}
		got := l.store.Ledger(n.Key)
		for _, e := range want.Entries() {
			if have, ok := got.Get(e.Turn); !ok || have.Join(e) != have {
				sim.violation("%s was notified that it lacks turns of %s, and lacks %+v of its ledger 4 s later", to.name, n.Key, e)
				return
			}
		}
	})
}
