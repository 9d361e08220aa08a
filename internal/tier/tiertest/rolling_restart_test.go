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

	"github.com/cockroachdb/errors"
)

var (
	rollingRuns  = flag.Int("rolling", 1, "runs of TestRollingRestarts")
	rollingWaves = flag.Int("waves", 2, "restarts of all fronts in each of them")
	rollingSeed  = flag.Uint64("rollingseed", 1, "of the first run")
	rollingLanes = flag.Int("lanes", 12, "programs at a time in each of them")
)

const (
	unreadTimeout        = 200 * time.Millisecond // in which a connection is closed whose request is not read
	rollingEventInterval = 30 * time.Millisecond  // long streams, so that some are running at any moment
	minRestartGap        = 700 * time.Millisecond // of five fronts that drain for some 3 s, one is left
	maxRestartGap        = 1200 * time.Millisecond
)

// rollingRestarts is a run in which all fronts of a zone are restarted again and again, so that several drain together and the
// platform sends new connections to these too, while machines get SIGHUP and the operator sends configurations.
type rollingRestarts struct {
	*testTier
	random *rand.Rand
}

// TestRollingRestarts restarts the fronts in waves that overlap. A seed gives the same order and times again.
func TestRollingRestarts(t *testing.T) {
	for i := range *rollingRuns {
		seed := *rollingSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			o := Options{Cores: 3, Stores: 3, Fronts: 5}
			r := &rollingRestarts{startTestTierWithEvents(t, o, rollingEventInterval), rand.New(rand.NewPCG(seed, 0))}
			stopBackground := r.startBackgroundLanes(*rollingLanes)
			defer stopBackground()
			r.play()
			stopBackground()
			r.checkRulesExceptUnread()
		})
	}
}

// checkRulesExceptUnread expects no violation of any rule, but for programs that failed since a front closed a connection
// before it read the request: the platform's clients send that again, this test's cannot tell it from a request that was read.
func (r *rollingRestarts) checkRulesExceptUnread() {
	r.t.Helper()
	h := r.history()
	runs := indexHistory(h).runsByAttempt
	unread := map[string]bool{} // programs
	for i := range h.Attempts {
		if a := &h.Attempts[i]; a.Status == 0 && len(runs[a.ID]) == 0 && a.Ended.Sub(a.Sent) < unreadTimeout {
			unread[a.Program] = true
		}
	}
	violations := slices.DeleteFunc(Check(h), func(v Violation) bool {
		program, _, _ := strings.Cut(v.Text, " ")
		return v.Rule == "SERVED" && unread[program]
	})
	r.reportViolations(violations)
}

// play restarts fronts in waves. Between two restarts it may interfere.
func (r *rollingRestarts) play() {
	r.t.Helper()
	version := int64(3)
	restarts := make([]sync.Mutex, len(r.Class(Front))) // a front that still drains is restarted after that
	var restarting sync.WaitGroup
	defer restarting.Wait()
	for range *rollingWaves {
		for _, front := range r.random.Perm(len(restarts)) {
			restarting.Go(func() {
				restarts[front].Lock()
				defer restarts[front].Unlock()
				r.restart(r.Class(Front)[front])
			})
			time.Sleep(minRestartGap + time.Duration(r.random.Int64N(int64(maxRestartGap-minRestartGap))))
			version = r.interfere(version)
		}
	}
}

// restart terminates a front and starts it again.
func (r *rollingRestarts) restart(front *Machine) {
	r.t.Helper()
	code, err := front.Terminate()
	if err == nil && code != 0 {
		err = errors.Newf("%s, terminated, exits with %d", front.Name, code)
	}
	if err == nil {
		err = front.Start()
	}
	if err == nil {
		err = r.AwaitReady(stepContext(r.t), front)
	}
	if err != nil {
		r.t.Error(err)
	}
}

// interfere draws what else happens: a SIGHUP, a configuration, or nothing. It returns the newest version.
func (r *rollingRestarts) interfere(version int64) int64 {
	r.t.Helper()
	switch r.random.IntN(3) {
	case 0:
		_ = r.Machines[r.random.IntN(len(r.Machines))].Signal(syscall.SIGHUP) // it may be down
	case 1:
		version++
		must(r.t, r.Configure(stepContext(r.t), NewConfig(version, DraftService, r.random.IntN(2) == 0)))
	}
	return version
}
