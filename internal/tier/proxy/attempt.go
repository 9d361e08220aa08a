package proxy

import (
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/upstream"
)

// attempt is one call to a host. It owns a slot, which attemptSucceeded, attemptFailed or releaseSlot gives back.
type attempt struct {
	endpoint  *endpoint
	oracle    balancer.Oracle
	startedAt time.Time
	upstream.Result
}

// releaseSlot gives the slot of an attempt back.
func (r *request) releaseSlot(t *attempt, outcome balancer.Outcome) {
	r.server().dispatcher.release(t.endpoint, outcome)
}

// attemptSucceeded ends an attempt whose response is complete.
func (r *request) attemptSucceeded(t *attempt) {
	if t.Response.Status < 400 {
		t.oracle.Served(time.Since(t.startedAt))
	}
	t.Response.Finish()
	r.releaseSlot(t, balancer.Success)
}

// attemptFailed ends an attempt whose call failed or whose response broke off.
func (r *request) attemptFailed(t *attempt, err error) {
	if !errors.Is(err, upstream.ErrCancelled) {
		r.server().note("attempt", r.id, "host", t.endpoint.connections.ID, "route", r.route.Name, "after", time.Since(t.startedAt), "broke", err)
	}
	if t.Response != nil {
		t.Response.Finish()
	}
	switch {
	case errors.Is(err, upstream.ErrCancelled):
		r.releaseSlot(t, balancer.Inconclusive)
	case errors.Is(err, upstream.ErrDeadline):
		t.oracle.Cut()
		if t.ResponseStarted {
			r.releaseSlot(t, balancer.Inconclusive)
		} else {
			r.releaseSlot(t, balancer.TimedOut)
		}
	case t.ConnReused && !t.ResponseStarted: // the network may have dropped the idle connection: no sign of the host's health
		r.releaseSlot(t, balancer.Inconclusive)
	default:
		r.releaseSlot(t, balancer.ResponseBroken)
	}
}
