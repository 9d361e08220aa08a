package tiertest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/standin/modelhost"
)

const (
	maxEndlessTime  = 3 * time.Second        // for which a host sends without end
	maxEndlessPause = 50 * time.Millisecond  // between two events of a slow one
	maxProperTime   = 700 * time.Millisecond // between two of them, in each lane
	endlessLanes    = 2                      // hosts that send without end at a time
	memoryPoll      = 100 * time.Millisecond
)

// endlessStatuses are the statuses of responses without end.
var endlessStatuses = []int{http.StatusOK, http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests}

// soakShapes are the shapes of the deployments in which hosts that send without end were reported.
var soakShapes = map[string]Options{
	"andinas-admit": {Cores: 4, Stores: 4, Fronts: 6},
	"icl-relay":     {Cores: 4, Stores: 4, Fronts: 9},
}

// Machines that had called a host which sends without end ran out of memory or stood still. Such hosts come and go while processes are
// stopped, killed and started and configurations change; no process ends by itself or holds more than it is granted, and the rules hold.
func TestEndlessHostSoak(t *testing.T) {
	for name, shape := range soakShapes {
		for i := range *soakRuns {
			seed := *soakSeed + uint64(i)
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				s := startRestartSoak(t, shape, seed)
				stop, stopWatch := s.startEndlessHosts(), s.watchMemory()
				defer stop()
				defer stopWatch()
				s.run(stop)
				s.terminateAll()
			})
		}
	}
}

// endsWithEvent are the forms behind which another one may follow: they leave no event open. Behind others the host itself would send
// events that the check of the order does not expect.
var endsWithEvent = []modelhost.Form{modelhost.EndlessComments, modelhost.EndlessEmptyLines, modelhost.EndlessNumbers, modelhost.EndlessEvents}

// drawEndless draws a form of a response without end.
func drawEndless(random *rand.Rand) modelhost.Fault {
	fault := modelhost.Fault{Kind: modelhost.Endless, Form: modelhost.Forms[random.IntN(len(modelhost.Forms))],
		Status: endlessStatuses[random.IntN(len(endlessStatuses))]}
	if random.IntN(3) == 0 {
		fault.After = 1 + random.IntN(5)
	}
	if random.IntN(2) == 0 && slices.Contains(endsWithEvent, fault.Form) {
		fault.Then = modelhost.Forms[random.IntN(len(modelhost.Forms))]
	}
	if random.IntN(4) == 0 {
		fault.Pause = draw(random, maxEndlessPause)
	}
	return fault
}

// startEndlessHosts lets drawn hosts send without end for a while, until stop. Then all hosts are proper.
func (s *restartSoak) startEndlessHosts() (stop func()) {
	done := make(chan struct{})
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-done:
		}
	}
	var lanes sync.WaitGroup
	for lane := range endlessLanes {
		lanes.Go(func() {
			random := rand.New(rand.NewPCG(s.seed, uint64(100+lane)))
			own := s.hosts[lane*len(s.hosts)/endlessLanes : (lane+1)*len(s.hosts)/endlessLanes]
			for {
				select {
				case <-done:
					return
				default:
				}
				host := own[random.IntN(len(own))]
				host.SetFault(drawEndless(random))
				pause(draw(random, maxEndlessTime))
				host.SetFault(modelhost.Fault{})
				pause(draw(random, maxProperTime))
			}
		})
	}
	return sync.OnceFunc(func() { close(done); lanes.Wait() })
}

// watchMemory watches the memory of all processes until stop, which expects that none held more than it is granted. Programs with the race
// detector hold several times as much.
func (s *restartSoak) watchMemory() (stop func()) {
	done, most := make(chan struct{}), map[string]int{}
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for {
			for _, m := range s.Machines {
				most[m.Class] = max(most[m.Class], m.PeakMemoryMB())
			}
			select {
			case <-done:
				return
			case <-time.After(memoryPoll):
			}
		}
	})
	return sync.OnceFunc(func() {
		close(done)
		watcher.Wait()
		s.t.Logf("seed %d: peaks of memory by class, in MB: %v", s.seed, most)
		for class, peak := range most {
			if !raceDetector && peak > s.limits.MemoryMB {
				s.t.Errorf("seed %d: a process of class %s held %d MB, is granted %d", s.seed, class, peak, s.limits.MemoryMB)
			}
		}
	})
}
