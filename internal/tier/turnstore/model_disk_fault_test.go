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

var diskScenarios = flag.Int("diskcourses", 40, "random scenarios with disk faults of stores")

const slowFactor = 30 // of the duration of syncs on a slow disk

// diskFault is a fault of a disk that ends.
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

// A store whose disk is slow, stalled or full delays nothing: turns are opened, also past half of their budget, where a
// majority is read again; they are closed; and another front reads their history.
func TestStoreWithFaultyDiskDoesNotDelayTurns(t *testing.T) {
	const (
		maxTurn    = 30 * time.Millisecond // messages take 1 ms, syncs less
		maxHistory = 60 * time.Millisecond // another store is asked after hedgeDelay
	)
	for _, fault := range diskFaults {
		for store := range 3 {
			t.Run(fmt.Sprint(fault.name, store), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					sim := healthySimulation(3, true)
					p := sim.newProgram(60)
					var last *turnRecord
					turn := func(f *front, limit time.Duration) {
						began := sim.now()
						last = sim.runTurn(turnScript{front: f, program: p, previous: last, need: 10, used: 10, ending: completed,
							retain: time.Minute})
						if took := sim.now() - began; last.outcome != completed || took > limit {
							t.Errorf("turn %s of 10 tokens is %s after %v", last.id, last, took)
						}
					}
					turn(sim.fronts[0], maxTurn)
					faulty := sim.stores[store]
					fault.begin(faulty)
					turn(sim.fronts[0], maxTurn) // the front has the history cached
					for i := range 3 {
						turn(sim.fronts[1-i%2], maxHistory)
					}
					fresh := sim.addFront("fresh", "z1")
					sim.sleep(time.Second) // it must receive the placement
					turn(fresh, maxHistory)
					fault.end(faulty)
					sim.sleep(time.Second)
					sim.close()
					if len(sim.violations) > 0 {
						t.Errorf("%s\n%s", sim.violations[0], sim.timeline(30))
					}
				})
			})
		}
	}
}

// After a disk fault a store serves again by itself, with what its peers stored meanwhile.
func TestStoreRecoversAfterDiskFault(t *testing.T) {
	for _, fault := range diskFaults {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := healthySimulation(3, true)
				faulty, other := sim.stores[0], sim.stores[1]
				running := faulty.incarnation.Load()
				p := sim.newProgram(10_000)
				var last *turnRecord
				turn := func() {
					last = sim.runTurn(turnScript{front: sim.fronts[0], program: p, previous: last, need: 10, used: 10,
						ending: completed, retain: time.Minute})
					if last.outcome != completed {
						t.Errorf("turn %s is %s", last.id, last)
					}
				}
				turn()
				fault.begin(faulty)
				for range 5 {
					turn()
					sim.sleep(time.Second)
				}
				if full := running.store.Full(); full != (fault.name == "full") {
					t.Errorf("Full is %v", full)
				}
				fault.end(faulty)
				sim.sleep(catchUp)
				if running.store.Full() {
					t.Errorf("full %v after its disk has recovered", catchUp)
				}
				sim.sleep(turnstore.AntiEntropyInterval * 5) // each compares with a random peer periodically
				other.kill(true)
				turn() // needs both other stores
				sim.sleep(time.Second)
				faulty.disk().mu.Lock()
				lacking := running.store.EntriesLacking(faulty.disk().tables[turnstore.Entries])
				faulty.disk().mu.Unlock()
				if len(lacking) > 0 || !running.store.Has(last.id) || faulty.incarnation.Load() != running {
					t.Errorf("its disk lacks %v; it has the last turn: %v", lacking, running.store.Has(last.id))
				}
				sim.close()
				if len(sim.violations) > 0 {
					t.Errorf("%s\n%s", sim.violations[0], sim.timeline(30))
				}
			})
		})
	}
}

