package relay

import (
	"context"
	"log/slog"
	"time"

	"larchrouter/internal/relay/discoverypoll"
	"larchrouter/internal/relay/httpcall"
)

// Lines at debug level, from which a day can be counted across a fleet: what was taken on or refused, each attempt
// and its end, each message's end, and each question to discovery. They are off unless the log's level asks for them.

const traceEvery = 500 * time.Millisecond

// debugging tells whether such lines are wanted; it is asked first, so that they cost nothing while they are not.
func debugging() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// traceAttempt notes how one message's attempt ended.
func traceAttempt(c *call, m *message, e httpcall.End, took, wait time.Duration) {
	if debugging() {
		slog.Debug("attempt", "id", m.ID, "class", m.class, "dest", c.host.dest, "host", c.host.id, "with", len(c.members),
			"outcome", outcomeNames[e.Outcome], "took", took.Milliseconds(), "wait", wait.Milliseconds(), "new", e.Dialled)
	}
}

// traceEnd notes how a message ended.
func traceEnd(m *message, status, why string) {
	if debugging() {
		slog.Debug("ended", "id", m.ID, "class", m.class, "dest", m.Dest, "status", status, "why", why, "tries", m.Tries)
	}
}

// traceFleet notes, twice a second, what this relay as a steward holds of routes.
func (r *Relay) traceFleet(now time.Duration) {
	if now < r.tracedAt+traceEvery || !debugging() {
		return
	}
	r.tracedAt = now
	for _, v := range r.chooser.Routes() {
		slog.Debug("steward", "dest", v.Dest, "route", v.Route, "state", v.State, "for", v.InState.Milliseconds(), "rate", v.Rate, "used", v.UsedRate,
			"out", v.InFlight, "asks", v.PendingRequests, "calls", v.PendingCalls, "share", v.Share)
	}
}

// traceAsked notes an answer of discovery, or its absence.
func traceAsked(q discoverypoll.Request, l list, took time.Duration, err error) {
	if debugging() {
		slog.Debug("asked", "full", q.FullList, "since", q.Since, "version", l.Version, "whole", l.Full, "lines", len(l.Servers),
			"took", took.Milliseconds(), "err", err)
	}
}
