package orders

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

// storeSimulation simulates operators who retire stores, with hardly more stores than required, while heads change and
// machines reuse names, lose their disks, or return after their removal.
type storeSimulation struct {
	*chainModel
	bug               storeBug
	failure           string
	events            []string
	machines          map[string]turnstore.Store // running machines by name
	identitiesCreated int
	committedLog      entryLog          // all committed entries
	acknowledged      map[string]string // by name: identity of the store that had the name when the order was acknowledged
	retired           map[string]bool   // identities of retired stores that have left the placement
	removedMachines   []turnstore.Store // an operator may start them again by mistake
	newestStore       string            // name of the store last added to the placement
	headSince         time.Duration     // time when the current head took over
	head              *replica
	answers           map[Kind]int
}

func (c *storeSimulation) fail(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
		c.logf("FAIL %s", c.failure)
	}
}

func (c *storeSimulation) startMachine(name string) {
	c.identitiesCreated++
	c.machines[name] = turnstore.Store{ID: fmt.Sprintf("id%d", c.identitiesCreated), Name: name, Addr: name}
	c.logf("machine %s is %s", name, c.machines[name].ID)
}

func newStoreSimulation(seed uint64, bug storeBug) *storeSimulation {
	rng := rand.New(rand.NewPCG(seed, 17))
	sim := &storeSimulation{chainModel: newChainModel(rng, 3+rng.IntN(2), nil), bug: bug, machines: map[string]turnstore.Store{},
		acknowledged: map[string]string{}, retired: map[string]bool{}, answers: map[Kind]int{}}
	sim.logf = func(format string, args ...any) {
		sim.events = append(sim.events, fmt.Sprintf("%8.2f ", sim.now.Seconds())+fmt.Sprintf(format, args...))
	}
	for i := range 4 + rng.IntN(3) {
		sim.startMachine(string(rune('a' + i)))
	}
	sim.onCommit, sim.onHeadStep = sim.handleCommit, sim.planPlacement
	return sim
}

// committedState returns the state of the committed entries.
func (c *storeSimulation) committedState() *State {
	s, err := ReadState(c.committedLog.entries, 1)
	if err != nil {
		c.fail("%v", err)
		return &State{}
	}
	return s
}

func (c *storeSimulation) handleCommit(e chain.Entry) {
	before := c.committedState()
	c.committedLog.entries = append(c.committedLog.entries, e)
	c.committedLog.compact()
	state := c.committedState()
	c.logf("%s", describe(state))
	if before.Placement != nil {
		for _, store := range before.Placement.Stores() {
			if before.Retired()[store.ID] && !containsID(state.Placement.Stores(), store.ID) {
				c.retired[store.ID] = true
			}
		}
	}
	if state.Placement == nil {
		return
	}
	for _, store := range state.Placement.Stores() {
		if before.Placement != nil && !containsID(before.Placement.Stores(), store.ID) {
			c.newestStore = store.Name
			c.checkRetiringStoreNotReplaced(before, store)
		}
		if c.retired[store.ID] {
			c.fail("%s was retired and is placed again", store.ID)
		}
	}
	staying := slices.DeleteFunc(targetStores(state.Placement), func(o turnstore.Store) bool { return state.Retired()[o.ID] })
	if strings.HasPrefix(e.Key, feed.RetirePrefix) && len(staying) < 3 {
		c.fail("a retirement leaves only %d stores", len(staying))
	}
}

// checkRetiringStoreNotReplaced checks that a machine that lost its disk while it was being retired is not placed again.
func (c *storeSimulation) checkRetiringStoreNotReplaced(before *State, placed turnstore.Store) {
	for _, store := range before.Placement.Stores() {
		if store.Name == placed.Name && before.Retired()[store.ID] {
			c.fail("%s was being retired as %s, and is placed again as %s", store.Name, store.ID, placed.ID)
		}
	}
}

func describe(s *State) string {
	var b strings.Builder
	if s.Placement != nil {
		fmt.Fprintf(&b, "gen %d, old", s.Placement.Generation)
		for _, store := range s.Placement.Old {
			fmt.Fprintf(&b, " %s(%s)", store.Name, store.ID)
		}
		fmt.Fprint(&b, ", new")
		for _, store := range s.Placement.New {
			fmt.Fprintf(&b, " %s(%s)", store.Name, store.ID)
		}
	}
	return fmt.Sprintf("%s, retirements %v", b.String(), s.Retirements)
}

func targetStores(p *turnstore.Placement) []turnstore.Store {
	if len(p.New) > 0 {
		return slices.Clone(p.New)
	}
	return slices.Clone(p.Old)
}

