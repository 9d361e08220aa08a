package controlnode

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/internal/standin/cloudapi"
)

var (
	holderPauses = flag.Int("pauses", 8, "number of pauses of the lease holder")
	seedFlag     = flag.Uint64("seed", 1, "seed of the first run of the tests of singleton tasks; 0 for one from the clock")
)

// pausesPerCheck is the number of pauses after which all reports must be up to date.
const pausesPerCheck = 5

// chooseSeed returns the seed from the flag, or one from the clock.
func chooseSeed(t *testing.T) uint64 {
	seed := *seedFlag
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", seed)
	return seed
}

// TestPausedHoldersDoNotActTwice pauses the lease holder repeatedly: for less than the term of the lease, about the term, and so long
// that another node takes over, sometimes in the middle of a call. A holder that resumes must not make calls on an expired lease.
func TestPausedHoldersDoNotActTwice(t *testing.T) {
	t.Parallel()
	r := rand.New(rand.NewPCG(chooseSeed(t), 11))
	d := newTaskFleet(t, 3+r.IntN(3), taskTestTerm)
	longest := time.Duration(0)
	for i := range *holderPauses {
		longest = max(longest, d.pauseHolder(r))
		if i%pausesPerCheck == pausesPerCheck-1 {
			d.awaitReports()
		}
		if t.Failed() {
			return
		}
	}
	d.awaitReports()
	t.Logf("%d pauses of %d nodes; usage reports resumed after %v at most", *holderPauses, d.n, longest)
	d.checkPlatformCalls()
}

// cutAfterPause is how long a resumed node may be partitioned from the others: long enough for another node to take over.
const cutAfterPause = 2 * time.Second

// holderPause is one pause of the holder.
type holderPause struct {
	length time.Duration
	inCall bool // while the platform holds a call
	cutOff bool // when it resumes it cannot reach the other nodes, and has a call to retry
}

// pauseHolder pauses the holder once and waits until usage reports resume and all nodes are members. It returns how long usage reports
// took to resume after the pause.
func (d *taskFleet) pauseHolder(r *rand.Rand) time.Duration {
	d.t.Helper()
	pause := drawPause(r, d.term)
	if pause.inCall {
		d.platform.SetDutyFault(cloudapi.DutyFault{Kind: cloudapi.DutySilent})
		d.awaitCalls("the platform holds a call", d.resumeLimit(), func(_ []cloudapi.DutyCall, held int) bool { return held > 0 })
	}
	holder := d.holder()
	began := time.Now()
	d.nodes[holder].freeze(d.t)
	d.waitThroughPause(r, pause)
	if pause.cutOff {
		d.partition(holder)
	}
	d.nodes[holder].resume()
	if pause.cutOff {
		time.Sleep(cutAfterPause)
		d.heal(true)
	}
	d.platform.SetDutyFault(cloudapi.DutyFault{})
	ended := time.Now()
	took := d.awaitUsage("after a pause", ended, d.resumeLimit())
	d.within(catchUp+busyMargin, "all nodes are members", d.allMembers)
	d.t.Logf("node %d paused at %v, %+v; usage reports resumed after %v", holder, began.Format(timeWithMillis), pause, took)
	return took
}

// waitThroughPause waits until the pause is over. Calls that the platform holds are resolved meanwhile.
func (d *taskFleet) waitThroughPause(r *rand.Rand, pause holderPause) {
	held := time.Duration(0)
	if pause.inCall {
		held = time.Duration(r.Int64N(int64(pause.length)))
		time.Sleep(held)
		fault := drawHeldFault(r)
		if pause.cutOff {
			fault = cloudapi.DutyFault{Kind: cloudapi.DutyBusy}
		}
		d.platform.SetDutyFault(fault)
	}
	time.Sleep(pause.length - held)
}

// drawPause chooses a random pause: shorter than a term, about a term, or up to 4 terms longer.
func drawPause(r *rand.Rand, term time.Duration) holderPause {
	pause := holderPause{inCall: r.IntN(5) < 2}
	pause.cutOff = pause.inCall && r.IntN(2) == 0
	share := 0.2 + 0.7*r.Float64()
	switch kind := r.IntN(3); {
	case kind == 0 || pause.cutOff:
		share = 1.1 + 4*r.Float64()
	case kind == 1:
		share = 0.9 + 0.2*r.Float64()
	}
	pause.length = time.Duration(share * float64(term))
	return pause
}

// drawHeldFault chooses what happens to calls that the platform has held: they are decided, late or not, or rejected, or lost.
func drawHeldFault(r *rand.Rand) cloudapi.DutyFault {
	switch r.IntN(5) {
	case 0:
		return cloudapi.DutyFault{Kind: cloudapi.DutySlow, Delay: time.Duration(r.Int64N(int64(2 * time.Second))), DecidedFirst: r.IntN(2) == 0}
	case 1:
		return cloudapi.DutyFault{Kind: cloudapi.DutyLostAnswers}
	case 2:
		return cloudapi.DutyFault{Kind: cloudapi.DutyReset}
	case 3:
		return cloudapi.DutyFault{Kind: cloudapi.DutyDown}
	}
	return cloudapi.DutyFault{}
}
