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
