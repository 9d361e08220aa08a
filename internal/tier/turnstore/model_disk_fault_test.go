package turnstore_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/turnstore"
)

var diskScenarios = flag.Int("diskcourses", 40, "drawn courses with bad disks of stores")

const slowFactor = 30 // syncs of a slow disk take so many times as long

// diskFault is what a disk has for a while.
type diskFault struct {
	name  string
	begin func(*machine)
	end   func(*machine)
}

var diskFaults = []diskFault{
	{"slow", func(m *machine) { m.setSyncTime(slowFactor * usualSync) }, func(m *machine) { m.setSyncTime(0) }},
	{"stall", func(m *machine) { m.disk().stall() }, func(m *machine) { m.disk().resume() }},
	{"full", func(m *machine) { m.disk().setFull(true) }, func(m *machine) { m.disk().setFull(false) }},
}

const usualSync = 5 * time.Millisecond

// A store whose disk is slow, stands still or is full is not waited for: turns open, also past half of their budget, where a
// majority is read again; they end; and another front reads their history.
func TestStoreWithFaultyDiskDoesNotDelayTurns(t *testing.T) {
	const (
		turnTakes    = 30 * time.Millisecond // messages of 1 ms, syncs well below
		historyTakes = 60 * time.Millisecond // another store is asked after 40 ms
	)
	for _, trouble := range diskFaults {
		for store := range 3 {
			t.Run(fmt.Sprint(trouble.name, store), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := healthySimulation(3, true)
					p := w.newProgram(60)
					var last *turnRecord
					turn := func(f *front, most time.Duration) {
						began := w.now()
						last = w.runTurn(turnScript{front: f, program: p, previous: last, need: 10, used: 10, ending: completed, retain: time.Minute})
						if took := w.now() - began; last.outcome != completed || took > most {
							t.Errorf("turn %s of 10 tokens is %s after %v", last.id, last, took)
						}
					}
					turn(w.fronts[0], turnTakes)
					bad := w.stores[store]
					trouble.begin(bad)
					turn(w.fronts[0], turnTakes) // it has the history
					for i := range 3 {
						turn(w.fronts[1-i%2], historyTakes)
					}
					fresh := w.addFront("fresh", "z1")
					w.sleep(time.Second) // it has to hear of the placement
					turn(fresh, historyTakes)
					trouble.end(bad)
					w.sleep(time.Second)
					w.close()
					if len(w.violations) > 0 {
						t.Errorf("%s\n%s", w.violations[0], w.timeline(30))
					}
				})
			})
		}
	}
}

// A store with a disk that stood still or was full serves again by itself, with what others took meanwhile.
func TestStoreRecoversAfterDiskFault(t *testing.T) {
	for _, trouble := range diskFaults {
		t.Run(trouble.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := healthySimulation(3, true)
				bad, other := w.stores[0], w.stores[1]
				life := bad.incarnation.Load()
				p := w.newProgram(10_000)
				var last *turnRecord
				turn := func() {
					last = w.runTurn(turnScript{front: w.fronts[0], program: p, previous: last, need: 10, used: 10, ending: completed, retain: time.Minute})
					if last.outcome != completed {
						t.Errorf("turn %s is %s", last.id, last)
					}
				}
				turn()
				trouble.begin(bad)
				for range 5 {
					turn()
					w.sleep(time.Second)
				}
				if full := life.store.Full(); full != (trouble.name == "full") {
					t.Errorf("the core is told that it is full: %v", full)
				}
				trouble.end(bad)
				w.sleep(catchUp)
				if life.store.Full() {
					t.Errorf("full %v after its disk is well", catchUp)
				}
				w.sleep(turnstore.WholeEvery * 5) // each looks at one other now and then
				other.kill(true)
				turn() // needs both others
				w.sleep(time.Second)
				bad.disk().mu.Lock()
				lacking := life.store.EntriesLacking(bad.disk().tables[turnstore.Entries])
				bad.disk().mu.Unlock()
				if len(lacking) > 0 || !life.store.Has(last.id) || bad.incarnation.Load() != life {
					t.Errorf("its disk lacks %v, it has the last turn: %v", lacking, life.store.Has(last.id))
				}
				w.close()
				if len(w.violations) > 0 {
					t.Errorf("%s\n%s", w.violations[0], w.timeline(30))
				}
			})
		})
	}
}

