package tiertest

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	maxKillDelay    = 40 * time.Millisecond // between the first start of a process and its kill
	maxKilledStores = 2                     // at the first start; the others remember it
	minDowntime     = 100 * time.Millisecond
	maxDowntime     = time.Second
	quotaPeriod     = 100 * time.Millisecond
	quotaRun        = 30 * time.Millisecond // of each period, in which a process with a quota runs
)

// pauseFor stops the process of a machine for a while, if it runs.
func (m *Machine) pauseFor(d time.Duration) {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	if !p.running() {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// limitProcessor lets each process of a machine run for quotaRun of each quotaPeriod, until stop.
func limitProcessor(m *Machine, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(quotaRun):
			m.pauseFor(quotaPeriod - quotaRun)
		}
	}
}

// firstStarts kills drawn processes soon after their first start and starts them again without bootstrap.
type firstStarts struct {
	random *rand.Rand
	quota  bool
	stop   chan struct{}
	wg     sync.WaitGroup

	mu          sync.Mutex
	killed      []string
	restartErrs []error
}

// start is the first start of a machine.
func (f *firstStarts) start(m *Machine) error {
	if err := m.Start(); err != nil {
		return err
	}
	if f.quota {
		f.wg.Go(func() { limitProcessor(m, f.stop) })
	}
	kill := m.Class == Core && f.random.IntN(4) > 0 || m.Class == Store && f.random.IntN(4) == 0 && f.killedStores() < maxKilledStores
	if !kill {
		return nil
	}
	delay, downtime := draw(f.random, maxKillDelay), minDowntime+draw(f.random, maxDowntime-minDowntime)
	f.mu.Lock()
	f.killed = append(f.killed, fmt.Sprintf("%s after %v for %v", m.Name, delay.Round(time.Millisecond), downtime.Round(time.Millisecond)))
	f.mu.Unlock()
	f.wg.Go(func() {
		time.Sleep(delay)
		m.Kill()
		time.Sleep(downtime)
		if err := m.Start(); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.restartErrs = append(f.restartErrs, err)
		}
	})
	return nil
}

// killedStores returns the number of stores that are killed.
func (f *firstStarts) killedStores() (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range f.killed {
		if name[:len(Store)] == Store {
			count++
		}
	}
	return count
}

// A system that never took a configuration, as core nodes were killed within the first milliseconds of its first start: in the shape of
// the deployment for which that was reported, every second run with a quota of the processor. The soak of restarts follows.
func TestFirstStartSoak(t *testing.T) {
	for i := range *soakRuns {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			starts := &firstStarts{random: rand.New(rand.NewPCG(seed, 0)), quota: seed%2 == 0, stop: make(chan struct{})}
			endQuota := sync.OnceFunc(func() { close(starts.stop); starts.wg.Wait() })
			defer endQuota()
			began := time.Now()
			s := startRestartSoak(t, Options{Cores: 4, Stores: 4, Fronts: 9, firstStart: starts.start}, seed)
			t.Logf("seed %d, quota %v, killed %q: serves after %v", seed, starts.quota, starts.killed, time.Since(began).Round(time.Millisecond))
			s.run()
			endQuota()
			if len(starts.restartErrs) > 0 {
				t.Errorf("restarts failed: %v", starts.restartErrs)
			}
			s.terminateAll()
		})
	}
}
