package balancer

import (
	"time"

	"larchrouter/internal/tier/discovery"
)

// Host is one incarnation of a host as this front sees it.
type Host struct {
	discovery.Host
	params            *Params
	listed            bool      // on the last list
	draining          bool      // by the last list
	inFlight          int       // calls of this front
	othersLoad        float64   // calls of others, by the last report
	reportedAt        time.Time // of othersLoad; zero if there was no report
	fullUntil         time.Time // no call before, except to the host's own queue
	ejectedUntil      time.Time
	verdictUntil      time.Time // ejected by the list; zero if it is not
	failures          int       // in a row
	lastFailureAt     time.Time
	consecutiveCloses int           // responses in a row that closed their connection
	avoidUntil        time.Time     // probably in graceful shutdown
	warmup            time.Duration // what was left of slow start when this front first saw the host
	warmAt            time.Time     // end of slow start
}

// InFlight returns the number of calls of this front at the host.
func (h *Host) InFlight() int { return h.inFlight }

// Usable reports whether the host list permits new calls to the host.
func (h *Host) Usable() bool { return h.listed && !h.draining }

// Load estimates the calls at the host: those of this front, and those of others by the last report, which fades linearly
// over LoadParams.FadeTime.
func (h *Host) Load(now time.Time) float64 {
	load, fade := float64(h.inFlight), h.params.Load.FadeTime
	if age := now.Sub(h.reportedAt); h.othersLoad > 0 && age < fade {
		load += h.othersLoad * (1 - float64(age)/float64(fade))
	}
	return load
}

// healthy reports whether the host is neither ejected, by this front or by the list, nor avoided since it shuts down.
func (h *Host) healthy(now time.Time) bool {
	return !now.Before(h.ejectedUntil) && !now.Before(h.verdictUntil) && !now.Before(h.avoidUntil)
}

// setListed takes the host's entry of a new list.
func (h *Host) setListed(listed discovery.Host, now time.Time) {
	switch {
	case listed.Phase != discovery.Ejected:
		h.verdictUntil = time.Time{}
	case h.Phase != discovery.Ejected:
		h.verdictUntil = now.Add(h.params.Ejection.VerdictTTL)
	}
	h.Host, h.listed, h.draining = listed, true, !listed.Serving()
}

// effectiveCapacity returns the capacity under slow start, where it rises linearly to the listed one until warmAt, and on
// probation.
func (h *Host) effectiveCapacity(now time.Time) float64 {
	capacity := float64(max(1, h.Capacity))
	if left := h.warmAt.Sub(now); left > 0 && h.warmup > 0 {
		capacity = max(1, capacity*(1-h.params.Load.SlowStartReduction*float64(left)/float64(h.warmup)))
	}
	if h.Phase == discovery.Probation {
		capacity = max(1, capacity*(1-h.params.Load.ProbationReduction))
	}
	return capacity
}

// recordFailure counts a failure and ejects the host if it has threshold failures or more in a row, with exponential
// backoff. An ejection never ends earlier than the one before.
func (h *Host) recordFailure(now time.Time, threshold int) {
	if now.Sub(h.lastFailureAt) > h.params.Ejection.FailureMemory {
		h.failures = 0
	}
	h.failures++
	h.lastFailureAt = now
	params := &h.params.Ejection
	if excess := h.failures - threshold; excess >= 0 {
		if until := now.Add(min(params.Max, params.Min<<min(excess, 8))); until.After(h.ejectedUntil) {
			h.ejectedUntil = until
		}
	}
}
