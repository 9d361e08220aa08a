package feed

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// lateAfter is how long after the time that a poll rests its answer may come before other core nodes are asked as well.
	hedgeDelay = 300 * time.Millisecond

	// askApart is the time between the calls to one core node and the next. A follower that knows eight and can reach one
	// finds it 1.4 s after its source was cut off, within config_apply_ms; and those that lose one source together go to
	// different ones, each to the first of its own order that answers.
	hedgeInterval = 100 * time.Millisecond

	// searchTime is how long a round takes to ask all core nodes where none could be relied on in the one before. Calls
	// overlap only as far as it demands: where links are joined again, each call under way is answered with all that is new.
	searchDuration = 1400 * time.Millisecond

	// homeWait is the time between two tries to return to the first core node of the follower's own order, at least and with chance
	// up to twice that. Without it all followers stay where the last cut drove them.
	failbackInterval = 8 * time.Second

	// roundMost bounds the pause after a round that failed: a follower that knows three core nodes makes three calls a second.
	maxPollBackoff = 1200 * time.Millisecond

	// firstRetry is the step of backoff after the first round that failed: 0.2 to 0.4 s.
	firstPollBackoffStep = 3
)

// received is how a call to a core node ended.
type pollResult struct {
	core     string
	sent     time.Time
	request  *ChangesRequest
	response *ChangesResponse
	err      error
}

// round asks the core node that is followed and, where that is late or cannot be relied on, the others beside it, one
// after the other, until the first answer that may be relied on.
type hedgedPoll struct {
	follower  *Follower
	remaining []string // to be asked
	interval  time.Duration
	inFlight  int
	results   chan pollResult
}

// poll makes one round, in which the source that is followed may wait for news, and tells whether one was relied on.
func (f *Follower) poll(ctx context.Context, wait time.Duration) bool {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	cores := f.sources.fromCurrentOn()
	f.mu.Unlock()
	poll := &hedgedPoll{follower: f, remaining: cores, interval: pollInterval(wait, len(cores)), results: make(chan pollResult, len(cores))}
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

// apart is the time between two calls of a round: short where the source that was relied on until now is lost.
func pollInterval(wait time.Duration, cores int) time.Duration {
	if wait > 0 {
		return hedgeInterval
	}
	return max(hedgeInterval, min(pollGrace, searchDuration/time.Duration(cores)))
}

// first asks the source that is followed, and gives after what time it is late.
func (r *hedgedPoll) sendFirst(ctx context.Context, wait time.Duration) time.Duration {
	request := r.follower.newRequest(wait)
	if request.ReceivedIndex == 0 {
		request.WaitMs = 0
	}
	r.sendNext(ctx, request)
	if wait == 0 {
		return r.interval
	}
	return wait + hedgeDelay
}

// ask asks the next core node, if there is one.
func (r *hedgedPoll) sendNext(ctx context.Context, request *ChangesRequest) {
	if len(r.remaining) == 0 {
		return
	}
	core := r.remaining[0]
	r.remaining = r.remaining[1:]
	r.inFlight++
	r.follower.wg.Go(func() {
		response, sent, err := r.follower.sendPoll(ctx, core, request)
		r.results <- pollResult{core, sent, request, response, err}
	})
}

// relies takes an answer in and tells whether its source may be relied on.
func (f *Follower) acceptResult(ctx context.Context, result pollResult) bool {
	if result.err != nil {
		if ctx.Err() == nil {
			_ = f.log.Log("msg", "core node does not answer", "core", result.core, "err", result.err)
		}
		return false
	}
	if !f.handleResponse(ctx, result.core, result.sent, result.request, result.response) {
		return false
	}
	if result.request.ReceivedIndex == 0 && result.response.Index == 0 && len(result.response.Entries) == 0 { // nothing is there yet
		sleep(ctx, initialBackoff)
	}
	return true
}

// goHome tries now and then to return to the first core node of the follower's own order.
func (f *Follower) failback(ctx context.Context) {
	f.mu.Lock()
	preferred, elsewhere := f.sources.preferred(), f.sources.current() != f.sources.preferred()
	f.mu.Unlock()
	if !elsewhere || time.Now().Before(f.nextFailback) {
		return
	}
	f.nextFailback = time.Now().Add(failbackInterval + rand.N(failbackInterval))
	request := f.newRequest(0)
	response, sent, err := f.sendPoll(ctx, preferred, request)
	f.acceptResult(ctx, pollResult{preferred, sent, request, response, err})
}