// A turn whose call is cancelled while the disk is stalled is written nevertheless: the store indexes it, so that it expires.
func TestTurnOfCancelledCallIsIndexed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := healthySimulation(3, true)
		faulty := sim.stores[0]
		running := faulty.incarnation.Load()
		faulty.disk().stall()
		ctx, cancel := context.WithCancel(t.Context())
		call := turnstore.CloseCall{To: turnstore.RequestHeader{Store: faulty.disk().id, Generation: faulty.placement().Generation},
			Turn: turnstore.Record{Key: "p", ID: "turn", Root: true, RetainSeconds: 10, Increment: []byte("text")}}
		var calls sync.WaitGroup
		calls.Go(func() { _, _ = running.handlers[turnstore.MethodClose](ctx, rpc.Encode(&call)) })
		sim.sleep(time.Second)
		cancel()
		sim.sleep(time.Second)
		if running.store.Has("turn") {
			t.Error("a turn is indexed before its sync")
		}
		faulty.disk().resume()
		sim.sleep(time.Second)
		calls.Wait()
		if !running.store.Has("turn") {
			t.Error("a turn is on disk and not indexed")
		}
		sim.sleep(time.Minute)
		faulty.disk().mu.Lock()
		if n := len(faulty.disk().tables[turnstore.Bodies]); n > 0 {
			t.Errorf("%d expired turns are on disk", n)
		}
		faulty.disk().mu.Unlock()
		sim.close()
	})
}

// With disk faults at two of three replicas, and kills during them, no acknowledged turn is lost with the power, and nothing is
// acknowledged before its sync.
func TestTimelinesOfDiskFaults(t *testing.T) {
	for _, c := range []struct {
		name     string
		fig      timelineConfig
		timeline string
	}{
		{"no majority syncs, so no turn is opened", timelineConfig{stores: 3}, `
			ms   s0     s1     s2 f0      f1
			0    .      .      .  a=ok    .
			100  stall  stall  .  a>b=503 .
			1000 resume resume .  .       .
			1100 .      .      .  a>c=ok  a>d=ok`},
		{"a turn ends while two disks are stalled", timelineConfig{stores: 3}, `
			ms   s0     s1     s2     f0     f1
			0    .      .      .      a~=ok  b~=aborted
			100  stall  stall  .      .      .
			200  .      .      .      a!     .
			300  .      .      .      .      b!
			1500 resume .      .      .      .
			1510 .      stall  stall  .      .
			1520 stall  .      .      .      .
			9000 resume resume resume .      .
			9500 .      .      .      a>c=ok a>d=ok`},
		{"power loss at all stores while all disks are stalled", timelineConfig{stores: 3}, `
			ms   s0     s1     s2     f0      f1
			0    .      .      .      a=ok    q:k~=ok
			100  stall  stall  stall  a>b=503 .
			150  .      .      .      .       k!
			400  power  power  power  .       .
			800  up     up     up     .       .
			900  resume resume resume .       .
			8000 .      .      .      a>c=ok  a>d=ok,q:k>l=ok`},
		{"a store is killed while its disk is full and restarts on it", timelineConfig{stores: 3}, `
			ms    s0    s1 s2    f0     f1
			0     .     .  .     a=ok   .
			100   full  .  .     a>b=ok .
			300   kill  .  .     b>c=ok .
			600   up    .  .     .      b>d=ok
			3000  .     .  .     c>e=ok .
			4000  space .  .     .      .
			26000 .     .  power .      .
			27000 .     .  .     e>f=ok d>g=ok`},
		{"a store's disk is stalled, then another store is lost and wiped", timelineConfig{stores: 4}, `
			ms    s0     s1   s2 s3   f0     f1
			0     .      .    .  .    a=ok   q:k=ok
			100   stall  .    .  .    a>b=ok q:k>l=ok
			2100  resume .    .  .    .      .
			6400  .      wipe .  .    .      .
			6500  .      up   .  .    .      .
			11000 .      .    .  wipe b>c=ok q:l>m=ok
			11100 .      .    .  .    c>d=ok r:m>n=ok`},
		{"a late reply counts for no other open", timelineConfig{stores: 3}, `
			ms   s0        s1   s2 f0       f1
			0    .         .    .  a=ok     .
			100  stall     kill .  .        .
			200  .         .    .  q:k=ok   .
			210  unreached .    .  .        .
			220  .         .    .  r:u=503  .
			300  resume    .    .  .        .
			1000 reached   .    .  .        .
			3000 .         .    .  q:k>l=ok r:v=ok`},
	} {
		t.Run(c.name, func(t *testing.T) { playTimeline(t, c.fig, c.timeline) })
	}
}

