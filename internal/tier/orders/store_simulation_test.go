package orders

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

// A stores' course is a drawn day of operators who have stores emptied, at the edge of what may be, while heads change,
// machines come under old names, lose their disks, or come back after they were taken away.

// storeFault is planted in the decisions about stores, or in how they are carried out.
type storeFault struct {
	keyByName        bool // an order is kept under the name alone, the next one of the name in its place
	stalePhase       bool // the phase is that of the order, whoever bears the name now
	committedOnly    bool // orders are decided in what is committed alone
	forgetRetired    bool // an emptied store is unknown
	noConfirm        bool // refusals rest on the commit alone
	ignoreDependency bool // answers rest on entries that are not committed
	dropOnDiskLoss   bool // an order lapses where its store loses its disk
}

type storeSimulation struct {
	*chainModel
	fault           storeFault
	failure         string
	events          []string
	machines        map[string]turnstore.Store // by name: those that run
	ids             int
	committedLog    entryLog          // all that is committed
	acknowledged    map[string]string // acknowledged: name to the store that bore it then
	retired         map[string]bool   // ids of stores that were emptied and left the placement
	removedMachines []turnstore.Store // machines that were taken away
	newestStore     string            // the name of the store that was placed last
	headSince       time.Duration     // when the head took the duty
	head            *replica
	answers         map[Kind]int
}

func (c *storeSimulation) fail(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
		c.logf("FAIL %s", c.failure)
	}
}

func (c *storeSimulation) startMachine(name string) {
	c.ids++
	c.machines[name] = turnstore.Store{ID: fmt.Sprintf("id%d", c.ids), Name: name, Addr: name}
	c.logf("machine %s is %s", name, c.machines[name].ID)
}

