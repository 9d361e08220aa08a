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
	tookAll   bool // its response took all that it may of the link and the processor, see longResponse
	upstream.Result
}

// releaseSlot gives the slot of an attempt back.
func (r *request) releaseSlot(attempt *attempt, outcome balancer.Outcome) {
	endpoint := attempt.endpoint
	r.server().options.Usage.CallEnded(endpoint.service, endpoint.zone, time.Since(attempt.startedAt))
	r.server().dispatcher.release(endpoint, outcome)
}

// attemptSucceeded ends an attempt whose response is complete.
func (r *request) attemptSucceeded(attempt *attempt) {
	if attempt.Response.Status < 400 {
		attempt.oracle.Served(time.Since(attempt.startedAt))
	}
	attempt.Response.Finish()
	r.releaseSlot(attempt, balancer.Success)
}

// attemptFailed ends an attempt whose call failed or whose response broke off.
func (r *request) attemptFailed(attempt *attempt, err error) {
	if !errors.Is(err, upstream.ErrCancelled) {
		r.server().options.Log.Debug("attempt failed", "attempt", r.id, "host", attempt.endpoint.connections.ID,
			"route", r.route.Name, "after", time.Since(attempt.startedAt), "broke", err)
	}
	noEnd := r.hasNoEnd(attempt)
	if attempt.Response != nil {
		if noEnd {
			err = errors.Mark(err, errNoEnd)
		}
		r.countBound(attempt, err)
		attempt.Response.Finish()
	}
	switch {
	case noEnd:
		r.releaseSlot(attempt, balancer.ResponseBroken)
	case errors.Is(err, upstream.ErrCancelled):
		r.releaseSlot(attempt, balancer.Inconclusive)
	case errors.Is(err, upstream.ErrDeadline):
		attempt.oracle.Cut()
		if attempt.ResponseStarted {
			r.releaseSlot(attempt, balancer.Inconclusive)
		} else {
			r.releaseSlot(attempt, balancer.TimedOut)
		}
	case attempt.ConnReused && !attempt.ResponseStarted:
		// The network may have dropped the idle connection: no sign of the host's health.
		r.releaseSlot(attempt, balancer.Inconclusive)
	default:
		r.releaseSlot(attempt, balancer.ResponseBroken)
	}
}