// diskFaultsOfStores injects disk faults into one store after the other, and kills some of them meanwhile.
func (sim *simulation) diskFaultsOfStores(rng *rand.Rand, until time.Duration) {
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	for sim.now() < until {
		if !sim.sleep(span(200*time.Millisecond, 5*time.Second)) {
			return
		}
		sim.mu.Lock()
		m := sim.stores[rng.IntN(len(sim.stores))]
		sim.mu.Unlock()
		if m.incarnation.Load() == nil {
			continue
		}
		sim.storeFaultSlot <- struct{}{}
		sim.diskFaultOfStore(rng, m, span)
		<-sim.storeFaultSlot
	}
}

// diskFaultOfStore injects one or two disk faults and waits for the store to catch up.
func (sim *simulation) diskFaultOfStore(rng *rand.Rand, m *machine, span func(lo, hi time.Duration) time.Duration) {
	duration := span(50*time.Millisecond, 9*time.Second)
	sim.faultUntil(sim.now() + 2*duration + catchUp)
	faults := []diskFault{diskFaults[rng.IntN(len(diskFaults))]}
	if rng.IntN(3) == 0 {
		faults = append(faults, diskFaults[rng.IntN(len(diskFaults))])
	}
	kill, power, startAfterwards := rng.IntN(3) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
	for _, one := range faults {
		sim.note(m.name, "disk %s", one.name)
		one.begin(m)
	}
	goesOn := sim.sleep(duration)
	if kill && goesOn {
		m.kill(power)
		goesOn = sim.sleep(span(10*time.Millisecond, time.Second))
		if goesOn && !startAfterwards {
			m.start()
			goesOn = sim.sleep(duration / 2)
		}
	}
	for _, one := range faults {
		one.end(m)
	}
	sim.note(m.name, "disk recovered")
	if !goesOn {
		return
	}
	m.start()
	sim.sleep(catchUp)
}

// checkEntriesOnDisk checks that, 10 s after all faults, the entries of each store are on its disk and none is full.
func (sim *simulation) checkEntriesOnDisk() {
	if sim.over() || !sim.sleep(10*time.Second) {
		return
	}
	for _, m := range sim.stores {
		running := m.incarnation.Load()
		if running == nil {
			continue
		}
		m.disk().mu.Lock()
		lacking := running.store.EntriesLacking(m.disk().tables[turnstore.Entries])
		m.disk().mu.Unlock()
		if len(lacking) > 0 {
			sim.violation("DISK: %s has entries that its disk lacks: %v", m.name, lacking)
		}
		if running.store.Full() {
			sim.violation("DISK: %s is still full", m.name)
		}
	}
}

func TestRandomScenariosWithDiskFaults(t *testing.T) {
	count, workers := *diskScenarios, 4
	if raceDetector {
		count, workers = min(count, 8), 1
	}
	seeds := make(chan uint64)
	go func() {
		for i := range count {
			seeds <- *firstSeed + uint64(i)
		}
		close(seeds)
	}()
	var mu sync.Mutex
	turns := 0
	t.Run("scenarios", func(t *testing.T) {
		for i := range workers {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds {
					sim := runScenarioWith(t, seed, "", (*simulation).diskFaultsOfStores)
					if len(sim.violations) > 0 {
						t.Errorf("%s\n%s", sim.violations[0], sim.timeline(80))
					}
					mu.Lock()
					turns += sim.oracle.completed
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d scenarios from seed %d: %d turns completed", count, *firstSeed, turns)
	if turns < 20*count {
		t.Error("the scenarios prove little")
	}
}
