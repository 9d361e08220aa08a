package controlnode

import (
	"time"
)

// commitHistory is a ring buffer of the commit index, sampled with each heartbeat. At the default HeartbeatInterval its
// samples cover 1.4 s, which is more than catchUpLag.
type commitHistory struct {
	samples [8]commitSample
	next    int // number of samples recorded so far
}

// commitSample is the commit index at a point in time.
type commitSample struct {
	at    time.Duration
	index int64
}

// record adds a sample of the commit index.
func (h *commitHistory) record(at time.Duration, index int64) {
	h.samples[h.next%len(h.samples)] = commitSample{at, index}
	h.next++
}

// at returns the commit index at time t, or the oldest recorded one if t is earlier.
func (h *commitHistory) at(t time.Duration) int64 {
	index := int64(0)
	for i := max(0, h.next-len(h.samples)); i < h.next; i++ {
		s := h.samples[i%len(h.samples)]
		if s.at <= t || index == 0 {
			index = s.index
		}
	}
	return index
}
