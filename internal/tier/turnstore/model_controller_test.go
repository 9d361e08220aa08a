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

// controller is the control plane's planner of the placement.
type controller struct {
	mu              sync.Mutex
	placement       *turnstore.Placement // nil before the founding
	tookOverAt      time.Duration        // by the node that plans
	generation      int64
	generationSince time.Duration // when the generation was first seen
	stores          map[string]placement.StoreStatus
	retired         map[string]bool
	wiped           int // disks, for new identities
}

func (c *controller) register(sim *simulation, s turnstore.Store, generation, swept int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	registration := placement.Registration{Store: s, Generation: generation, SweptGeneration: swept}
	placement.Register(c.stores, registration, sim.now(), placement.DefaultTimings(contact))
}

// run plans the placement; the role moves to another node, without its state, after a random time and every 40 s from then on.
func (c *controller) run(sim *simulation) {
	timings := placement.DefaultTimings(contact)
	move := sim.span(10*time.Second, 60*time.Second)
	for sim.sleep(100 * time.Millisecond) {
		c.mu.Lock()
		if sim.now() > move {
			move += 40 * time.Second
			c.stores, c.tookOverAt = map[string]placement.StoreStatus{}, sim.now()
		}
		if c.placement != nil && c.placement.Generation != c.generation {
			c.generation, c.generationSince = c.placement.Generation, sim.now()
		}
		next := placement.Plan(placement.Input{Now: sim.now(), TookOverAt: c.tookOverAt,
			GenerationSince: max(c.tookOverAt, c.generationSince), FaultTolerance: 1, Current: c.placement,
			Stores: c.stores, Retired: c.retired}, timings)
		if next != nil {
			c.placement = next
		}
		c.mu.Unlock()
		if next == nil {
			continue
		}
		sim.note("core", "%s", show(next))
		for _, n := range sim.nodes() {
			c.sendPlacement(sim, n)
		}
	}
}

// show formats a placement.
func show(p *turnstore.Placement) string {
	list := func(l []turnstore.Store) (out []string) {
		for _, s := range l {
			out = append(out, s.ID)
		}
		return out
	}
	return strings.TrimSpace(fmt.Sprintf("generation %d: %s > %s", p.Generation, strings.Join(list(p.Old), ","),
		strings.Join(list(p.New), ",")))
}

// sendPlacement sends the placement to a node.
func (c *controller) sendPlacement(sim *simulation, n *node) {
	c.mu.Lock()
	p := c.placement
	c.mu.Unlock()
	if p == nil {
		return
	}
	sim.wg.Go(func() {
		time.Sleep(5*time.Millisecond + 3*sim.delay("core", n.name, 98))
		for !sim.awaitPath("core", n.name) {
		}
		n.awaitThaw()
		switch {
		case !strings.HasPrefix(n.name, "f"):
		case sim.fault == majorityOfOne:
			changed := *p
			changed.ReplicationFactor, changed.DurableReplicas = 1, 1
			p = &changed
		case sim.fault == quorumOfNewListOnly && len(p.New) > 0:
			changed := *p
			changed.Old, changed.New = p.New, nil
			p = &changed
		}
		n.receivePlacement(p)
	})
}

// reset clears the controller's state, as after the loss of all disks of the control plane.
func (c *controller) reset(sim *simulation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placement, c.stores, c.retired, c.tookOverAt = nil, map[string]placement.StoreStatus{}, map[string]bool{}, sim.now()
	sim.log = append(sim.log, logLine{sim.now(), "core", "reset"})
}

// retirementComplete reports whether a store may be removed, as the operator sees it.
func (c *controller) retirementComplete(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.placement == nil || len(c.placement.New) > 0 {
		return false
	}
	return !slices.ContainsFunc(c.placement.Old, func(s turnstore.Store) bool { return s.ID == id })
}

// retire orders the retirement of a store, unless too few others are left.
func (c *controller) retire(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.placement == nil || !placement.CanRetire(c.placement, c.retired, 1) {
		return false
	}
	c.retired[id] = true
	return true
}
