package proxy

import (
	"encoding/json"
	"net/http"
	"runtime/metrics"
	"sync"
	"time"

	"larchrouter/internal/tier/fairshare"
)

// boundLogInterval is the time between two lines about hosts whose responses exceeded a bound.
const boundLogInterval = time.Second

// boundLog counts the responses that exceeded a bound, and logs them.
type boundLog struct {
	mu       sync.Mutex
	counts   map[string]int64 // by the bound's name
	loggedAt time.Time
	omitted  int // lines left out since the last one
}

// add counts a response, and reports whether it is to be logged and how many were not before it.
func (l *boundLog) add(bound string, now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[string]int64{}
	}
	l.counts[bound]++
	if now.Sub(l.loggedAt) < boundLogInterval {
		l.omitted++
		return 0, false
	}
	omitted, l.omitted, l.loggedAt = l.omitted, 0, now
	return omitted, true
}

// all returns the counts of all bounds.
func (l *boundLog) all() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int64, len(responseBounds))
	for _, bound := range responseBounds {
		counts[bound.name] = l.counts[bound.name]
	}
	return counts
}

// countBound counts and logs an attempt whose response exceeded a bound, if the error says so.
func (r *request) countBound(attempt *attempt, err error) {
	bound := exceededBound(err)
	if bound == "" {
		return
	}
	if omitted, ok := r.server().bounds.add(bound, time.Now()); ok {
		r.server().options.Log.Info("a host exceeded a bound of responses", "bound", bound, "host", attempt.endpoint.connections.ID,
			"service", attempt.endpoint.service, "route", r.route.Name, "received", attempt.Response.Received(), "broke", err, "omitted", omitted)
	}
}

// ResponseReport is what is known of the responses that a front passes on.
type ResponseReport struct {
	Long      fairshare.Usage  `json:"long"`     // responses longer than what a front holds back
	Exceeded  map[string]int64 `json:"exceeded"` // responses that exceeded a bound, by bound
	HeapBytes uint64           `json:"heap_bytes"`
}

// heapMetric is the name of the runtime's metric of the bytes of objects in the heap.
const heapMetric = "/memory/classes/heap/objects:bytes"

// heapBytes returns the bytes of objects in the heap, with those that the runtime has not freed yet.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

// serveResponses serves the ResponseReport as JSON.
func (s *Server) serveResponses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ResponseReport{Long: s.pacer.Usage(), Exceeded: s.bounds.all(), HeapBytes: heapBytes()})
}
