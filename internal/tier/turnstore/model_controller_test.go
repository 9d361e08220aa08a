package turnstore_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

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
