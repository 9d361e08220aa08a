package relay

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/drain"
)

const maxRequesterBytes = 100 // bytes of who asked

// command makes a change on the loop, and turns errors of package drain into errors of the admin API.
func command[T any](ctx context.Context, r *Relay, run func() (T, error)) (T, error) {
	type outcome struct {
		got T
		err error
	}
	result, asked := onLoop(ctx, r, func() (result outcome) {
		result.got, result.err = run()
		r.standalone.view.Store(nil)
		return result
	})
	err := result.err
	switch {
	case asked != nil:
		return result.got, asked
	case err == nil:
		return result.got, nil
	case errors.As(err, new(*adminapi.Error)):
		return result.got, err
	case errors.Is(err, drain.ErrUnknownTarget):
		return result.got, adminapi.Errorf(adminapi.NotFound, "%v", err)
	case errors.Is(err, drain.ErrLastEndpoint), errors.Is(err, drain.ErrStopping), errors.Is(err, drain.ErrTooMany):
		return result.got, adminapi.Errorf(adminapi.Conflict, "%v", err)
	case errors.Is(err, drain.ErrInvalidTimeout):
		return result.got, adminapi.Errorf(adminapi.Invalid, "%v", err)
	}
	return result.got, adminapi.Errorf(adminapi.Failed, "not recorded, so nothing was changed: %v", err)
}

// parseTarget returns the target of a drain request.
func parseTarget(q adminapi.DrainRequest) (drain.Target, error) {
	t, err := drain.ParseTarget(q.Target)
	if err != nil {
		return t, adminapi.Errorf(adminapi.Invalid, "%v", err)
	}
	if len(q.By) > maxRequesterBytes {
		return t, adminapi.Errorf(adminapi.Invalid, "by has %d bytes, %d at most", len(q.By), maxRequesterBytes)
	}
	return t, nil
}

// drainEffect describes what a change of a target means now, on the loop.
func (r *Relay) drainEffect(target drain.Target) adminapi.DrainAnswer {
	drains := r.standalone.drains
	answer := adminapi.DrainAnswer{Target: target.String(), Closes: drains.WouldClose(target), GraceMs: drain.Grace.Milliseconds()}
	if target.Scope == drain.Relay {
		answer.Waiting, answer.Out = len(r.pending)-r.callsInFlight, r.callsInFlight
		answer.Waiting = max(0, answer.Waiting)
		if phase, until := drains.Phase(); phase != drain.Serving {
			answer.UntilMs = until.UnixMilli()
		}
		return answer
	}
	answer.Last = target.Scope == drain.Endpoint && drains.IsLastOpen(target.Name)
	views := r.chooser.Views()
	for _, partner := range r.standalone.directory.Load().all {
		for _, endpoint := range partner.Endpoints {
			if target.Scope == drain.Partner && partner.Name != target.Name ||
				target.Scope == drain.Endpoint && endpoint.ID != target.Name {
				continue
			}
			answer.Waiting = views[partner.Number].Waiting
			for _, hostView := range views[partner.Number].Hosts {
				if hostView.Addr == endpoint.ID {
					answer.Out += hostView.Out
					answer.Unhealthy = answer.Unhealthy || hostView.Health != "healthy"
				}
			}
		}
	}
	return answer
}

// Drain implements adminapi.Backend. When it returns, the drain is recorded and the endpoints are closed.
func (r *Relay) Drain(ctx context.Context, request adminapi.DrainRequest) (adminapi.DrainAnswer, error) {
	target, err := parseTarget(request)
	if err != nil {
		return adminapi.DrainAnswer{}, err
	}
	within := time.Duration(request.WithinMs) * time.Millisecond
	return command(ctx, r, func() (adminapi.DrainAnswer, error) {
		if request.Fleet {
			return r.drainFleet(target, request, true)
		}
		answer, drains := r.drainEffect(target), r.standalone.drains
		before := drains.Snapshot()
		var change drain.Change
		var err error
		if request.DryRun {
			_, err = drains.Drain(target, request.By, within, true, time.Now())
		} else {
			change, err = r.applyDrainChange(func() (drain.Change, error) {
				return drains.Drain(target, request.By, within, request.AllowLast, time.Now())
			})
		}
		answer.Result = string(change.Result)
		if _, until := drains.Phase(); target.Scope == drain.Relay && !until.IsZero() {
			answer.UntilMs = until.UnixMilli()
		}
		if request.DryRun {
			drains.Revert(before)
		}
		return answer, err
	})
}

// Undrain implements adminapi.Backend.
func (r *Relay) Undrain(ctx context.Context, request adminapi.DrainRequest) (adminapi.DrainAnswer, error) {
	target, err := parseTarget(request)
	if err != nil {
		return adminapi.DrainAnswer{}, err
	}
	return command(ctx, r, func() (adminapi.DrainAnswer, error) {
		if request.Fleet {
			return r.drainFleet(target, request, false)
		}
		answer, drains := r.drainEffect(target), r.standalone.drains
		answer.UntilMs = 0
		if request.DryRun {
			before := drains.Snapshot()
			_, err := drains.Undrain(target, time.Now())
			drains.Revert(before)
			return answer, err
		}
		change, err := r.applyDrainChange(func() (drain.Change, error) { return drains.Undrain(target, time.Now()) })
		answer.Result = string(change.Result)
		return answer, err
	})
}

// Stop implements adminapi.Backend. It returns once the stop has begun; the relay ends by itself.
func (r *Relay) Stop(ctx context.Context, request adminapi.StopRequest) (adminapi.StopAnswer, error) {
	within := time.Duration(request.WithinMs) * time.Millisecond
	if within == 0 {
		within = r.standalone.StopTimeout
	}
	return command(ctx, r, func() (answer adminapi.StopAnswer, err error) {
		drains := r.standalone.drains
		before := drains.Snapshot()
		change, err := drains.Stop(within, time.Now())
		_, at := drains.Phase()
		answer.UntilMs, answer.Left = at.UnixMilli(), *r.remainingMessages()
		if request.DryRun {
			drains.Revert(before)
			return answer, err
		}
		if answer.Result = string(change.Result); change.Result == drain.ResultStopping {
			slog.Info("stopping", "by", request.By, "until", at, "held", answer.Left.Messages)
			go r.awaitStop(at)
		}
		return answer, err
	})
}
