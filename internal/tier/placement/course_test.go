package placement

import (
	"flag"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

var courses = flag.Int("courses", 400, "drawn courses of the model")
var faultCourses = flag.Int("fault-courses", 2000, "courses to find a planted fault in, at most")
var firstSeed = flag.Uint64("seed", 1, "of the first course")

// sizes of the sites, and some between them.
var sizes = []struct {
	stores, losses   int
	contact, catchUp time.Duration
}{
	{3, 1, 3 * time.Second, 4100 * time.Millisecond},
	{4, 1, 3 * time.Second, 4100 * time.Millisecond},
	{5, 1, 3 * time.Second, 4200 * time.Millisecond},
	{5, 2, 4 * time.Second, 6 * time.Second},
	{6, 2, 4 * time.Second, 6 * time.Second},
	{9, 2, 4 * time.Second, 6 * time.Second},
}

// troubles draws what happens: the next loss comes in the moment that the contract permits it, or a little later.
type troubles struct {
	*model
	rng    *rand.Rand
	plans  []planned // what is to happen
	next   time.Duration
	orders time.Duration
	heads  time.Duration
	eager  bool
}

type planned struct {
	at time.Duration
	do func()
}

func (t *troubles) later(d time.Duration, do func()) {
	t.plans = append(t.plans, planned{t.now + d, do})
}

func (t *troubles) step() {
	for i := 0; i < len(t.plans); i++ {
		if one := t.plans[i]; one.at <= t.now {
			t.plans = append(t.plans[:i], t.plans[i+1:]...)
			i--
			one.do()
		}
	}
	if t.now >= t.heads {
		t.heads = t.now + t.span(t.catchUp, 25*time.Second) // a head that is lost is a loss as well
		t.anotherHead()
	}
	if t.now >= t.orders {
		t.orders = t.now + t.span(time.Second, 15*time.Second)
		t.order()
	}
	if t.now >= t.next && t.lostNow() < t.losses {
		if t.next = t.now + step; !t.eager {
			t.next += t.span(0, 6*time.Second)
		}
		t.loss()
	}
}

// any live machine.
func (t *troubles) any() *host {
	var all []*host
	for _, h := range t.hosts {
		if h.lives() && h.lost <= t.now {
			all = append(all, h)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[t.rng.IntN(len(all))]
}

// leaver is a live machine that is being emptied, nil for none.
func (t *troubles) leaver() *host {
	for _, h := range t.hosts {
		if h.ordered && h.lives() && h.lost <= t.now {
			return h
		}
	}
	return nil
}

// back: it counts as lost for a while after its return.
func (t *troubles) back(h *host) { h.lost = t.now + t.catchUp }

// startAgain starts a machine, unless it has been emptied and taken away while it was down.
func (t *troubles) startAgain(h *host) {
	if !h.gone {
		t.start(h)
		t.back(h)
	}
}

func (t *troubles) loss() {
	h := t.any()
	if h == nil {
		return
	}
	if leaver := t.leaver(); leaver != nil && t.aims.IntN(2) == 0 {
		h = leaver
	}
	away := t.span(100*time.Millisecond, 4*time.Second)
	if t.rng.IntN(4) == 0 {
		away = t.span(4*time.Second, 15*time.Second)
	}
	h.lost = never
	switch t.rng.IntN(5) {
	case 0:
		t.note("%s killed for %v", h.name, away)
		t.stop(h)
		t.later(away, func() { t.startAgain(h) })
	case 1:
		t.note("%s frozen for %v", h.name, away)
		h.frozen = true
		t.later(away, func() {
			if !h.gone {
				t.note("%s thaws", h.name)
				h.frozen = false
				t.back(h)
			}
		})
	case 2, 3:
		t.note("%s wiped, back in %v", h.name, away/4)
		t.stop(h)
		t.empty(h)
		t.later(away/4, func() { t.startAgain(h) })
	case 4:
		name := ""
		if t.rng.IntN(2) == 0 {
			name = h.name
		}
		t.note("%s gone for good", h.name)
		t.take(h)
		t.later(time.Second, func() {
			h.lost = 0
			t.back(t.add(name))
		})
	}
}

// order of an operator: a store more, or one to be emptied.
func (t *troubles) order() {
	if t.rng.IntN(2) == 0 && len(t.hosts) < 14 {
		t.note("one more")
		t.add("")
		return
	}
	h := t.any()
	if h == nil || t.place == nil || t.retired[h.id] || !in(t.place.Stores(), h.id) || !CanRetire(t.place, t.retired, t.losses) {
		return
	}
	t.retired[h.id], h.ordered = true, true
	t.note("%s to be emptied", h.name)
	t.dispose(h)
}

// dispose takes an emptied store away at once; it is no loss. One that loses its disk meanwhile is emptied all the same.
func (t *troubles) dispose(h *host) {
	t.later(step, func() {
		if h.gone || t.place == nil { // founded anew: the order is gone with the core's disks
			return
		}
		switch done := complete(t.place, h.name) || t.fault == leaverEarly && !in(t.place.New, h.id); {
		case !done:
			t.dispose(h)
		default:
			t.note("%s is emptied and taken away", h.name)
			t.take(h)
			h.lost = 0
		}
	})
}

// complete is as in package orders: no store of the name is in the placement.
func complete(p *turnstore.Placement, name string) bool {
	return !slices.ContainsFunc(p.Stores(), func(s turnstore.Store) bool { return s.Name == name })
}

// course plays one drawn course.
func course(seed uint64, f fault) *model {
	rng := rand.New(rand.NewPCG(seed, 5))
	size := sizes[rng.IntN(len(sizes))]
	slowest := []time.Duration{50 * time.Millisecond, 200 * time.Millisecond}[rng.IntN(2)]
	m := newModel(seed, f, size.stores, size.losses, size.contact, size.catchUp, slowest)
	m.note("%d stores, %d losses, seed %d", size.stores, size.losses, seed)
	m.run(6*time.Second, nil)
	t := &troubles{model: m, rng: rng, eager: rng.IntN(2) == 0, heads: m.span(6*time.Second, 30*time.Second), orders: m.span(6*time.Second, 20*time.Second)}
	if rng.IntN(3) == 0 {
		t.heads = never
	}
	end := 26*time.Second + m.span(0, 15*time.Second)
	m.run(end, t.step)
	m.settle(t)
	return m
}

// settle ends the troubles; all is whole again within a bound, also after the core was founded anew.
func (m *model) settle(t *troubles) {
	t.next, t.orders, t.heads = never, never, never
	m.run(m.now+25*time.Second, t.step)
	m.whole()
	if m.broken != "" || m.rng.IntN(3) > 0 {
		return
	}
	m.note("the core is founded anew")
	m.place, m.before, m.since, m.stores, m.retired = nil, nil, m.now, map[string]StoreStatus{}, map[string]bool{}
	for _, h := range m.hosts {
		h.ordered = false
	}
	m.left = Departures{}
	m.handed, m.report, m.heard = Observations{}, Observations{}, map[string]StoreStatus{}
	m.run(m.now+15*time.Second, t.step)
	if m.place == nil {
		m.fail("STUCK: no placement 15 s after the core was founded anew")
		return
	}
	m.whole()
}

// whole: the placement is stable, and all copies have all that was acknowledged.
func (m *model) whole() {
	if m.broken != "" {
		return
	}
	if len(m.place.New) > 0 {
		m.fail("STUCK: the placement is not stable long after all trouble")
		return
	}
	m.emptied()
	for w, one := range m.writes {
		for _, s := range m.copies(one.program)[0] {
			if h := m.by(s.ID); one.acked && (h == nil || h.has>>w&1 == 0) {
				lacks := 0
				for _, s := range m.copies(one.program)[0] {
					if h := m.by(s.ID); h == nil || h.has>>w&1 == 0 {
						lacks++
					}
				}
				if lacks > m.losses {
					m.fail("COPIES: %d of program %d lack write %d", lacks, one.program, w)
				}
			}
		}
	}
}

// emptied: each order to empty a store is complete, where enough others are left. An order may have been taken while the list had
// a store that was gone beside its successor; it waits for one more then.
func (m *model) emptied() {
	others := 0
	for _, h := range m.hosts {
		if h.lives() && !h.ordered {
			others++
		}
	}
	for _, h := range m.hosts {
		if h.ordered && !h.gone && others >= 2*m.losses+1 {
			m.fail("EMPTYING: %s, ordered to be emptied, is still in use long after all trouble, with %d others", h.name, others)
		}
	}
}

func TestDrawnCourses(t *testing.T) {
	var mu sync.Mutex
	var worst, stuck time.Duration
	changes, acked, failed := 0, 0, 0
	seeds := make(chan uint64)
	go func() {
		for i := range *courses {
			seeds <- *firstSeed + uint64(i)
		}
		close(seeds)
	}()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			for seed := range seeds {
				m := course(seed, "")
				mu.Lock()
				if m.broken != "" {
					if failed++; failed <= 3 {
						t.Errorf("%s\n%s", m.broken, m.timeline())
					}
				}
				worst, stuck, changes = max(worst, m.worst), max(stuck, m.stuck), changes+m.changes
				for _, w := range m.writes {
					if w.acked {
						acked++
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d courses from seed %d, %d broken: %d joint phases, the longest %v; %d writes acknowledged; longest without a majority %v",
		*courses, *firstSeed, failed, changes, worst, acked, stuck)
	if changes < 2**courses || acked < 20**courses {
		t.Error("the courses prove little")
	}
}

// sound gives the world of a planted fault without it: what breaks there as well does not show the fault.
func sound(f fault) fault {
	if f == pulledUnadopted {
		return toldLate
	}
	return ""
}

func TestDrawnCoursesFindPlantedFaults(t *testing.T) {
	for _, f := range []fault{jointSkipped, stableUnswept, leaverEarly, wipedCounts, missedAny, pulledUnadopted, foundedAtOne, allUnswept, slowSilent, toldAtOnce, orderForgotten} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*faultCourses) {
				if m := course(1+seed, f); m.broken != "" && course(1+seed, sound(f)).broken == "" {
					t.Logf("found by course %d: %s", 1+seed, m.broken)
					return
				}
			}
			t.Errorf("not found by %d courses", *faultCourses)
		})
	}
}
