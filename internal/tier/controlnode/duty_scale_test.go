package controlnode

import (
	"io"
	"testing"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/tier/duty"
	"larchrouter/internal/tier/scaling"
)

var scaleTestSubject = scaling.Subject{Service: "s", Zone: "a"}

// newTestScaleDuty returns a duty of a holder that has just begun.
func newTestScaleDuty() *scaleDuty {
	d := newScaleDuty(&dutyRunner{server: &Server{log: process.NewLogger(io.Discard)}})
	d.begin()
	return d
}

// Failure: an order without a clear answer is taken as not made, though the platform may have applied it.
func TestOrderIsRepeatedUnlessAccepted(t *testing.T) {
	for outcome, repeated := range map[duty.Outcome]bool{
		duty.Accepted: false, duty.NotSent: false, duty.Busy: true, duty.Unknown: true, duty.Refused: true, duty.Invalid: true,
	} {
		d := newTestScaleDuty()
		demand := scaling.Demand{Min: 4, Max: 9, Hosts: 3, Slots: 1}
		d.planner.Plan(0, scaleTestSubject, demand)
		d.noteOutcome(scaleTestSubject, 4, duty.Accepted)
		d.noteOutcome(scaleTestSubject, 5, outcome)
		if hosts, got := d.planner.Plan(time.Second, scaleTestSubject, demand); got != repeated {
			t.Errorf("%s: planned %d, %v, want an order: %v", outcome, hosts, got, repeated)
		}
	}
}
