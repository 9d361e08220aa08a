package proxy

import (
	"runtime"
	"time"

	"larchrouter/internal/tier/fairshare"
)

// freeResponseBytes is how much of a response comes before it counts as a long one, which takes a fair share of the link and the
// processor at most.
const freeResponseBytes = 64 << 10

// longResponse paces the response of an attempt once it is long.
type longResponse struct {
	request *request
	attempt *attempt
	paced   *fairshare.Response // nil until it is long
	counted int64               // bytes of the response that were waited for
	yielded int64               // bytes of the response at the last yield
}

// yieldBytes is how much of a response is passed on before its goroutine lets others run. While its host and its client are always ready,
// it would not wait, and the runtime would let it run for 10 ms at a time.
const yieldBytes = 16 << 10

// wait waits until the response may go on, by the bytes that have come since the last call.
func (l *longResponse) wait() {
	received := l.attempt.Response.Received()
	if received-l.yielded >= yieldBytes {
		l.yielded = received
		runtime.Gosched()
	}
	if l.paced == nil {
		if received <= freeResponseBytes {
			return
		}
		l.paced, l.counted = l.request.server().pacer.Open(), received
		return
	}
	l.paced.Wait(int(received-l.counted), l.request.deadline, l.request.cancelled)
	l.counted = received
}

// close ends the pacing and records whether the response took all that it may. It may be called again.
func (l *longResponse) close() {
	if l.paced == nil {
		return
	}
	l.attempt.tookAll = l.paced.TookAll()
	l.paced.Close()
	l.paced = nil
}

// hasNoEnd reports whether a response that was cut took all that it may for longer than the time in which the operator wants it.
func (r *request) hasNoEnd(attempt *attempt) bool {
	return attempt.tookAll && time.Since(attempt.startedAt) > r.route.LatencyTarget
}
