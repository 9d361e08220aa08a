package controlnode

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/internal/standin/cloudapi"
)

var (
	holderPauses = flag.Int("pauses", 8, "pauses of the holder of the duties")
	dutySeed     = flag.Uint64("seed", 1, "seed of the first run of the tests of duties; 0 for one by the time")
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

// cutAfterPause is for how long a node that wakes hears nothing of the others at times: long enough for another one to act.
const cutAfterPause = 2 * time.Second

// holderPause is one pause of the holder.
type holderPause struct {
	length time.Duration
	inCall bool // while the platform holds a call
	cutOff bool // when it wakes it does not reach the other nodes, and has a call to repeat
}

// pauseHolder pauses the holder once and waits until usage goes on and all nodes are members. It returns how long usage took to go
// on after the pause.
func (d *dutyFleet) pauseHolder(r *rand.Rand) time.Duration {
	d.t.Helper()
	pause := drawPause(r, d.term)
	if pause.inCall {
		d.platform.SetDutyFault(cloudapi.DutyFault{Kind: cloudapi.DutySilent})
		d.awaitCalls("the platform holds a call", d.resumeLimit(), func(_ []cloudapi.DutyCall, held int) bool { return held > 0 })
	}
	holder := d.holder()
	began := time.Now()
	d.nodes[holder].freeze(d.t)
	d.passPause(r, pause)
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
	d.t.Logf("node %d paused at %v, %+v; usage goes on after %v", holder, began.Format(timeWithMillis), pause, took)
	return took
}

// passPause waits until the pause is over. Calls that the platform holds are carried out meanwhile.
func (d *dutyFleet) passPause(r *rand.Rand, pause holderPause) {
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

// drawPause draws a pause: shorter than a term, about a term, or up to 4 terms longer.
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
