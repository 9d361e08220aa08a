package controlnode

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/standin/cutproxy"
)

var faultRuns = flag.Int("dutyruns", 1, "runs of the singleton tasks under random faults, each with the next seed")

const (
	faultsPerRun    = 3
	longestFault    = 3 * time.Second
	successiveKills = 3
)

// drawnFault is a fault of one node that the test injects at random.
type drawnFault struct {
	name  string
	begin func(d *taskFleet, i int)
	end   func(d *taskFleet, i int)
}

// drawnFaults are the faults that the test chooses from. lostDisk is separate, since only a node that is not the holder may lose its
// disk.
var drawnFaults = []drawnFault{
	{"is killed", func(d *taskFleet, i int) { d.kill(i) }, (*taskFleet).restartNode},
	{"shuts down gracefully", func(d *taskFleet, i int) { d.terminate(i) }, (*taskFleet).restartNode},
	{"is paused", func(d *taskFleet, i int) { d.nodes[i].freeze(d.t) }, func(d *taskFleet, i int) { d.nodes[i].resume() }},
	{"is cut off from other nodes", func(d *taskFleet, i int) { d.partition(i) }, func(d *taskFleet, _ int) { d.heal(true) }},
	{"is cut off from the platform", (*taskFleet).cutPlatform, (*taskFleet).healPlatform},
	{"cannot connect to the platform", (*taskFleet).refusePlatform, (*taskFleet).healPlatform},
}

var lostDisk = drawnFault{"is killed, its disk is lost", func(d *taskFleet, i int) { d.kill(i) }, func(d *taskFleet, i int) { d.wipe(i); d.restartNode(i) }}

func (d *taskFleet) restartNode(i int) { d.start(i, false) }

// cutPlatform holds the traffic between a node and the platform in both directions.
func (d *taskFleet) cutPlatform(i int) {
	d.links[i].Hold(cutproxy.Forward)
	d.links[i].Hold(cutproxy.Backward)
}

// refusePlatform resets the connections of a node to the platform, and every new one.
func (d *taskFleet) refusePlatform(i int) {
	d.links[i].Refuse(true)
	d.links[i].Reset()
}

// healPlatform ends cutPlatform and refusePlatform. The data that was held is lost.
func (d *taskFleet) healPlatform(i int) {
	d.links[i].Reset()
	d.links[i].Refuse(false)
	d.links[i].Release(cutproxy.Forward)
	d.links[i].Release(cutproxy.Backward)
}

// TestDutiesThroughFaults injects random faults of the holder, of other nodes and of the platform, at most as many at once as the core
// tolerates. The singleton tasks must resume after each and obey the platform's rules throughout.
func TestDutiesThroughFaults(t *testing.T) {
	t.Parallel()
	seed := chooseSeed(t)
	for i := range uint64(*faultRuns) {
		t.Run(fmt.Sprint(seed+i), func(t *testing.T) { runDrawnFaults(t, seed+i) })
	}
}

func runDrawnFaults(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 12))
	d := newTaskFleet(t, 3+r.IntN(3), taskTestTerm)
	longest := time.Duration(0)
	for range faultsPerRun {
		longest = max(longest, d.injectFaults(r))
		d.awaitReports()
		if t.Failed() {
			return
		}
	}
	t.Logf("%d nodes; usage reports resumed after %v at most", d.n, longest)
	d.checkPlatformCalls()
}

// injectFaults injects one random fault or several overlapping ones, and waits until usage reports resume and all nodes are members.
// It returns how long usage reports took to resume after the end of the last fault.
func (d *taskFleet) injectFaults(r *rand.Rand) time.Duration {
	d.t.Helper()
	description := ""
	switch r.IntN(6) {
	case 0:
		description = d.killHolders()
	case 1:
		description = d.killAll(r)
	default:
		description = d.overlapFaults(r)
	}
	d.platform.SetDutyFault(cloudapi.DutyFault{})
	ended := time.Now()
	took := d.awaitUsage(description, ended, d.resumeLimit())
	d.within(catchUp+busyMargin, "all nodes are members", d.allMembers)
	d.t.Logf("%s: %s; usage reports resumed after %v", ended.Format(timeWithMillis), description, took)
	return took
}

// killHolders kills the holder several times in succession, each time as soon as the next one has reported usage and all nodes are
// members again.
func (d *taskFleet) killHolders() (description string) {
	d.t.Helper()
	var killed []string
	for range successiveKills {
		holder := d.holder()
		killed = append(killed, fmt.Sprint(holder))
		d.kill(holder)
		since := time.Now()
		d.awaitUsage("after the holder was killed", since, d.resumeLimit())
		d.restartNode(holder)
		d.within(catchUp+busyMargin, "all nodes are members", d.allMembers)
	}
	return "holders " + strings.Join(killed, ", ") + " are killed in turn"
}