func containsID(all []turnstore.Store, id string) bool {
	return slices.ContainsFunc(all, func(o turnstore.Store) bool { return o.ID == id })
}

// planPlacement plans the placement in the same way as the head of the control plane, once its last write is committed.
func (c *storeSimulation) planPlacement(r *replica) {
	if c.head != r {
		c.head, c.headSince = r, c.now
	}
	if r.commitIndex < r.lastIndex || c.rng.IntN(5) > 0 {
		return
	}
	state, err := ReadState(r.entries, 1)
	if err != nil {
		c.fail("%v", err)
		return
	}
	registry := map[string]placement.StoreStatus{}
	input := placement.Input{Now: c.now, TookOverAt: c.headSince, FaultTolerance: 1, Current: state.Placement,
		Stores: registry, Retired: state.Retired()}
	for _, store := range c.machines {
		registered := placement.StoreStatus{Store: store, ConfirmedAt: c.now}
		if state.Placement != nil {
			registered.SweptGeneration = state.Placement.Generation
		}
		registry[store.ID] = registered
	}
	if lost := placement.SuccessorsOfRetiringStores(input); len(lost) > 0 && !c.bug.dropOnDiskLoss {
		r.append(Write{Key: RetireKey(lost[0].Name, lost[0].ID), Value: rpc.Encode(&feed.RetireEntry{ID: lost[0].ID})})
		return
	}
	if next := placement.Plan(input, placement.DefaultTimings(2*time.Second)); next != nil {
		r.append(Write{Key: feed.PlacementKey, Value: rpc.Encode(next)})
	}
}

// decideWithBug returns the decision with the injected bug.
func (c *storeSimulation) decideWithBug(entries []chain.Entry, o Order) Decision {
	d, err := Decide(entries, 1, o)
	if err != nil {
		c.fail("%v", err)
	}
	switch o := o.(type) {
	case RetireStore:
		if c.bug.keyByName && d.Kind == Accept {
			d.Append[0].Key = feed.RetirePrefix + o.Name
		}
		if c.bug.forgetRetired && d.Kind == Retired {
			d.Kind = NotFound
		}
	case StorePhase:
		s, err := ReadState(entries, 1)
		if c.bug.stalePhase && err == nil && s.Placement != nil {
			for _, r := range s.Retirements {
				if r.Name == o.Name && !containsID(s.Placement.Stores(), r.ID) {
					d.Kind = Complete
				}
			}
		}
	}
	return d
}

// sendRetire sends an order to retire a store to the head of some replica's epoch.
func (c *storeSimulation) sendRetire(name string) {
	r := c.randomHead()
	if !r.isHead() {
		return
	}
	entries := r.entries
	if c.bug.committedOnly {
		entries = r.committed()
	}
	d := c.decideWithBug(entries, RetireStore{Name: name})
	before := c.committedState()
	reply := pendingReply{dependsOn: d.DependsOn, deadline: c.now + callTimeout,
		confirmedAt: c.now + time.Duration(1+c.rng.IntN(40))*time.Millisecond}
	reply.reply = func(ok bool) {
		if ok {
			c.checkAnswer(name, d, before)
		}
	}
	switch {
	case d.Kind == Accept:
		for _, w := range d.Append {
			r.append(w)
		}
		reply.dependsOn, reply.confirmedAt = r.lastIndex, 0
	case c.bug.skipConfirmation:
		reply.confirmedAt = 0
	case c.bug.ignoreDependency:
		reply.dependsOn = 0
	}
	r.pending = append(r.pending, reply)
}

// checkAnswer checks an answer against the current committed state, and that from before, when the order arrived.
func (c *storeSimulation) checkAnswer(name string, decision Decision, before *State) {
	c.answers[decision.Kind]++
	s := c.committedState()
	switch {
	case decision.Kind.IsAcknowledgement():
		if !s.hasRetirement(name) {
			c.fail("the order for %s was acknowledged (%v), and is not committed", name, decision.Kind)
		}
		if before.Placement != nil {
			if store, placed, _ := before.storeByName(name); placed {
				c.acknowledged[name] = store.ID
			}
		}
	case decision.Kind == NotFound && before.Placement != nil:
		if _, placed, _ := before.storeByName(name); placed {
			c.fail("%s is placed, and was reported as not found", name)
		}
		if before.hasRetirement(name) {
			c.fail("the order for %s was accepted, and was rejected: %v", name, decision.Kind)
		}
	case decision.Kind == Conflict && before.Placement != nil:
		if store, placed, _ := before.storeByName(name); placed && before.Retired()[store.ID] {
			c.fail("the order for %s was accepted, and was rejected: %v", name, decision.Kind)
		}
	}
}

