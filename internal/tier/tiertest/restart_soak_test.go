package tiertest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	soakRuns  = flag.Int("soakruns", 1, "runs of TestRestartSoak")
	soakSeed  = flag.Uint64("soakseed", 1, "of the first run")
	soakTime  = flag.Duration("soaktime", 30*time.Second, "of each run")
	soakLanes = flag.Int("soaklanes", 6, "programs at a time in each of them")
)

// How a soak restarts a process.
const (
	restartAfterStop     = "terminated, then started"
	restartEarly         = "its successor started first"
	restartAfterKill     = "killed, then started"
	restartWithPortTaken = "killed, started while its port is taken"
	restartWithHalfFile  = "killed, started with half of its settings file"
	restartWithSignals   = "killed, started and sent SIGHUP again and again"
	restartStoppedEarly  = "killed, started, terminated at once, started"
	restartWithEmptyDisk = "killed, started with an empty disk"
	freeze               = "frozen for a time"
)

var (
	frontRestarts   = []string{restartAfterStop, restartEarly, restartAfterKill, restartWithPortTaken, restartWithHalfFile, restartWithSignals, restartStoppedEarly, freeze}
	countedRestarts = append([]string{restartWithEmptyDisk}, frontRestarts...)
)

const (
	maxConditionTime = 1500 * time.Millisecond // of a port that is taken, a file that is half written, a freeze
	maxOverlap       = 2500 * time.Millisecond // for which a predecessor runs before it is terminated
	maxFrontGap      = 1500 * time.Millisecond // between two restarts of fronts
	hangupsInSeries  = 6
	maxHangupGap     = 12 * time.Millisecond
	soakEventTime    = 20 * time.Millisecond // between events of a stream, so that some run at any moment
	frontLanes       = 2                     // fronts that are restarted at a time
	soakTenantKey    = "soak-key"
)

// restartSoak is a run in which the processes of a tier are stopped, killed and started in all the ways that a machine and its
// supervisor may do it: several fronts at a time, and one core node or store at a time, with catchUpTime between two of them.
type restartSoak struct {
	*testTier
	seed uint64
}

// A process that exited by itself, with another code than 0 after SIGTERM, or did not serve after its start: in a tier of
// the shape in which that was reported.
func TestRestartSoak(t *testing.T) {
	for i := range *soakRuns {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := startRestartSoak(t, Options{Cores: 4, Stores: 4, Fronts: 6}, seed)
			s.run()
			s.terminateAll()
		})
	}
}

// startRestartSoak starts a tier of a shape, with singleton tasks and a tenant.
func startRestartSoak(t *testing.T, o Options, seed uint64) *restartSoak {
	t.Helper()
	first := NewConfig(3, DraftService, false)
	first.Tenants = []Tenant{{Name: "soak", Keys: []string{soakTenantKey}}}
	o.Duties = []string{"usage_report", "autoscale"}
	return &restartSoak{startTestTierWithConfig(t, o, soakEventTime, first), seed}
}

// run restarts processes beside programs for the time of a run, and checks what happened. The functions stop are called after the
// last restart.
func (s *restartSoak) run(stop ...func()) {
	s.t.Helper()
	stopBackground := s.startLanes(*soakLanes, soakProgram)
	defer stopBackground()
	s.play(time.Now().Add(*soakTime))
	for _, f := range stop {
		f()
	}
	stopBackground()
	s.checkEnds()
	s.serveWithKey()
	s.checkSafety()
}

// soakProgram is the background program of a lane.
func soakProgram(lane, n int) Program {
	p := backgroundProgram(lane, n)
	p.Key = soakTenantKey
	return p
}

// play restarts processes until a time, and waits until the last restarts are over.
func (s *restartSoak) play(until time.Time) {
	var lanes sync.WaitGroup
	fronts := s.Class(Front)
	for lane := range frontLanes {
		lanes.Go(func() {
			random := rand.New(rand.NewPCG(s.seed, uint64(lane)))
			own := fronts[lane*len(fronts)/frontLanes : (lane+1)*len(fronts)/frontLanes]
			for time.Now().Before(until) {
				s.restart(own[random.IntN(len(own))], frontRestarts[random.IntN(len(frontRestarts))], random)
				time.Sleep(draw(random, maxFrontGap))
			}
		})
	}
	lanes.Go(func() {
		random := rand.New(rand.NewPCG(s.seed, frontLanes))
		counted := slices.Concat(s.Class(Core), s.Class(Store))
		for version := int64(4); time.Now().Before(until); version++ {
			s.restart(counted[random.IntN(len(counted))], countedRestarts[random.IntN(len(countedRestarts))], random)
			s.sendConfig(version)
			time.Sleep(catchUpTime)
		}
	})
	lanes.Wait()
}

// draw returns a random duration below most.
func draw(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(most)))
}

func (s *restartSoak) sendConfig(version int64) {
	c := NewConfig(version, []string{DraftService, ReviewService}[version%2], version%3 == 0)
	c.Tenants = []Tenant{{Name: "soak", Keys: []string{soakTenantKey}}}
	if err := s.Configure(stepContext(s.t), c); err != nil {
		s.t.Errorf("version %d: %v", version, err)
	}
}