// A turn whose caller leaves while the disk stands still is written all the same: the store knows of it, so that it expires.
func TestTurnOfCancelledCallIsIndexed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := healthySimulation(3, true)
		bad := w.stores[0]
		life := bad.incarnation.Load()
		bad.disk().stall()
		ctx, leave := context.WithCancel(t.Context())
		call := turnstore.CloseCall{To: turnstore.RequestHeader{Store: bad.disk().id, Generation: bad.placement().Generation},
			Turn: turnstore.Record{Key: "p", ID: "turn", Root: true, RetainSeconds: 10, Increment: []byte("text")}}
		var calls sync.WaitGroup
		calls.Go(func() { _, _ = life.handlers[turnstore.MethodClose](ctx, rpc.Encode(&call)) })
		w.sleep(time.Second)
		leave()
		w.sleep(time.Second)
		if life.store.Has("turn") {
			t.Error("a turn is there before its sync")
		}
		bad.disk().resume()
		w.sleep(time.Second)
		calls.Wait()
		if !life.store.Has("turn") {
			t.Error("a turn is on disk, and not known")
		}
		w.sleep(time.Minute)
		bad.disk().mu.Lock()
		if n := len(bad.disk().tables[turnstore.Bodies]); n > 0 {
			t.Errorf("%d turns of which none is kept any more are on disk", n)
		}
		bad.disk().mu.Unlock()
		w.close()
	})
}

// Bad disks at two of three copies, and kills while they are bad: nothing is answered whole that a loss of power takes away,
// and nothing is answered before its sync.
func TestTimelinesOfDiskFaults(t *testing.T) {
	for _, c := range []struct {
		name     string
		fig      timelineConfig
		timeline string
	}{
		{"no majority syncs, so no turn opens", timelineConfig{stores: 3}, `
			ms    s0    s1    s2 f0         f1
			0     .     .     .  a=whole    .
			100   stall stall .  a>b=503    .
			1000  goes  goes  .  .          .
			1100  .     .     .  a>c=whole  a>d=whole`},
		{"a turn ends while two disks stand still", timelineConfig{stores: 3}, `
			ms    s0    s1    s2 f0         f1
			0     .     .     .  a~=whole   b~=broken
			100   stall stall .  .          .
			200   .     .     .  a!         .
			300   .     .     .  .          b!
			1500  goes  .     .  .          .
			1510  .     stall stall .       .
			1520  stall .     .  .          .
			9000  goes  goes  goes .        .
			9500  .     .     .  a>c=whole  a>d=whole`},
		{"all lose their power while all disks stand still", timelineConfig{stores: 3}, `
			ms    s0       s1       s2       f0        f1
			0     .        .        .        a=whole   q:k~=whole
			100   stall    stall    stall    a>b=503   .
			150   .        .        .        .         k!
			400   power    power    power    .         .
			800   up       up       up       .         .
			900   goes     goes     goes     .         .
			8000  .        .        .        a>c=whole a>d=whole,q:k>l=whole`},
		{"a store is killed while its disk is full and comes back on it", timelineConfig{stores: 3}, `
			ms    s0        s1 s2    f0        f1
			0     .         .  .     a=whole   .
			100   full      .  .     a>b=whole .
			300   kill      .  .     b>c=whole .
			600   up        .  .     .         b>d=whole
			3000  .         .  .     c>e=whole .
			4000  room      .  .     .         .
			26000 .         .  power .         .
			27000 .         .  .     e>f=whole d>g=whole`},
		{"a store stands still, then another is lost and wiped", timelineConfig{stores: 4}, `
			ms    s0    s1       s2 s3 f0        f1
			0     .     .        .  .  a=whole   q:k=whole
			100   stall .        .  .  a>b=whole q:k>l=whole
			2100  goes  .        .  .  .         .
			6400  .     wipe     .  .  .         .
			6500  .     up       .  .  .         .
			11000 .     .        .  wipe b>c=whole q:l>m=whole
			11100 .     .        .  .  c>d=whole r:m>n=whole`},
		{"an answer that is late for its opening counts for no other", timelineConfig{stores: 3}, `
			ms    s0    s1   s2 f0       f1
			0     .     .    .  a=whole  .
			100   stall kill .  .        .
			200   .     .    .  q:k=whole .
			210   deaf  .    .  .        .
			220   .     .    .  r:u=503  .
			300   goes  .    .  .        .
			1000  hears .    .  .        .
			3000  .     .    .  q:k>l=whole r:v=whole`},
	} {
		t.Run(c.name, func(t *testing.T) { playTimeline(t, c.fig, c.timeline) })
	}
}

