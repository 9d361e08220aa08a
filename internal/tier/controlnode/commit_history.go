package controlnode

import (
	"time"
)

// commitHistory is a ring of the commit index at times of the last second or so.
type commitHistory struct {
	samples [8]commitSample
	next    int
}

// commitSample is the commit index at a time.
type commitSample struct {
	at    time.Duration
	index int64
}

// record adds the commit index at a time.
func (h *commitHistory) record(at time.Duration, index int64) {
	h.samples[h.next%len(h.samples)] = commitSample{at, index}
	h.next++
}

// at returns the commit index at a time, or the oldest that is known.
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
