package tiertest

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	supervisorDelay  = 100 * time.Millisecond // between the end of a process and its next start
	settingsWritten  = 400 * time.Millisecond // after a start, its settings file is complete
	foundingLoss     = 500 * time.Millisecond // for which core nodes are down that were killed
	foundingTimeout  = 10 * time.Second       // in which a system takes its first configuration, as it has before traffic starts
	foundingSurvivor = 1                      // seeds whose first process is not held up or killed
)

// supervise starts a process again a while after each of its ends, with the settings of that moment, until stop.
func supervise(m *Machine, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(supervisorDelay):
			if !m.Running() {
				_ = m.Start() // a failure shows as a system that does not start
			}
		}
	}
}

// The system did not start: two of three seeds read settings files that were being written, ended, and were started again without
// bootstrap, so that nobody founded the core.
func TestFirstStartWhileSettingsAreWritten(t *testing.T) {
	stop := make(chan struct{})
	var supervisors sync.WaitGroup
	stopSupervisors := func() { close(stop); supervisors.Wait() }
	seeds := 0
	firstStart := func(m *Machine) error {
		if seeds++; m.Class != Core || seeds > seedCount-foundingSurvivor {
			return m.Start()
		}
		complete, err := startWithPartOfSettings(m, 0.5)
		if err != nil {
			return err
		}
		supervisors.Go(func() {
			time.Sleep(settingsWritten)
			if m.Incarnation() == 1 { // else the supervisor has written the file
				_ = complete()
			}
		})
		supervisors.Go(func() { supervise(m, stop) })
		return nil
	}
	checkFounding(t, Options{Cores: 4, Stores: 4, Fronts: 2, firstStart: firstStart}, nil, stopSupervisors)
}

// The core is never founded if two of three seeds are killed in the first milliseconds of the system's first start, before they have stored
// that they found it: they are started again without bootstrap.
func TestCoreKilledAtFirstStartIsFounded(t *testing.T) {
	firstStart := func(m *Machine) error {
		err := m.Start()
		if m.Class == Core && err == nil {
			awaitHandler(m, syscall.SIGTERM) // its first instructions
			m.Kill()
		}
		return err
	}
	checkFounding(t, Options{Cores: 4, Stores: 4, Fronts: 2, firstStart: firstStart}, func(tier *Tier) {
		time.Sleep(foundingLoss)
		for _, m := range tier.Class(Core) {
			must(t, m.Start())
		}
	}, func() {})
}

// checkFounding starts a tier, has an incident right after the first starts, and expects that the first configuration is taken. It calls
// stopSupervisors before it ends the tier.
func checkFounding(t *testing.T, o Options, incident func(*Tier), stopSupervisors func()) {
	t.Helper()
	var err error
	o.Programs, err = buildPrograms()
	must(t, err)
	o.Dir = disksDir(t)
	tier, err := Start(o)
	must(t, err)
	defer tier.Close()
	defer stopSupervisors()
	if incident != nil {
		incident(tier)
	}
	began := time.Now()
	err = tier.Configure(stepContext(t), NewConfig(1, DraftService, false))
	took := time.Since(began)
	t.Logf("the first configuration was taken after %v", took.Round(time.Millisecond))
	if err != nil || took > foundingTimeout {
		t.Errorf("the system does not start: %v after %v", err, took)
		for _, m := range tier.Class(Core) {
			t.Logf("output of %s, started %d times:\n%s", m.Name, m.Incarnation(), m.Log)
		}
	}
	for _, m := range tier.Machines {
		for _, end := range m.UnexpectedExits() {
			t.Errorf("a process ended by itself: %s", end)
		}
	}
}
