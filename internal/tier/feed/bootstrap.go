package feed

import (
	"context"
	"time"

	"larchrouter/internal/ctxtime"
)

// initialPollWait is how long a core node may delay its response to a follower's first poll until a majority confirms it.
const initialPollWait = time.Second

// bootstrap polls all core nodes concurrently, with backoff, until one response is applied. When all machines have just
// started, some core nodes don't listen yet, and polling them in turn would cost half a second each.
func (f *Follower) bootstrap(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if f.pollAllSources(ctx) {
			f.outages.noteUsable(time.Now())
			return
		}
		f.outages.noteUnusable(time.Now(), f.knownCores())
		ctxtime.Sleep(ctx, backoff(attempt, maxBackoff))
	}
}

// pollAllSources polls all known core nodes concurrently and reports whether a response was applied. It applies the first
// confirmed response that is not empty and cancels the other polls.
func (f *Follower) pollAllSources(ctx context.Context) (applied bool) {
	cores := f.knownCores()
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan pollResult, len(cores))
	request := f.newRequest(initialPollWait)
	for _, core := range cores {
		go func() { results <- f.sendPoll(pollCtx, core, request) }()
	}
	for range cores {
		result := <-results
		switch {
		case result.err != nil:
			f.outages.noteFailure(result.err)
		case !applied && (result.response.Index > 0 || len(result.response.Hosts) > 0) && f.handleResponse(ctx, result):
			applied = true
			cancel()
		default:
			f.outages.noteFailure(errUnconfirmed)
			f.addSources(result.response.CoreAddrs)
		}
	}
	return applied
}
