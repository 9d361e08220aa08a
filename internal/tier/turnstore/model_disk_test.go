package turnstore_test

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/turnstore"
)

// memDisk is the disk of a store, with group commit and faults. It survives its process.
type memDisk struct {
	sim   *simulation
	owner *machine
	id    string

	mu          sync.Mutex
	tables      map[string]map[string][]byte // committed
	incarnation int                          // of the process that has the disk open
	queue       []*write
	busy        bool          // run is active
	inFlight    []*write      // in the current commit
	undo        []func()      // undoes commits; used by the fault noSync only
	slow        time.Duration // of a sync; 0: drawn
	stalled     chan struct{} // closed when the stall ends; nil: not stalled
	full        bool          // rejects writes
}

// write is the writes of one call and their outcome.
type write struct {
	writes []sqlitelog.Write
	done   chan error
}

func (sim *simulation) disk(owner *machine, id string) *memDisk {
	return &memDisk{sim: sim, owner: owner, id: id, tables: map[string]map[string][]byte{}}
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

// crash ends an incarnation: the current commit is made if keep is set, the queue is lost. power: without syncs, so are commits.
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
	if d.stalled != nil { // the disk stays stalled for the next incarnation
		close(d.stalled)
		d.stalled = make(chan struct{})
	}
}

// stall blocks syncs, and reads during one, until resume.
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

// setFull sets whether the disk rejects writes.
func (d *memDisk) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// awaitResume waits while the disk is stalled, or until the incarnation has ended.
func (d *memDisk) awaitResume(incarnation int) {
	for {
		d.mu.Lock()
		c := d.stalled
		over := d.incarnation != incarnation
		d.mu.Unlock()
		if c == nil || over {
			return
		}
		<-c
	}
}

// awaitReadable waits like awaitResume during a commit: reads and writes of a file share one connection.
func (d *memDisk) awaitReadable(incarnation int) {
	d.mu.Lock()
	busy := d.busy
	d.mu.Unlock()
	if busy {
		d.awaitResume(incarnation)
	}
}

func (d *memDisk) syncTime() time.Duration {
	if d.slow > 0 {
		return d.slow
	}
	return d.sim.delay("disk", d.owner.name, 0)/4 + 300*time.Microsecond
}

// run commits groups until the queue is empty.
func (d *memDisk) run(incarnation int) {
	for {
		d.mu.Lock()
		if d.incarnation != incarnation || len(d.queue) == 0 {
			if d.incarnation == incarnation {
				d.busy = false
			}
			d.mu.Unlock()
			return
		}
		d.inFlight, d.queue = d.queue, nil
		duration := d.syncTime()
		d.mu.Unlock()
		if d.sim.fault != noSync {
			time.Sleep(duration)
			d.awaitResume(incarnation)
			d.owner.awaitThaw()
		}
		d.mu.Lock()
		if d.incarnation != incarnation {
			d.mu.Unlock()
			return
		}
		if d.sim.fault == noSync {
			d.recordUndo()
		}
		var outcome error
		if d.full {
			outcome = sqlitelog.ErrFull
		} else {
			d.apply(d.inFlight)
		}
		for _, g := range d.inFlight {
			g.done <- outcome
		}
		d.inFlight = nil
		d.mu.Unlock()
	}
}

// recordUndo records how to undo the last 40 writes, including those in flight. d.mu is held.
func (d *memDisk) recordUndo() {
	for _, g := range d.inFlight {
		for _, one := range g.writes {
			value, existed := d.tables[one.Table][string(one.Key)]
			d.undo = append(d.undo, func() {
				if existed {
					d.tables[one.Table][string(one.Key)] = value
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

// diskHandle is the disk as opened by one incarnation.
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
			h.disk.sim.wg.Go(func() { h.disk.run(h.incarnation) })
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