// killAll kills all nodes at once and restarts them.
func (d *taskFleet) killAll(r *rand.Rand) (description string) {
	for _, i := range d.all() {
		d.nodes[i].signal(syscall.SIGKILL)
	}
	for _, i := range d.all() {
		d.kill(i)
	}
	time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
	for _, i := range r.Perm(d.n) {
		d.restartNode(i)
	}
	return "all nodes are killed"
}

// overlapFaults injects faults in the holder, in another node, or in both if the core tolerates that, sometimes together with a fault of
// the platform, and ends them in random order.
func (d *taskFleet) overlapFaults(r *rand.Rand) (description string) {
	d.t.Helper()
	holder := d.holder()
	victims := []int{holder}
	if other := (holder + 1 + r.IntN(d.n-1)) % d.n; d.faultTolerance > 1 && r.IntN(2) == 0 {
		victims = append(victims, other)
	} else if r.IntN(5) == 0 {
		victims = []int{other}
	}
	var parts []string
	if r.IntN(2) == 0 {
		fault := drawPlatformFault(r)
		parts = append(parts, fmt.Sprintf("platform has fault %+v", fault))
		d.platform.SetDutyFault(fault)
		time.Sleep(time.Duration(r.Int64N(int64(longestFault / 2))))
	}
	faults := make([]drawnFault, len(victims))
	for k, i := range victims {
		faults[k] = drawnFaults[r.IntN(len(drawnFaults))]
		if i != holder && r.IntN(2) == 0 {
			faults[k] = lostDisk
		}
		parts = append(parts, fmt.Sprintf("node %d %s", i, faults[k].name))
		faults[k].begin(d, i)
	}
	length := time.Duration(r.Int64N(int64(longestFault)))
	parts = append(parts, fmt.Sprintf("for %v", length))
	time.Sleep(length)
	if r.IntN(2) == 0 {
		d.platform.SetDutyFault(cloudapi.DutyFault{})
	}
	for _, k := range r.Perm(len(victims)) {
		faults[k].end(d, victims[k])
	}
	return strings.Join(parts, ", ")
}

// drawPlatformFault chooses a random fault of the platform. A slow platform may respond before or after the caller's time-out.
func drawPlatformFault(r *rand.Rand) cloudapi.DutyFault {
	switch r.IntN(6) {
	case 0:
		return cloudapi.DutyFault{Kind: cloudapi.DutyDown}
	case 1:
		return cloudapi.DutyFault{Kind: cloudapi.DutyBusy, Status: []int{429, 503}[r.IntN(2)]}
	case 2:
		return cloudapi.DutyFault{Kind: cloudapi.DutySilent}
	case 3:
		return cloudapi.DutyFault{Kind: cloudapi.DutyReset}
	case 4:
		return cloudapi.DutyFault{Kind: cloudapi.DutyLostAnswers}
	}
	delay := time.Duration(r.Int64N(int64(platformCallTimeout + time.Second)))
	return cloudapi.DutyFault{Kind: cloudapi.DutySlow, Delay: delay, DecidedFirst: r.IntN(2) == 0}
}

// TestStoppedHolderReleasesLeaseEarly checks that after a graceful shutdown of the holder another node makes calls well before the term
// of the lease ends.
func TestStoppedHolderReleasesLeaseEarly(t *testing.T) {
	t.Parallel()
	const term = 8 * time.Second
	d := newTaskFleet(t, 3, term)
	for range 2 {
		holder := d.holder()
		highest := lastCalls(d.platform.DutyCalls(), 1)[0].Token
		began := time.Now()
		d.terminate(holder)
		var next cloudapi.DutyCall
		d.awaitCalls("another node makes a call", term, func(decided []cloudapi.DutyCall, _ int) bool {
			i := slices.IndexFunc(decided, func(c cloudapi.DutyCall) bool { return c.Applied && c.Token > highest })
			if i >= 0 {
				next = decided[i]
			}
			return i >= 0
		})
		took := next.Received.Sub(began)
		t.Logf("node %d shuts down; %s makes a call after %v", holder, next.Holder, took)
		if took > term/2 {
			t.Errorf("the next holder made its first call %v after SIGTERM, limit %v", took, term/2)
		}
		d.restartNode(holder)
		d.within(catchUp+busyMargin, "all nodes are members", d.allMembers)
	}
	d.checkPlatformCalls()
}