func newStoreSimulation(seed uint64, fault storeFault) *storeSimulation {
	rng := rand.New(rand.NewPCG(seed, 17))
	sim := &storeSimulation{chainModel: newChainModel(rng, 3+rng.IntN(2), nil), fault: fault, machines: map[string]turnstore.Store{},
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

// state of all that is committed.
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
	s := c.committedState()
	c.logf("%s", describe(s))
	if before.Placement != nil {
		for _, store := range before.Placement.Stores() {
			if before.Retired()[store.ID] && !containsID(s.Placement.Stores(), store.ID) {
				c.retired[store.ID] = true
			}
		}
	}
	if s.Placement == nil {
		return
	}
	for _, store := range s.Placement.Stores() {
		if before.Placement != nil && !containsID(before.Placement.Stores(), store.ID) {
			c.newestStore = store.Name
			c.checkRetiringStoreNotReplaced(before, store)
		}
		if c.retired[store.ID] {
			c.fail("%s was emptied and is placed again", store.ID)
		}
	}
	staying := slices.DeleteFunc(targetStores(s.Placement), func(o turnstore.Store) bool { return s.Retired()[o.ID] })
	if strings.HasPrefix(e.Key, feed.RetirePrefix) && len(staying) < 3 {
		c.fail("an order leaves %d stores", len(staying))
	}
}

// checkOrder: a machine that loses its disk while it is emptied is not placed again under that order.
func (c *storeSimulation) checkRetiringStoreNotReplaced(before *State, placed turnstore.Store) {
	for _, store := range before.Placement.Stores() {
		if store.Name == placed.Name && before.Retired()[store.ID] {
			c.fail("%s was being emptied as %s, and is placed as %s", store.Name, store.ID, placed.ID)
		}
	}
}

func describe(s *State) string {
	var b strings.Builder
	if s.Placement != nil {
		fmt.Fprintf(&b, "gen %d, old", s.Placement.Generation)
		for _, one := range s.Placement.Old {
			fmt.Fprintf(&b, " %s(%s)", one.Name, one.ID)
		}
		fmt.Fprint(&b, ", new")
		for _, one := range s.Placement.New {
			fmt.Fprintf(&b, " %s(%s)", one.Name, one.ID)
		}
	}
	return fmt.Sprintf("%s, ordered %v", b.String(), s.Retirements)
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

// plan does the head's duty of placement, once what it wrote last is committed.
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
	input := placement.Input{Now: c.now, TookOverAt: c.headSince, FaultTolerance: 1, Current: state.Placement, Stores: registry, Retired: state.Retired()}
	for _, store := range c.machines {
		registered := placement.StoreStatus{Store: store, ConfirmedAt: c.now}
		if state.Placement != nil {
			registered.SweptGeneration = state.Placement.Generation
		}
		registry[store.ID] = registered
	}
	if lost := placement.LostWhileRetiring(input); len(lost) > 0 && !c.fault.dropOnDiskLoss {
		r.append(Write{Key: RetireKey(lost[0].Name, lost[0].ID), Value: rpc.Encode(&feed.RetireEntry{ID: lost[0].ID})})
		return
	}
	if next := placement.Plan(input, placement.DefaultTimings(2*time.Second)); next != nil {
		r.append(Write{Key: feed.PlacementKey, Value: rpc.Encode(next)})
	}
}

// decision is what a replica decides, with what is planted.
func (c *storeSimulation) decide(entries []chain.Entry, o Order) Decision {
	d, err := Decide(entries, 1, o)
	if err != nil {
		c.fail("%v", err)
	}
	switch o := o.(type) {
	case RetireStore:
		if c.fault.keyByName && d.Kind == Accept {
			d.Append[0].Key = feed.RetirePrefix + o.Name
		}
		if c.fault.forgetRetired && d.Kind == Retired {
			d.Kind = NotFound
		}
	case StorePhase:
		s, err := ReadState(entries, 1)
		if c.fault.stalePhase && err == nil && s.Placement != nil {
			for _, r := range s.Retirements {
				if r.Name == o.Name && !containsID(s.Placement.Stores(), r.ID) {
					d.Kind = Complete
				}
			}
		}
	}
	return d
}

// retire has an order come to the head that a replica knows of.
func (c *storeSimulation) sendRetire(name string) {
	r := c.randomHead()
	if !r.head() {
		return
	}
	entries := r.entries
	if c.fault.committedOnly {
		entries = r.committed()
	}
	d := c.decide(entries, RetireStore{Name: name})
	before := c.committedState()
	reply := pendingReply{dependsOn: d.DependsOn, confirmedAt: c.now + time.Duration(1+c.rng.IntN(40))*time.Millisecond, deadline: c.now + callTimeout}
	reply.reply = func(heard bool) {
		if heard {
			c.checkAnswer(name, d, before)
		}
	}
	switch {
	case d.Kind == Accept:
		for _, w := range d.Append {
			r.append(w)
		}
		reply.dependsOn, reply.confirmedAt = r.lastIndex, 0
	case c.fault.noConfirm:
		reply.confirmedAt = 0
	case c.fault.ignoreDependency:
		reply.dependsOn = 0
	}
	r.pending = append(r.pending, reply)
}

// told checks an answer against what is committed, and what was when the order came.
func (c *storeSimulation) checkAnswer(name string, d Decision, before *State) {
	c.answers[d.Kind]++
	s := c.committedState()
	switch {
	case d.Kind.IsAcknowledgement():
		if !s.hasRetirement(name) {
			c.fail("the order for %s was acknowledged (%v), and is not there", name, d.Kind)
		}
		if before.Placement != nil {
			if store, placed, _ := before.storeByName(name); placed {
				c.acknowledged[name] = store.ID
			}
		}
	case d.Kind == NotFound && before.Placement != nil:
		if _, placed, _ := before.storeByName(name); placed {
			c.fail("%s is placed, and was said to be unknown", name)
		}
		if before.hasRetirement(name) {
			c.fail("the order for %s was taken, and was refused: %v", name, d.Kind)
		}
	case d.Kind == Conflict && before.Placement != nil:
		if store, placed, _ := before.storeByName(name); placed && before.Retired()[store.ID] {
			c.fail("the order for %s was taken, and was refused: %v", name, d.Kind)
		}
	}
}

// phase asks a tail. Who hears complete takes the machine away with its disk.
func (c *storeSimulation) sendPhase(name string) {
	r := c.replicas[c.rng.IntN(len(c.replicas))]
	if !r.tail() {
		return
	}
	r.pending = append(r.pending, pendingReply{confirmedAt: c.now + 20*time.Millisecond, deadline: c.now + callTimeout, reply: func(heard bool) {
		if !heard {
			return
		}
		d := c.decide(r.committed(), StorePhase{Name: name})
		c.answers[d.Kind]++
		if d.Kind != Complete {
			return
		}
		store, running := c.machines[name]
		if running && containsID(c.committedState().Placement.Stores(), store.ID) {
			c.fail("%s is complete, and its bearer %s is placed", name, store.ID)
		}
		if running && (c.acknowledged[name] == store.ID || c.rng.IntN(4) == 0) {
			c.removeMachine(store)
		}
	}})
}

// takeAway removes a machine. Others come: a new one, under the old name or another, or an old one by mistake.
func (c *storeSimulation) removeMachine(machine turnstore.Store) {
	c.logf("machine %s, %s, is taken away", machine.Name, machine.ID)
	delete(c.machines, machine.Name)
	c.removedMachines = append(c.removedMachines, machine)
	c.schedule(time.Duration(500+c.rng.IntN(5000))*time.Millisecond, func() {
		name := machine.Name
		switch c.rng.IntN(4) {
		case 0:
			removed := c.removedMachines[c.rng.IntN(len(c.removedMachines))]
			if _, running := c.machines[removed.Name]; !running {
				c.machines[removed.Name] = removed
				c.logf("machine %s comes back as %s", removed.Name, removed.ID)
			}
		case 1:
			name = fmt.Sprintf("n%d", c.ids)
			fallthrough
		default:
			if _, running := c.machines[name]; !running {
				c.startMachine(name)
			}
		}
	})
}

// headOf is the head that some replica knows of; now and then one that was left behind.
func (c *storeSimulation) randomHead() *replica {
	if c.rng.IntN(3) == 0 {
		for _, r := range c.replicas {
			if r.head() && r.epoch < c.epoch {
				return r
			}
		}
	}
	return c.replicas[c.rng.IntN(len(c.replicas))].chain[0]
}

// loseDisk has a machine that runs come back with an empty disk.
func (c *storeSimulation) loseDisk(name string) {
	if _, running := c.machines[name]; running {
		c.startMachine(name)
	}
}

func (c *storeSimulation) run() {
	viewInterval := time.Duration(1+c.rng.IntN(6)) * time.Second
	for c.now < simulatedTime && c.failure == "" {
		if c.rng.IntN(int(viewInterval/worldStep)) == 0 {
			c.changeView(false)
		}
		name := string(rune('a' + c.rng.IntN(10)))
		if c.newestStore != "" && c.rng.IntN(3) == 0 {
			name = c.newestStore
		}
		if c.rng.IntN(150) == 0 { // two at once, now and then
			for range 1 + c.rng.IntN(3) {
				other := string(rune('a' + c.rng.IntN(8)))
				if c.newestStore != "" && c.rng.IntN(3) == 0 {
					other = c.newestStore // a head that was left behind does not know it
				}
				c.schedule(time.Duration(c.rng.IntN(20))*time.Millisecond, func() { c.sendRetire(other) })
				if c.rng.IntN(3) == 0 {
					c.schedule(time.Duration(c.rng.IntN(300))*time.Millisecond, func() { c.loseDisk(other) })
				}
				if c.rng.IntN(3) == 0 {
					c.schedule(time.Duration(c.rng.IntN(20_000))*time.Millisecond, func() { c.sendRetire(other) })
				}
			}
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

func TestRandomStoreSimulations(t *testing.T) {
	t.Parallel()
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	total := map[Kind]int{}
	for i := range simulationCount() {
		c := newStoreSimulation(base+uint64(i), storeFault{})
		if c.run(); c.failure != "" {
			t.Fatalf("seed %d: %s\n%s", base+uint64(i), c.failure, strings.Join(c.events, "\n"))
		}
		for k, n := range c.answers {
			total[k] += n
		}
	}
	t.Logf("%d courses, answers: %v", simulationCount(), total)
	for _, k := range []Kind{Accept, InProgress, Retired, Conflict, NotFound, Serving, Complete} {
		if total[k] < simulationCount()/4 {
			t.Errorf("%d answers of kind %v in %d courses: they show nothing of it", total[k], k, simulationCount())
		}
	}
}

func TestStoreSimulationFindsPlantedFaults(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]storeFault{
		"an order is kept by its name alone":        {keyByName: true},
		"complete, although another bears the name": {stalePhase: true},
		"decided in what is committed":              {committedOnly: true},
		"what was emptied is unknown":               {forgetRetired: true},
		"refused without a confirmation":            {noConfirm: true},
		"answers that rest on what is uncommitted":  {ignoreDependency: true},
		"an order lapses with its store's disk":     {dropOnDiskLoss: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(600) {
				c := newStoreSimulation(seed+1, f)
				if c.run(); c.failure != "" {
					t.Logf("seed %d: %s", seed+1, c.failure)
					return
				}
			}
			t.Fatal("not found in 600 courses")
		})
	}
}
