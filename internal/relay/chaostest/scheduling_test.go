package chaostest

import (
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/starvation"
)

const (
	maxRuns      = 3               // of one scenario
	replayBudget = 3 * time.Minute // for repeated runs of all tests of this package
)

// replays is the time that was spent on repeated runs.
var replays struct {
	sync.Mutex
	spent time.Duration
}

// playResult is the result of one run of a scenario.
type playResult struct {
	faults  []string
	starved bool // the run measured that its processes did not get the processor
}

// playUntilConclusive runs a scenario until a run has no fault, or has faults that are not due to the machine's load, and returns
// the faults of the last run. A run is repeated only if it measured itself that it was starved, at most maxRuns times.
func playUntilConclusive(play func() playResult, mayRepeat func() bool) (faults []string, plays int) {
	for {
		plays++
		o := play()
		if len(o.faults) == 0 || !o.starved || plays == maxRuns || !mayRepeat() {
			return o.faults, plays
		}
	}
}

// assertNoFaults runs a scenario and fails with the faults of the last run.
func assertNoFaults(t *testing.T, play func() (*EventLog, []string)) {
	t.Helper()
	faults, plays := playUntilConclusive(func() playResult {
		began := time.Now()
		book, faults := play()
		worst, starved := book.Starved()
		if starved {
			t.Logf("starved %v into the run: a thread waited %v for a processor, a timer was %v late",
				worst.From, worst.Waited, worst.TimerDelay)
		}
		if starved && len(faults) > 0 {
			t.Logf("faults of a starved run: %s", strings.Join(faults, "; "))
			replays.Lock()
			replays.spent += time.Since(began) // the next run takes as long
			replays.Unlock()
		}
		return playResult{faults, starved}
	}, func() bool {
		replays.Lock()
		defer replays.Unlock()
		return replays.spent <= replayBudget
	})
	for _, fault := range faults {
		t.Errorf("run %d: %s", plays, fault)
	}
}

func TestRunsRepeatOnlyWhenStarved(t *testing.T) {
	clean, starvedClean := playResult{}, playResult{starved: true}
	faulty, starvedFaulty := playResult{faults: []string{"x"}}, playResult{faults: []string{"y"}, starved: true}
	for name, c := range map[string]struct {
		plays  []playResult
		repeat bool
		faults string
		played int
	}{
		"clean":                          {[]playResult{clean}, true, "", 1},
		"clean and starved":              {[]playResult{starvedClean}, true, "", 1},
		"a fault, not starved":           {[]playResult{faulty, clean}, true, "x", 1},
		"a fault, starved":               {[]playResult{starvedFaulty, clean}, true, "", 2},
		"a fault, starved and then not":  {[]playResult{starvedFaulty, faulty, clean}, true, "x", 2},
		"a fault in every play":          {[]playResult{starvedFaulty, starvedFaulty, starvedFaulty, clean}, true, "y", 3},
		"a fault, starved, no time left": {[]playResult{starvedFaulty, clean}, false, "y", 1},
	} {
		next := 0
		faults, played := playUntilConclusive(func() playResult { next++; return c.plays[next-1] }, func() bool { return c.repeat })
		if strings.Join(faults, " ") != c.faults || played != c.played {
			t.Errorf("%s: %v after %d plays, want %q after %d runs", name, faults, played, c.faults, c.played)
		}
	}
}

func TestStarved(t *testing.T) {
	for name, c := range map[string]struct {
		rooms []SchedulingSample
		worst int // -1 for none
	}{
		"no sample":          {nil, -1},
		"not starved":        {[]SchedulingSample{{Waited: starvation.Limit - 1, TimerDelay: starvation.Limit - 1}}, -1},
		"a thread waited":    {[]SchedulingSample{{}, {From: 1, Waited: starvation.Limit}}, 1},
		"the timer was late": {[]SchedulingSample{{From: 2, TimerDelay: starvation.Limit}, {}}, 0},
		"the worst of several": {[]SchedulingSample{
			{Waited: starvation.Limit}, {From: 3, TimerDelay: 2 * starvation.Limit}, {Waited: starvation.Limit},
		}, 1},
	} {
		worst, starved := (&EventLog{Scheduling: c.rooms}).Starved()
		if starved != (c.worst >= 0) || starved && worst != c.rooms[c.worst] {
			t.Errorf("%s: %v, %v", name, worst, starved)
		}
	}
}
