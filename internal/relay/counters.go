package relay

import (
	"time"

	"larchrouter/internal/relay/adminapi"
)

// counters count messages in total, and by the second for the last minute.
type counters struct {
	totals struct{ taken, turned, delivered, refused, failed, calls uint64 }
	ring   [61]secondCounts
}

// secondCounts are the counts of one second.
type secondCounts struct {
	at                         int64 // Unix time
	accepted, delivered, ended int
}

// bucket returns the counts of the present second.
func (c *counters) bucket(now time.Time) *secondCounts {
	e := &c.ring[now.Unix()%int64(len(c.ring))]
	if e.at != now.Unix() {
		*e = secondCounts{at: now.Unix()}
	}
	return e
}

func (c *counters) countRejected() { c.totals.turned++ }

func (c *counters) countAccepted(now time.Time) { c.totals.taken++; c.bucket(now).accepted++ }

func (c *counters) countDelivered(now time.Time) { c.totals.delivered++; c.bucket(now).delivered++ }

func (c *counters) countRefused(now time.Time) { c.totals.refused++; c.bucket(now).ended++ }

func (c *counters) countFailed(now time.Time) { c.totals.failed++; c.bucket(now).ended++ }

// series returns the last whole seconds of a minute, oldest first.
func (c *counters) series(now time.Time) []adminapi.Second {
	all := make([]adminapi.Second, 0, len(c.ring)-1)
	for s := now.Unix() - int64(len(c.ring)) + 1; s < now.Unix(); s++ {
		one := adminapi.Second{}
		if e := c.ring[s%int64(len(c.ring))]; e.at == s {
			one = adminapi.Second{Taken: e.accepted, Delivered: e.delivered, Ended: e.ended}
		}
		all = append(all, one)
	}
	return all
}
