package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

func compareDestinations(a, b destination) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone))
}

// addLoads adds the loads of a report. A report that arrives after a newer one does not lower any value.
func (s *sourceState) addLoads(now time.Duration, loads []ServiceLoad) {
	if len(loads) == 0 {
		return
	}
	next := loadSample{at: now, busyMs: map[destination]int64{}}
	if n := len(s.loads); n > 0 {
		maps.Copy(next.busyMs, s.loads[n-1].busyMs)
	}
	for _, l := range loads {
		to := destination{l.Service, l.Zone}
		next.busyMs[to] = max(next.busyMs[to], l.BusyMs)
	}
	if n := len(s.loads); n > 0 && s.loads[n-1].at == now {
		s.loads[n-1] = next
		return
	}
	s.loads = append(s.loads, next)
}

// expireLoads drops the samples before a time, except for the newest of them, which is the base for measuring the time after it.
func (s *sourceState) expireLoads(before time.Duration) {
	old := 0
	for old+1 < len(s.loads) && s.loads[old+1].at <= before {
		old++
	}
	s.loads = slices.Delete(s.loads, 0, old)
}

// addConcurrency adds the source's mean number of calls in flight since a time to the totals, by destination.
func (s *sourceState) addConcurrency(total map[destination]float64, since time.Duration) {
	if len(s.loads) < 2 || s.loads[len(s.loads)-1].at < since {
		return
	}
	first, last := s.loads[0], s.loads[len(s.loads)-1]
	for _, sample := range s.loads[:len(s.loads)-1] {
		if sample.at <= since {
			first = sample
		}
	}
	span := float64((last.at - first.at).Milliseconds())
	if span <= 0 {
		return
	}
	for to, busyMs := range last.busyMs {
		if busyMs > first.busyMs[to] {
			total[to] += float64(busyMs-first.busyMs[to]) / span
		}
	}
}
