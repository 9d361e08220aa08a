package main

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/turnstore"
)

const (
	defaultGracePeriod  = 8 * time.Second        // between SIGTERM and SIGKILL, if the settings do not say
	closeTime           = time.Second            // kept for closing the store
	stopRequestTimeout  = 400 * time.Millisecond // of one request to the core
	stopRequestInterval = 50 * time.Millisecond
	joinTimeout         = time.Second            // in which a store that reaches the core receives a placement
	stopLinger          = 300 * time.Millisecond // after which all fronts know the placement without the store
)

// stopTimeout returns how long a store that was told to stop waits for the permission, given its grace period.
func stopTimeout(gracePeriod time.Duration) time.Duration {
	return max(gracePeriod/2, gracePeriod-closeTime)
}

// placementSource is what a leaver needs of the store's follower.
type placementSource interface {
	Placement() *turnstore.Placement
	Core() string
}

// leaver is what a store does that was told to stop: it goes on serving until the head permits it to stop. By then the placement
// does without its replicas, or can spare them until it has started again.
type leaver struct {
	core     placementSource
	calls    *rpc.Clients
	id       string // of the store
	log      *slog.Logger
	unplaced func() // called once the store is not in the placement and must not register any more
}

// awaitPermission returns a channel that is closed once the store may stop after it was told to: when the head permits it, after a
// timeout, or when the context ends.
func (l *leaver) awaitPermission(ctx context.Context, toldToStop <-chan struct{}, timeout time.Duration) <-chan struct{} {
	permitted := make(chan struct{})
	go func() {
		defer close(permitted)
		select {
		case <-toldToStop:
			waiting, stop := context.WithTimeout(ctx, timeout)
			defer stop()
			l.leave(waiting)
		case <-ctx.Done():
		}
	}()
	return permitted
}

// leave asks the head until the store may stop, or until the context ends.
func (l *leaver) leave(ctx context.Context) {
	began := time.Now()
	var response feed.StopStoreResponse
	for l.isKnown(began) {
		response = l.request(ctx)
		if response.MayStop || !ctxtime.Sleep(ctx, stopRequestInterval) {
			break
		}
	}
	l.log.Info("stopping", "permitted", response.MayStop, "placed", response.Placed, "waited", time.Since(began))
	if response.MayStop && !response.Placed {
		l.unplaced()
		ctxtime.Sleep(ctx, stopLinger)
	}
}

// isKnown reports whether the core may know the store. One that has received no placement for joinTimeout has not reached the core.
func (l *leaver) isKnown(began time.Time) bool {
	return l.core.Placement() != nil || time.Since(began) < joinTimeout
}

// request asks the core once. A core of an earlier version has no say in it.
func (l *leaver) request(ctx context.Context) (response feed.StopStoreResponse) {
	ctx, stop := context.WithTimeout(ctx, stopRequestTimeout)
	defer stop()
	err := l.calls.To(l.core.Core()).Call(ctx, feed.StopStoreCall, &feed.StopStoreRequest{ID: l.id}, &response)
	if errors.Is(err, rpc.ErrUnknownMethod) {
		return feed.StopStoreResponse{MayStop: true, Placed: true}
	}
	return response
}