// restart restarts a process in one of the ways, and expects it to serve afterwards.
func (s *restartSoak) restart(m *Machine, how string, random *rand.Rand) {
	began := time.Now()
	if err := s.restartProcess(m, how, random); err != nil {
		s.t.Errorf("seed %d, %s, %s: %v", s.seed, m.Name, how, err)
		return
	}
	if err := s.awaitServing(m); err != nil {
		s.t.Errorf("seed %d, %s, %s, %v ago: it does not serve: %v", s.seed, m.Name, how, time.Since(began).Round(time.Millisecond), err)
	}
}

func (s *restartSoak) restartProcess(m *Machine, how string, random *rand.Rand) error {
	switch how {
	case restartAfterStop:
		return stopThenStart(m)
	case restartEarly:
		return startThenStop(m, draw(random, maxOverlap))
	case freeze:
		return freezeFor(m, draw(random, maxConditionTime))
	}
	m.Kill()
	switch how {
	case restartWithPortTaken:
		return s.startWithPortTaken(m, draw(random, maxConditionTime))
	case restartWithHalfFile:
		return startWithHalfFile(m, draw(random, maxConditionTime))
	case restartWithEmptyDisk:
		if err := m.Wipe(); err != nil {
			return err
		}
	}
	if err := m.Start(); err != nil {
		return err
	}
	switch how {
	case restartWithSignals:
		return hangUpAgainAndAgain(m, random)
	case restartStoppedEarly:
		awaitHandler(m, syscall.SIGTERM)
		time.Sleep(draw(random, maxHangupGap))
		return stopThenStart(m)
	}
	return nil
}

// exitError returns an error unless a process that was terminated has exited with 0.
func exitError(code int, err error) error {
	if err == nil && code != 0 {
		return fmt.Errorf("exit code %d after SIGTERM", code)
	}
	return err
}

func stopThenStart(m *Machine) error {
	if err := exitError(m.Terminate()); err != nil {
		return err
	}
	return m.Start()
}

func startThenStop(m *Machine, overlap time.Duration) error {
	terminate, err := m.StartSuccessor()
	if err != nil {
		return err
	}
	time.Sleep(overlap)
	return exitError(terminate())
}

func freezeFor(m *Machine, d time.Duration) error {
	if err := m.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return m.Signal(syscall.SIGCONT)
}

func (s *restartSoak) startWithPortTaken(m *Machine, d time.Duration) error {
	addr := m.PeerAddr()
	if m.Class == Front {
		addr = m.FrontAddr()
	}
	defer occupyPort(s.t, s.Tier, addr)()
	if err := m.Start(); err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}

func startWithHalfFile(m *Machine, d time.Duration) error {
	complete, err := startWithPartOfSettings(m, 2.0/3)
	if err != nil {
		return err
	}
	time.Sleep(d)
	return complete()
}

// hangUpAgainAndAgain sends SIGHUP from the first instructions of a process on.
func hangUpAgainAndAgain(m *Machine, random *rand.Rand) error {
	awaitHandler(m, syscall.SIGHUP)
	for range hangupsInSeries {
		if err := m.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		time.Sleep(draw(random, maxHangupGap))
	}
	return nil
}

// checkEnds expects that no process has exited that the harness did not end, and that none has reported a data race.
func (s *restartSoak) checkEnds() {
	s.t.Helper()
	s.checkNoUnexpectedExit()
	starts := 0
	for _, m := range s.Machines {
		starts += m.Incarnation()
		if strings.Contains(m.Log.String(), "DATA RACE") {
			s.t.Errorf("%s reports a data race", m.Name)
		}
	}
	s.t.Logf("seed %d: %d starts", s.seed, starts)
}

// serveWithKey expects that programs complete after the last restart.
func (s *restartSoak) serveWithKey() {
	s.t.Helper()
	var wg sync.WaitGroup
	for lane := range 3 {
		if lane == 2 {
			continue // the endless program
		}
		wg.Go(func() {
			p := soakProgram(lane, 0)
			p.Name += "-last"
			if result := s.client.Run(s.t.Context(), p); result.Outcome != Completed {
				s.t.Errorf("after all restarts, %s ended with %v: %s", p.Name, result.Outcome, result.Reason)
			}
		})
	}
	wg.Wait()
}

// checkSafety expects no violation of any rule but the one that programs complete: those that met a killed or frozen front may fail.
func (s *restartSoak) checkSafety() {
	s.t.Helper()
	s.reportViolations(slices.DeleteFunc(Check(s.history()), func(v Violation) bool { return v.Rule == "SERVED" }))
}

// terminateAll terminates all processes at once and expects that each of them ends with code 0 within its grace period.
func (s *restartSoak) terminateAll() {
	s.t.Helper()
	var wg sync.WaitGroup
	for _, m := range s.Machines {
		wg.Go(func() {
			if err := exitError(m.Terminate()); err != nil {
				s.t.Errorf("%s, terminated together with all others: %v", m.Name, err)
			}
		})
	}
	wg.Wait()
}
