package feed

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// lateAfter is how long after the time that a poll rests its answer may come before other core nodes are asked as well.
	lateAfter = 300 * time.Millisecond

	// askApart is the time between the calls to one core node and the next. A follower that knows eight and can reach one
	// finds it 1.4 s after its source was cut off, within config_apply_ms; and those that lose one source together go to
	// different ones, each to the first of its own order that answers.
	askApart = 100 * time.Millisecond

	// searchTime is how long a round takes to ask all core nodes where none could be relied on in the one before. Calls
	// overlap only as far as it demands: where links are joined again, each call under way is answered with all that is new.
	searchTime = 1400 * time.Millisecond

	// homeWait is the time between two tries to return to the first core node of the follower's own order, at least and with chance
	// up to twice that. Without it all followers stay where the last cut drove them.
	homeWait = 8 * time.Second

	// roundMost bounds the pause after a round that failed: a follower that knows three core nodes makes three calls a second.
	roundMost = 1200 * time.Millisecond

	// firstRetry is the step of backoff after the first round that failed: 0.2 to 0.4 s.
	firstRetry = 3
)

// received is how a call to a core node ended.
type received struct {
	core    string
	sent    time.Time
	request *ChangesRequest
	answer  *ChangesResponse
	err     error
}

// round asks the core node that is followed and, where that is late or cannot be relied on, the others beside it, one
// after the other, until the first answer that may be relied on.
type round struct {
	follower *Follower
	rest     []string // to be asked
	apart    time.Duration
	underWay int
	ended    chan received
}

// poll makes one round, in which the source that is followed may wait for news, and tells whether one was relied on.
func (f *Follower) poll(ctx context.Context, wait time.Duration) bool {
	calls, done := context.WithCancel(ctx)
	defer done()
	f.mu.Lock()
	cores := f.sources.fromCurrent()
	f.mu.Unlock()
	r := &round{follower: f, rest: cores, apart: apart(wait, len(cores)), ended: make(chan received, len(cores))}
	late := time.NewTimer(r.first(calls, wait))
	defer late.Stop()
	for r.underWay+len(r.rest) > 0 && ctx.Err() == nil {
		select {
		case one := <-r.ended:
			r.underWay--
			if f.relies(ctx, one) {
				return true
			}
			if one.core == cores[0] || r.underWay == 0 {
				late.Reset(0)
			}
		case <-late.C:
			r.ask(calls, f.request(0))
			late.Reset(r.apart)
		}
	}
	return false
}

// apart is the time between two calls of a round: short where the source that was relied on until now is lost.
func apart(wait time.Duration, cores int) time.Duration {
	if wait > 0 {
		return askApart
	}
	return max(askApart, min(pollGrace, searchTime/time.Duration(cores)))
}

// first asks the source that is followed, and gives after what time it is late.
func (r *round) first(ctx context.Context, wait time.Duration) time.Duration {
	q := r.follower.request(wait)
	if q.ReceivedIndex == 0 {
		q.WaitMs = 0
	}
	r.ask(ctx, q)
	if wait == 0 {
		return r.apart
	}
	return wait + lateAfter
}

// ask asks the next core node, if there is one.
func (r *round) ask(ctx context.Context, q *ChangesRequest) {
	if len(r.rest) == 0 {
		return
	}
	core := r.rest[0]
	r.rest = r.rest[1:]
	r.underWay++
	r.follower.wg.Go(func() {
		a, sent, err := r.follower.ask(ctx, core, q)
		r.ended <- received{core, sent, q, a, err}
	})
}

// relies takes an answer in and tells whether its source may be relied on.
func (f *Follower) relies(ctx context.Context, one received) bool {
	if one.err != nil {
		if ctx.Err() == nil {
			f.log.Debug("core node does not answer", "node", one.core, "err", one.err)
		}
		return false
	}
	if !f.accept(ctx, one.core, one.sent, one.request, one.answer) {
		return false
	}
	if one.request.ReceivedIndex == 0 && one.answer.Index == 0 && len(one.answer.Entries) == 0 { // nothing is there yet
		pause(ctx, retryWait)
	}
	return true
}

// goHome tries now and then to return to the first core node of the follower's own order.
func (f *Follower) goHome(ctx context.Context) {
	f.mu.Lock()
	home, away := f.sources.home(), f.sources.current() != f.sources.home()
	f.mu.Unlock()
	if !away || time.Now().Before(f.homeAt) {
		return
	}
	f.homeAt = time.Now().Add(homeWait + rand.N(homeWait))
	q := f.request(0)
	answer, sent, err := f.ask(ctx, home, q)
	f.relies(ctx, received{home, sent, q, answer, err})
}
