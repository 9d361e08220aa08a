package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"larchrouter/internal/ctxtime"
)

const (
	// hedgeDelay is the time beyond the poll's wait after which other core nodes are polled as well.
	hedgeDelay = 300 * time.Millisecond

	// hedgeInterval is the time between the polls of successive core nodes. A follower that knows eight and can reach
	// one finds it 1.4 s after its source was partitioned, within config_apply_ms. Followers that lose the same source
	// fail over to different ones, each to the first in its own order that responds.
	hedgeInterval = 100 * time.Millisecond

	// searchDuration is the time over which a poll spreads its calls to all core nodes if the previous poll had no
	// confirmed response. Calls overlap no more than that requires, because when a partition heals, each call in flight
	// is answered with all changes.
	searchDuration = 1400 * time.Millisecond

	// failbackInterval is the minimum time between two attempts to return to the first core node of the follower's order;
	// a random time of up to the same length is added. Without failback all followers would stay at the core nodes that
	// the last partition left reachable.
	failbackInterval = 8 * time.Second

	// maxPollBackoff bounds the pause after a failed poll. A follower that knows three core nodes then makes three
	// calls a second.
	maxPollBackoff = 1200 * time.Millisecond

	// firstPollBackoffStep is the step of backoff after the first failed poll: 0.2 to 0.4 s.
	firstPollBackoffStep = 3
)

// pollResult is the outcome of one call to a core node.
type pollResult struct {
	core     string
	sent     time.Time // when the call began; a confirmed response has the state of this time or later
	request  *ChangesRequest
	response *ChangesResponse // not nil; empty if err is not nil
	err      error
}

// hedgedPoll polls the source and, if its response is late or not confirmed, the other core nodes at intervals, until the
// first confirmed response.
type hedgedPoll struct {
	follower  *Follower
	remaining []string      // core nodes not polled yet
	interval  time.Duration // between two calls
	inFlight  int
	results   chan pollResult // buffered for all calls, so that none blocks
}

// poll makes one hedged poll, in which the source may delay its response by wait if there is no change. It reports
// whether a response was applied.
func (f *Follower) poll(ctx context.Context, wait time.Duration) bool {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	cores := f.sources.startingAtCurrent()
	f.mu.Unlock()
	poll := &hedgedPoll{follower: f, remaining: cores, interval: pollInterval(wait, len(cores)),
		results: make(chan pollResult, len(cores))}
	hedgeTimer := time.NewTimer(poll.sendFirst(pollCtx, wait))
	defer hedgeTimer.Stop()
	for poll.inFlight+len(poll.remaining) > 0 && ctx.Err() == nil {
		select {
		case result := <-poll.results:
			poll.inFlight--
			if f.acceptResult(ctx, result) {
				return true
			}
			if result.core == cores[0] || poll.inFlight == 0 {
				hedgeTimer.Reset(0)
			}
		case <-hedgeTimer.C:
			poll.sendNext(pollCtx, f.newRequest(0))
			hedgeTimer.Reset(poll.interval)
		}
	}
	return false
}

// pollInterval returns the time between two calls of a poll: hedgeInterval if the source was confirmed until now,
// otherwise long enough to spread the calls over searchDuration, but at most pollGrace.
func pollInterval(wait time.Duration, cores int) time.Duration {
	if wait > 0 {
		return hedgeInterval
	}
	return max(hedgeInterval, min(pollGrace, searchDuration/time.Duration(cores)))
}

// sendFirst polls the source and returns the time after which the next core node is polled.
func (p *hedgedPoll) sendFirst(ctx context.Context, wait time.Duration) time.Duration {
	request := p.follower.newRequest(wait)
	if request.ReceivedIndex == 0 {
		request.WaitMs = 0
	}
	p.sendNext(ctx, request)
	if wait == 0 {
		return p.interval
	}
	return wait + hedgeDelay
}

// sendNext polls the next core node, if one is left.
func (p *hedgedPoll) sendNext(ctx context.Context, request *ChangesRequest) {
	if len(p.remaining) == 0 {
		return
	}
	core := p.remaining[0]
	p.remaining = p.remaining[1:]
	p.inFlight++
	p.follower.wg.Go(func() { p.results <- p.follower.sendPoll(ctx, core, request) })
}

// acceptResult applies the response of a call, if any, and reports whether its core node is now the source.
func (f *Follower) acceptResult(ctx context.Context, result pollResult) bool {
	if result.err != nil {
		f.outages.noteFailure(result.err)
		if ctx.Err() == nil {
			f.log.Debug("poll failed", "node", result.core, "err", result.err)
		}
		return false
	}
	if !f.handleResponse(ctx, result) {
		f.outages.noteFailure(errUnconfirmed)
		return false
	}
	empty := result.response.Index == 0 && len(result.response.Entries) == 0
	if empty && result.request.ReceivedIndex == 0 { // no control state yet: the source responds to such a poll at once
		ctxtime.Sleep(ctx, initialBackoff)
	}
	return true
}

// failback polls the first core node of the follower's order if another one is the source and the time of the next
// failback has come, and returns to it if its response is confirmed.
func (f *Follower) failback(ctx context.Context) {
	f.mu.Lock()
	preferred, failedOver := f.sources.preferred(), f.sources.current() != f.sources.preferred()
	f.mu.Unlock()
	if !failedOver || time.Now().Before(f.nextFailback) {
		return
	}
	f.nextFailback = time.Now().Add(failbackInterval + rand.N(failbackInterval))
	f.acceptResult(ctx, f.sendPoll(ctx, preferred, f.newRequest(0)))
}