// diskFaultsOfStores gives one store after the other a bad disk, and kills some of them meanwhile.
func (w *simulation) diskFaultsOfStores(rng *rand.Rand, until time.Duration) {
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	for w.now() < until {
		if !w.sleep(span(200*time.Millisecond, 5*time.Second)) {
			return
		}
		w.mu.Lock()
		m := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		if m.incarnation.Load() == nil {
			continue
		}
		w.storeFaultSlot <- struct{}{}
		w.diskFaultOfStore(rng, m, span)
		<-w.storeFaultSlot
	}
}

// diskFaultOfStore plays one trouble, or two in one, and the time to catch up after it.
func (w *simulation) diskFaultOfStore(rng *rand.Rand, m *machine, span func(lo, hi time.Duration) time.Duration) {
	lasts := span(50*time.Millisecond, 9*time.Second)
	w.faultUntil(w.now() + 2*lasts + catchUp)
	troubles := []diskFault{diskFaults[rng.IntN(len(diskFaults))]}
	if rng.IntN(3) == 0 {
		troubles = append(troubles, diskFaults[rng.IntN(len(diskFaults))])
	}
	kills, power, startsWell := rng.IntN(3) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
	for _, one := range troubles {
		w.note(m.name, "disk %s", one.name)
		one.begin(m)
	}
	goesOn := w.sleep(lasts)
	if kills && goesOn {
		m.kill(power)
		goesOn = w.sleep(span(10*time.Millisecond, time.Second))
		if goesOn && !startsWell {
			m.start()
			goesOn = w.sleep(lasts / 2)
		}
	}
	for _, one := range troubles {
		one.end(m)
	}
	w.note(m.name, "disk well")
	if !goesOn {
		return
	}
	m.start()
	w.sleep(catchUp)
}

// checkEntriesOnDisk fails the course where a store holds entries that its disk lacks, a while after all trouble.
func (w *simulation) checkEntriesOnDisk() {
	if w.over() || !w.sleep(10*time.Second) {
		return
	}
	for _, m := range w.stores {
		l := m.incarnation.Load()
		if l == nil {
			continue
		}
		m.disk().mu.Lock()
		lacking := l.store.EntriesLacking(m.disk().tables[turnstore.Entries])
		m.disk().mu.Unlock()
		if len(lacking) > 0 {
			w.violation("DISK: %s holds entries that its disk lacks: %v", m.name, lacking)
		}
		if l.store.Full() {
			w.violation("DISK: %s is full still", m.name)
		}
	}
}

func TestRandomScenariosWithDiskFaults(t *testing.T) {
	drawn, workers := *diskScenarios, 4
	if raceDetector {
		drawn, workers = min(drawn, 8), 1
	}
	seeds := make(chan uint64)
	go func() {
		for i := range drawn {
			seeds <- *firstSeed + uint64(i)
		}
		close(seeds)
	}()
	var mu sync.Mutex
	turns := 0
	t.Run("courses", func(t *testing.T) {
		for i := range workers {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds {
					w := runScenarioWith(t, seed, "", (*simulation).diskFaultsOfStores)
					if len(w.violations) > 0 {
						t.Errorf("%s\n%s", w.violations[0], w.timeline(80))
					}
					mu.Lock()
					turns += w.oracle.completed
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d courses from seed %d: %d turns whole", drawn, *firstSeed, turns)
	if turns < 20*drawn {
		t.Error("the courses prove little")
	}
}
