package controlnode

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/internal/standin/cloudapi"
)

var (
	holderPauses = flag.Int("pauses", 10, "pauses of the holder of the duties")
	dutySeed     = flag.Uint64("seed", 0, "seed of the first run of the tests of duties; 0 for one by the time")
)

// pausesPerCheck is after how many pauses the reports have to be up to date again.
const pausesPerCheck = 5

// drawDutySeed returns the seed that the flag names, or one by the time.
func drawDutySeed(t *testing.T) uint64 {
	seed := *dutySeed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	t.Logf("seed %d", seed)
	return seed
}

// TestPausedHoldersDoNotActTwice pauses the holder of the duties again and again, for less than the term of the lease, about
// the term, and so long that another node takes over; now and then in the middle of a call.
func TestPausedHoldersDoNotActTwice(t *testing.T) {
	t.Parallel()
	r := rand.New(rand.NewPCG(drawDutySeed(t), 11))
	d := newDutyFleet(t, 3+r.IntN(3), dutyTerm)
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
	t.Logf("%d pauses of %d nodes; usage went on after %v at most", *holderPauses, d.n, longest)
	d.checkDuties()
}

// pauseHolder pauses the holder once and waits until usage goes on and all nodes are members. It returns how long usage took to go
// on after the pause.
func (d *dutyFleet) pauseHolder(r *rand.Rand) time.Duration {
	d.t.Helper()
	length, inCall := drawPause(r, d.term), r.IntN(3) == 0
	if inCall {
		d.platform.SetDutyFault(cloudapi.DutyFault{Kind: cloudapi.DutySilent})
		d.awaitCalls("the platform holds a call", d.resumeLimit(), func(_ []cloudapi.DutyCall, held int) bool { return held > 0 })
	}
	holder := d.holder()
	began := time.Now()
	d.nodes[holder].freeze(d.t)
	after := time.Duration(0)
	if inCall {
		after = time.Duration(r.Int64N(int64(length)))
		time.Sleep(after)
		d.platform.SetDutyFault(drawHeldFault(r))
	}
	time.Sleep(length - after)
	d.nodes[holder].wake()
	woke := time.Now()
	d.platform.SetDutyFault(cloudapi.DutyFault{})
	took := d.awaitUsage("after a pause", woke, d.resumeLimit())
	d.within(catchUp+busyMargin, "all nodes are members", d.allMembers)
	d.t.Logf("node %d paused at %v for %v, in a call %v; usage goes on after %v", holder, began.Format(time.TimeOnly), length, inCall, took)
	return took
}

// drawPause draws the length of a pause: shorter than a term, about a term, or up to 4 terms longer.
func drawPause(r *rand.Rand, term time.Duration) time.Duration {
	share := 0.2 + 0.7*r.Float64()
	switch r.IntN(3) {
	case 0:
		share = 0.9 + 0.2*r.Float64()
	case 1:
		share = 1.1 + 4*r.Float64()
	}
	return time.Duration(share * float64(term))
}

// drawHeldFault draws what becomes of calls that the platform has held: they are decided, late or not, or rejected, or lost.
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