// sendPhase queries the phase of a retirement at a tail. If it is Complete the operator may remove the machine and its disk.
func (c *storeSimulation) sendPhase(name string) {
	r := c.replicas[c.rng.IntN(len(c.replicas))]
	if !r.isTail() {
		return
	}
	reply := func(ok bool) {
		if !ok {
			return
		}
		d := c.decideWithBug(r.committed(), StorePhase{Name: name})
		c.answers[d.Kind]++
		if d.Kind != Complete {
			return
		}
		store, running := c.machines[name]
		if running && containsID(c.committedState().Placement.Stores(), store.ID) {
			c.fail("the retirement of %s is reported as complete, and the store %s of that name is placed", name, store.ID)
		}
		if running && (c.acknowledged[name] == store.ID || c.rng.IntN(4) == 0) {
			c.removeMachine(store)
		}
	}
	r.pending = append(r.pending, pendingReply{confirmedAt: c.now + readConfirmTime, deadline: c.now + callTimeout, reply: reply})
}

// removeMachine removes a machine. Later another one is started: a new one with the old or a new name, or a removed one.
func (c *storeSimulation) removeMachine(machine turnstore.Store) {
	c.logf("machine %s, %s, is removed", machine.Name, machine.ID)
	delete(c.machines, machine.Name)
	c.removedMachines = append(c.removedMachines, machine)
	c.schedule(time.Duration(500+c.rng.IntN(5000))*time.Millisecond, func() {
		name := machine.Name
		switch c.rng.IntN(4) {
		case 0:
			removed := c.removedMachines[c.rng.IntN(len(c.removedMachines))]
			if _, running := c.machines[removed.Name]; !running {
				c.machines[removed.Name] = removed
				c.logf("machine %s returns as %s", removed.Name, removed.ID)
			}
		case 1:
			name = fmt.Sprintf("n%d", c.identitiesCreated)
			fallthrough
		default:
			if _, running := c.machines[name]; !running {
				c.startMachine(name)
			}
		}
	})
}

// randomHead returns the head of a random replica's epoch, or sometimes the head of an older epoch.
func (c *storeSimulation) randomHead() *replica {
	if c.rng.IntN(3) == 0 {
		for _, r := range c.replicas {
			if r.isHead() && r.epoch < c.epoch {
				return r
			}
		}
	}
	return c.replicas[c.rng.IntN(len(c.replicas))].chain[0]
}

// loseDisk restarts a running machine with an empty disk.
func (c *storeSimulation) loseDisk(name string) {
	if _, running := c.machines[name]; running {
		c.startMachine(name)
	}
}

func (c *storeSimulation) run() {
	viewInterval := time.Duration(1+c.rng.IntN(6)) * time.Second
	for c.now < simulatedTime && c.failure == "" {
		if c.rng.IntN(int(viewInterval/simulationStep)) == 0 {
			c.changeView(false)
		}
		name := string(rune('a' + c.rng.IntN(10)))
		if c.newestStore != "" && c.rng.IntN(3) == 0 {
			name = c.newestStore
		}
		if c.rng.IntN(150) == 0 {
			c.sendRetirements()
		}
		if c.rng.IntN(30) == 0 {
			c.sendPhase(name)
		}
		if c.rng.IntN(2000) == 0 {
			c.loseDisk(name)
		}
		if len(c.machines) < 4 && c.rng.IntN(100) == 0 && c.machines[name].ID == "" {
			c.startMachine(name)
		}
		c.step()
	}
}

// sendRetirements sends up to three orders close together, some of them again much later. Some machines lose their disks
// meanwhile.
func (c *storeSimulation) sendRetirements() {
	for range 1 + c.rng.IntN(3) {
		name := string(rune('a' + c.rng.IntN(8)))
		if c.newestStore != "" && c.rng.IntN(3) == 0 {
			name = c.newestStore // the head of an older epoch may not know this store
		}
		c.schedule(time.Duration(c.rng.IntN(20))*time.Millisecond, func() { c.sendRetire(name) })
		if c.rng.IntN(3) == 0 {
			c.schedule(time.Duration(c.rng.IntN(300))*time.Millisecond, func() { c.loseDisk(name) })
		}
		if c.rng.IntN(3) == 0 {
			c.schedule(time.Duration(c.rng.IntN(20_000))*time.Millisecond, func() { c.sendRetire(name) })
		}
	}
}
