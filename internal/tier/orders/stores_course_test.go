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
	byName    bool // an order is kept under the name alone, the next one of the name in its place
	phaseOld  bool // the phase is that of the order, whoever bears the name now
	committed bool // orders are decided in what is committed alone
	forgets   bool // an emptied store is unknown
	noConfirm bool // refusals rest on the commit alone
	noWait    bool // answers rest on entries that are not committed
	lapses    bool // an order lapses where its store loses its disk
}

type storesCourse struct {
	*world
	fault    storeFault
	failure  string
	story    []string
	machines map[string]turnstore.Store // by name: those that run
	ids      int
	log      entryLog          // all that is committed
	ordered  map[string]string // acknowledged: name to the store that bore it then
	left     map[string]bool   // ids of stores that were emptied and left the placement
	gone     []turnstore.Store // machines that were taken away
	fresh    string            // the name of the store that was placed last
	began    time.Duration     // when the head took the duty
	head     *replica
	answers  map[Kind]int
}

func (c *storesCourse) fail(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
		c.note("FAIL %s", c.failure)
	}
}

func (c *storesCourse) machine(name string) {
	c.ids++
	c.machines[name] = turnstore.Store{ID: fmt.Sprintf("id%d", c.ids), Name: name, Addr: name}
	c.note("machine %s is %s", name, c.machines[name].ID)
}

func newStoresCourse(seed uint64, f storeFault) *storesCourse {
	rng := rand.New(rand.NewPCG(seed, 17))
	c := &storesCourse{world: newWorld(rng, 3+rng.IntN(2), nil), fault: f, machines: map[string]turnstore.Store{},
		ordered: map[string]string{}, left: map[string]bool{}, answers: map[Kind]int{}}
	c.note = func(format string, args ...any) {
		c.story = append(c.story, fmt.Sprintf("%8.2f ", c.now.Seconds())+fmt.Sprintf(format, args...))
	}
	for i := range 4 + rng.IntN(3) {
		c.machine(string(rune('a' + i)))
	}
	c.onCommit, c.decide = c.committed, c.plan
	return c
}

// state of all that is committed.
func (c *storesCourse) state() *State {
	s, err := ReadState(c.log.entries, 1)
	if err != nil {
		c.fail("%v", err)
		return &State{}
	}
	return s
}

func (c *storesCourse) committed(e chain.Entry) {
	before := c.state()
	c.log.entries = append(c.log.entries, e)
	c.log.compact()
	s := c.state()
	c.note("%s", describe(s))
	if before.Placement != nil {
		for _, one := range before.Placement.Stores() {
			if before.Retired()[one.ID] && !named(s.Placement.Stores(), one.ID) {
				c.left[one.ID] = true
			}
		}
	}
	if s.Placement == nil {
		return
	}
	for _, one := range s.Placement.Stores() {
		if before.Placement != nil && !named(before.Placement.Stores(), one.ID) {
			c.fresh = one.Name
			c.checkOrder(before, one)
		}
		if c.left[one.ID] {
			c.fail("%s was emptied and is placed again", one.ID)
		}
	}
	staying := slices.DeleteFunc(target(s.Placement), func(o turnstore.Store) bool { return s.Retired()[o.ID] })
	if strings.HasPrefix(e.Key, feed.RetirePrefix) && len(staying) < 3 {
		c.fail("an order leaves %d stores", len(staying))
	}
}

