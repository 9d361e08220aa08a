package fleetlimit

import "time"

// A grant is meant for the instant in which it is given: its coordinator counts the call as made about then. A
// grant that arrives two seconds late would be used in addition to those of that time, and possibly of another
// coordinator, which no bound covers. Clocks of relays are not compared. But a relay knows by its own clock when
// it sent the request that a grant answers, and the coordinator by its own how long it had that request: the
// rest of the time between is how long request and grant were in transit. A grant that was in transit for longer
// than maxGrantDelay is returned.
//
// So a call is sent no later than maxGrantDelay and grantTTL after it was granted, whatever the network does to
// messages.
//
// Requests are ordered by the same timestamps: one that arrives after a newer one is ignored.

const (
	maxGrantDelay = 500 * time.Millisecond // more than a round trip on a busy machine, less than a lease
	// maxReordering is how much older than the newest request one may be to count as delayed. A larger
	// difference means that the relay restarted, and its clock with it.
	maxReordering = 5 * time.Second
)

// timestampOf returns an instant as messages carry it, in units of timeUnit. It wraps after nine minutes.
func timestampOf(now time.Duration) uint16 { return uint16(now / timeUnit) }

// elapsedSince returns how long ago a timestamp was taken, if less than half of the range; negative for a future one.
func elapsedSince(now time.Duration, timestamp uint16) time.Duration {
	return time.Duration(int16(timestampOf(now)-timestamp)) * timeUnit
}

// expired reports whether a grant was in transit for too long. A timestamp that is not plausible counts as too long.
func (l *Limiter) expired(r record) bool {
	inTransit := elapsedSince(l.now, r.timestamp) - r.queuedFor
	return inTransit > maxGrantDelay || inTransit < -maxGrantDelay
}

// stale reports whether a request with that timestamp is older than this one.
func (pending *pendingRequest) stale(timestamp uint16) bool {
	behind := time.Duration(int16(pending.timestamp-timestamp)) * timeUnit
	return behind > 0 && behind < maxReordering
}
