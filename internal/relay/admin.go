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
func command[T any](ctx context.Context, r *Relay, f func() (T, error)) (T, error) {
	type outcome struct {
		got T
		err error
	}
	o, asked := onLoop(ctx, r, func() (o outcome) {
		o.got, o.err = f()
		r.standalone.view.Store(nil)
		return o
	})
	err := o.err
	switch {
	case asked != nil:
		return o.got, asked
	case err == nil:
		return o.got, nil
	case errors.As(err, new(*adminapi.Error)):
		return o.got, err
	case errors.Is(err, drain.ErrUnknownTarget):
		return o.got, adminapi.Errorf(adminapi.NotFound, "%v", err)
	case errors.Is(err, drain.ErrLastEndpoint), errors.Is(err, drain.ErrStopping), errors.Is(err, drain.ErrTooMany):
		return o.got, adminapi.Errorf(adminapi.Conflict, "%v", err)
	case errors.Is(err, drain.ErrInvalidTimeout):
		return o.got, adminapi.Errorf(adminapi.Invalid, "%v", err)
	}
	return o.got, adminapi.Errorf(adminapi.Failed, "not recorded, so nothing was changed: %v", err)
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
func (r *Relay) drainEffect(t drain.Target) adminapi.DrainAnswer {
	b := r.standalone.drains
	a := adminapi.DrainAnswer{Target: t.String(), Closes: b.WouldClose(t), GraceMs: drain.Grace.Milliseconds()}
	if t.Scope == drain.Relay {
		a.Waiting, a.Out = len(r.pending)-r.callsInFlight, r.callsInFlight
		a.Waiting = max(0, a.Waiting)
		if phase, until := b.Phase(); phase != drain.Serving {
			a.UntilMs = until.UnixMilli()
		}
		return a
	}
	a.Last = t.Scope == drain.Endpoint && b.IsLastOpen(t.Name)
	views := r.chooser.Views()
	for _, p := range r.standalone.directory.Load().all {
		for _, e := range p.Endpoints {
			if t.Scope == drain.Partner && p.Name != t.Name || t.Scope == drain.Endpoint && e.ID != t.Name {
				continue
			}
			a.Waiting = views[p.Number].Waiting
			for _, h := range views[p.Number].Hosts {
				if h.Addr == e.ID {
					a.Out += h.Out
					a.Unhealthy = a.Unhealthy || h.Health != "healthy"
				}
			}
		}
	}
	return a
}

// Drain implements adminapi.Backend. When it returns, the drain is recorded and the endpoints are closed.
func (r *Relay) Drain(ctx context.Context, q adminapi.DrainRequest) (adminapi.DrainAnswer, error) {
	t, err := parseTarget(q)
	if err != nil {
		return adminapi.DrainAnswer{}, err
	}
	within := time.Duration(q.WithinMs) * time.Millisecond
	return command(ctx, r, func() (adminapi.DrainAnswer, error) {
		if q.Fleet {
			return r.drainFleet(t, q, true)
		}
		a, b := r.drainEffect(t), r.standalone.drains
		before := b.Snapshot()
		var c drain.Change
		var err error
		if q.DryRun {
			_, err = b.Drain(t, q.By, within, true, time.Now())
		} else {
			c, err = r.applyDrainChange(func() (drain.Change, error) { return b.Drain(t, q.By, within, q.AllowLast, time.Now()) })
		}
		a.Result = string(c.Result)
		if _, until := b.Phase(); t.Scope == drain.Relay && !until.IsZero() {
			a.UntilMs = until.UnixMilli()
		}
		if q.DryRun {
			b.Revert(before)
		}
		return a, err
	})
}

// Undrain implements adminapi.Backend.
func (r *Relay) Undrain(ctx context.Context, q adminapi.DrainRequest) (adminapi.DrainAnswer, error) {
	t, err := parseTarget(q)
	if err != nil {
		return adminapi.DrainAnswer{}, err
	}
	return command(ctx, r, func() (adminapi.DrainAnswer, error) {
		if q.Fleet {
			return r.drainFleet(t, q, false)
		}
		a, b := r.drainEffect(t), r.standalone.drains
		a.UntilMs = 0
		if q.DryRun {
			before := b.Snapshot()
			_, err := b.Undrain(t, time.Now())
			b.Revert(before)
			return a, err
		}
		c, err := r.applyDrainChange(func() (drain.Change, error) { return b.Undrain(t, time.Now()) })
		a.Result = string(c.Result)
		return a, err
	})
}

// Stop implements adminapi.Backend. It returns once the stop has begun; the relay ends by itself.
func (r *Relay) Stop(ctx context.Context, q adminapi.StopRequest) (adminapi.StopAnswer, error) {
	within := time.Duration(q.WithinMs) * time.Millisecond
	if within == 0 {
		within = r.standalone.StopTimeout
	}
	return command(ctx, r, func() (a adminapi.StopAnswer, err error) {
		b := r.standalone.drains
		before := b.Snapshot()
		c, err := b.Stop(within, time.Now())
		_, at := b.Phase()
		a.UntilMs, a.Left = at.UnixMilli(), *r.remainingMessages()
		if q.DryRun {
			b.Revert(before)
			return a, err
		}
		if a.Result = string(c.Result); c.Result == drain.ResultStopping {
			slog.Info("stopping", "by", q.By, "until", at, "held", a.Left.Messages)
			go r.awaitStop(at)
		}
		return a, err
	})
}