// checkOrder: a machine that loses its disk while it is emptied is not placed again under that order.
func (c *storesCourse) checkOrder(before *State, placed turnstore.Store) {
	for _, one := range before.Placement.Stores() {
		if one.Name == placed.Name && before.Retired()[one.ID] {
			c.fail("%s was being emptied as %s, and is placed as %s", one.Name, one.ID, placed.ID)
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

func target(p *turnstore.Placement) []turnstore.Store {
	if len(p.New) > 0 {
		return slices.Clone(p.New)
	}
	return slices.Clone(p.Old)
}

func named(all []turnstore.Store, id string) bool {
	return slices.ContainsFunc(all, func(o turnstore.Store) bool { return o.ID == id })
}

// plan does the head's duty of placement, once what it wrote last is committed.
func (c *storesCourse) plan(r *replica) {
	if c.head != r {
		c.head, c.began = r, c.now
	}
	if r.commit < r.place || c.rng.IntN(5) > 0 {
		return
	}
	s, err := ReadState(r.entries, 1)
	if err != nil {
		c.fail("%v", err)
		return
	}
	registry := map[string]placement.StoreStatus{}
	t := placement.Input{Now: c.now, TookOverAt: c.began, FaultTolerance: 1, Current: s.Placement, Stores: registry, Retired: s.Retired()}
	for _, one := range c.machines {
		registered := placement.StoreStatus{Store: one, ConfirmedAt: c.now}
		if s.Placement != nil {
			registered.SweptGeneration = s.Placement.Generation
		}
		registry[one.ID] = registered
	}
	if lost := placement.LostWhileRetiring(t); len(lost) > 0 && !c.fault.lapses {
		r.append(Write{Key: RetireKey(lost[0].Name, lost[0].ID), Value: rpc.Encode(&feed.RetireEntry{ID: lost[0].ID})})
		return
	}
	if next := placement.Plan(t, placement.DefaultTimings(2*time.Second)); next != nil {
		r.append(Write{Key: feed.PlacementKey, Value: rpc.Encode(next)})
	}
}

// decision is what a replica decides, with what is planted.
func (c *storesCourse) decision(entries []chain.Entry, o Order) Decision {
	d, err := Decide(entries, 1, o)
	if err != nil {
		c.fail("%v", err)
	}
	switch o := o.(type) {
	case RetireStore:
		if c.fault.byName && d.Kind == Accept {
			d.Append[0].Key = feed.RetirePrefix + o.Name
		}
		if c.fault.forgets && d.Kind == Retired {
			d.Kind = NotFound
		}
	case StorePhase:
		s, err := ReadState(entries, 1)
		if c.fault.phaseOld && err == nil && s.Placement != nil {
			for _, r := range s.Retirements {
				if r.Name == o.Name && !named(s.Placement.Stores(), r.ID) {
					d.Kind = Complete
				}
			}
		}
	}
	return d
}

// retire has an order come to the head that a replica knows of.
func (c *storesCourse) retire(name string) {
	r := c.headOf()
	if !r.head() {
		return
	}
	entries := r.entries
	if c.fault.committed {
		entries = r.committed()
	}
	d := c.decision(entries, RetireStore{Name: name})
	before := c.state()
	one := wait{place: d.DependsOn, confirmed: c.now + time.Duration(1+c.rng.IntN(40))*time.Millisecond, until: c.now + callTimeout}
	one.reply = func(heard bool) {
		if heard {
			c.told(name, d, before)
		}
	}
	switch {
	case d.Kind == Accept:
		for _, w := range d.Append {
			r.append(w)
		}
		one.place, one.confirmed = r.place, 0
	case c.fault.noConfirm:
		one.confirmed = 0
	case c.fault.noWait:
		one.place = 0
	}
	r.waits = append(r.waits, one)
}

// told checks an answer against what is committed, and what was when the order came.
func (c *storesCourse) told(name string, d Decision, before *State) {
	c.answers[d.Kind]++
	s := c.state()
	switch {
	case d.Kind.IsAcknowledgement():
		if !s.wasRetired(name) {
			c.fail("the order for %s was acknowledged (%v), and is not there", name, d.Kind)
		}
		if before.Placement != nil {
			if one, placed, _ := before.bearer(name); placed {
				c.ordered[name] = one.ID
			}
		}
	case d.Kind == NotFound && before.Placement != nil:
		if _, placed, _ := before.bearer(name); placed {
			c.fail("%s is placed, and was said to be unknown", name)
		}
		if before.wasRetired(name) {
			c.fail("the order for %s was taken, and was refused: %v", name, d.Kind)
		}
	case d.Kind == Conflict && before.Placement != nil:
		if one, placed, _ := before.bearer(name); placed && before.Retired()[one.ID] {
			c.fail("the order for %s was taken, and was refused: %v", name, d.Kind)
		}
	}
}

// phase asks a tail. Who hears complete takes the machine away with its disk.
func (c *storesCourse) phase(name string) {
	r := c.replicas[c.rng.IntN(len(c.replicas))]
	if !r.tail() {
		return
	}
	r.waits = append(r.waits, wait{confirmed: c.now + 20*time.Millisecond, until: c.now + callTimeout, reply: func(heard bool) {
		if !heard {
			return
		}
		d := c.decision(r.committed(), StorePhase{Name: name})
		c.answers[d.Kind]++
		if d.Kind != Complete {
			return
		}
		one, runs := c.machines[name]
		if runs && named(c.state().Placement.Stores(), one.ID) {
			c.fail("%s is complete, and its bearer %s is placed", name, one.ID)
		}
		if runs && (c.ordered[name] == one.ID || c.rng.IntN(4) == 0) {
			c.takeAway(one)
		}
	}})
}

// takeAway removes a machine. Others come: a new one, under the old name or another, or an old one by mistake.
func (c *storesCourse) takeAway(one turnstore.Store) {
	c.note("machine %s, %s, is taken away", one.Name, one.ID)
	delete(c.machines, one.Name)
	c.gone = append(c.gone, one)
	c.after(time.Duration(500+c.rng.IntN(5000))*time.Millisecond, func() {
		name := one.Name
		switch c.rng.IntN(4) {
		case 0:
			old := c.gone[c.rng.IntN(len(c.gone))]
			if _, runs := c.machines[old.Name]; !runs {
				c.machines[old.Name] = old
				c.note("machine %s comes back as %s", old.Name, old.ID)
			}
		case 1:
			name = fmt.Sprintf("n%d", c.ids)
			fallthrough
		default:
			if _, runs := c.machines[name]; !runs {
				c.machine(name)
			}
		}
	})
}

// headOf is the head that some replica knows of; now and then one that was left behind.
func (c *storesCourse) headOf() *replica {
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
func (c *storesCourse) loseDisk(name string) {
	if _, runs := c.machines[name]; runs {
		c.machine(name)
	}
}

func (c *storesCourse) play() {
	change := time.Duration(1+c.rng.IntN(6)) * time.Second
	for c.now < courseLength && c.failure == "" {
		if c.rng.IntN(int(change/worldStep)) == 0 {
			c.change(false)
		}
		name := string(rune('a' + c.rng.IntN(10)))
		if c.fresh != "" && c.rng.IntN(3) == 0 {
			name = c.fresh
		}
		if c.rng.IntN(150) == 0 { // two at once, now and then
			for range 1 + c.rng.IntN(3) {
				other := string(rune('a' + c.rng.IntN(8)))
				if c.fresh != "" && c.rng.IntN(3) == 0 {
					other = c.fresh // a head that was left behind does not know it
				}
				c.after(time.Duration(c.rng.IntN(20))*time.Millisecond, func() { c.retire(other) })
				if c.rng.IntN(3) == 0 {
					c.after(time.Duration(c.rng.IntN(300))*time.Millisecond, func() { c.loseDisk(other) })
				}
				if c.rng.IntN(3) == 0 {
					c.after(time.Duration(c.rng.IntN(20_000))*time.Millisecond, func() { c.retire(other) })
				}
			}
		}
		if c.rng.IntN(30) == 0 {
			c.phase(name)
		}
		if c.rng.IntN(2000) == 0 {
			c.loseDisk(name)
		}
		if len(c.machines) < 4 && c.rng.IntN(100) == 0 && c.machines[name].ID == "" {
			c.machine(name)
		}
		c.step()
	}
}

func TestDrawnCoursesOfStores(t *testing.T) {
	t.Parallel()
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	total := map[Kind]int{}
	for i := range coursesToPlay() {
		c := newStoresCourse(base+uint64(i), storeFault{})
		if c.play(); c.failure != "" {
			t.Fatalf("seed %d: %s\n%s", base+uint64(i), c.failure, strings.Join(c.story, "\n"))
		}
		for k, n := range c.answers {
			total[k] += n
		}
	}
	t.Logf("%d courses, answers: %v", coursesToPlay(), total)
	for _, k := range []Kind{Accept, InProgress, Retired, Conflict, NotFound, Serving, Complete} {
		if total[k] < coursesToPlay()/4 {
			t.Errorf("%d answers of kind %v in %d courses: they show nothing of it", total[k], k, coursesToPlay())
		}
	}
}

func TestPlantedFaultsOfStoresAreFound(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]storeFault{
		"an order is kept by its name alone":        {byName: true},
		"complete, although another bears the name": {phaseOld: true},
		"decided in what is committed":              {committed: true},
		"what was emptied is unknown":               {forgets: true},
		"refused without a confirmation":            {noConfirm: true},
		"answers that rest on what is uncommitted":  {noWait: true},
		"an order lapses with its store's disk":     {lapses: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(600) {
				c := newStoresCourse(seed+1, f)
				if c.play(); c.failure != "" {
					t.Logf("seed %d: %s", seed+1, c.failure)
					return
				}
			}
			t.Fatal("not found in 600 courses")
		})
	}
}
