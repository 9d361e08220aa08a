package proxy

import "time"

const (
	// fullIntakeTime is the time after SIGTERM in which a draining front takes every request. By its end the platform has seen
	// two failed readiness checks and sends no new connections, unless fewer than half of the zone's fronts are ready.
	fullIntakeTime = 2750 * time.Millisecond
	maxExpiryTime  = time.Second // before SIGKILL at which requests in flight are ended, at most
)

// drainPlan is the timetable of a graceful shutdown. Its bounds are proved in docs/design/018-drain.md: every request that is
// taken ends with a complete response, or was sent within 3 s of the SIGTERM and is still running in the last sixth of the
// grace period.
type drainPlan struct {
	selectiveAt time.Time // from then on only requests are taken that end before expiresAt, until no client is left
	expiresAt   time.Time // when requests in flight that have no response yet get an error
	endsAt      time.Time // when the connections that are left are closed
}

// newDrainPlan returns the plan of a shutdown that begins now and must be over within the grace period.
func newDrainPlan(now time.Time, grace time.Duration) drainPlan {
	margin := min(maxExpiryTime, grace/8) // less than a sixth
	p := drainPlan{expiresAt: now.Add(grace - margin), endsAt: now.Add(grace - margin/2)}
	if p.selectiveAt = now.Add(fullIntakeTime); p.selectiveAt.After(p.expiresAt) {
		p.selectiveAt = p.expiresAt
	}
	return p
}

// takes reports whether a request that was read by now and is answered by its deadline is taken.
func (p *drainPlan) takes(now, deadline time.Time) bool {
	return now.Before(p.selectiveAt) || !deadline.After(p.expiresAt)
}
