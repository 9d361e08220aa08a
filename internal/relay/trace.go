package relay

import (
	"context"
	"log/slog"
	"time"

	"larchrouter/internal/relay/discoverypoll"
	"larchrouter/internal/relay/httpcall"
)

const traceInterval = 500 * time.Millisecond

// debugEnabled reports whether debug lines are logged. It is checked first, so that they cost nothing otherwise.
func debugEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// traceAttempt logs the outcome of one message's attempt.
func traceAttempt(c *call, m *message, e httpcall.End, took, wait time.Duration) {
	if debugEnabled() {
		slog.Debug("attempt", "id", m.ID, "class", m.class, "dest", c.host.dest, "host", c.host.id, "with", len(c.members),
			"outcome", outcomeNames[e.Outcome], "took", took.Milliseconds(), "wait", wait.Milliseconds(), "new", e.Dialled)
	}
}

// traceEnd logs how a message ended.
func traceEnd(m *message, status, why string) {
	if debugEnabled() {
		slog.Debug("ended", "id", m.ID, "class", m.class, "dest", m.Dest, "status", status, "why", why, "tries", m.Tries)
	}
}

// traceFleet logs, twice a second, the state of the routes that this relay coordinates.
func (r *Relay) traceFleet(now time.Duration) {
	if now < r.tracedAt+traceInterval || !debugEnabled() {
		return
	}
	r.tracedAt = now
	for _, v := range r.chooser.Routes() {
		slog.Debug("steward", "dest", v.Dest, "route", v.Route, "state", v.State,
			"for", v.InState.Milliseconds(), "rate", v.Rate, "used", v.UsedRate,
			"out", v.InFlight, "asks", v.PendingRequests, "calls", v.PendingCalls, "share", v.Share)
	}
}

// traceDiscovery logs an answer of discovery, or its error.
func traceDiscovery(q discoverypoll.Request, l hostList, took time.Duration, err error) {
	if debugEnabled() {
		slog.Debug("asked", "full", q.FullList, "since", q.Since, "version", l.Version, "whole", l.Full, "lines", len(l.Servers),
			"took", took.Milliseconds(), "err", err)
	}
}
