package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	maxClocks          = 64                     // number of clocks of which samples are kept
	samplesPerClock    = 8                      // samples kept of a clock; the one with the shortest round trip is used
	maxSampleRoundTrip = time.Second            // samples with a longer round trip are dropped
	stepThreshold      = 250 * time.Millisecond // two samples that differ by this beyond their uncertainty show a step of the clock
)

// EstimateWeight is the weight of a sample that is itself an estimate over several clocks: it outweighs the node's own clock.
const EstimateWeight = 2

// TrueTime estimates the true time although some wall clocks may be wrong, as the weighted median of the clocks' offsets to the
// monotonic clock of this node. This node's own wall clock is read once, at the start: a later step of it has no effect. TrueTime is
// safe for concurrent use.
type TrueTime struct {
	mu        sync.Mutex
	localWall time.Time     // wall clock of this node when its monotonic clock was 0
	clocks    []clock       // of other nodes, in the order in which they were first sampled
	offset    time.Duration // of the estimate to localWall
}

// clock is the wall clock of another node.
type clock struct {
	node    string
	weight  int
	samples []offsetSample
}

// offsetSample is one reading of a clock.
type offsetSample struct {
	offset    time.Duration // to localWall
	roundTrip time.Duration
}

// ClockSample is a reading of the wall clock of another node.
type ClockSample struct {
	Node       string
	Wall       time.Time     // in the node's response
	RoundTrip  time.Duration // of the call
	ReceivedAt time.Duration // on the monotonic clock of this node
	Weight     int           // EstimateWeight for an estimate; 0 is taken as 1, the weight of a clock
}

// NewTrueTime returns an estimate from the wall clock of this node alone, as read at a time of its monotonic clock.
func NewTrueTime(wall time.Time, mono time.Duration) *TrueTime {
	return &TrueTime{localWall: wall.Round(0).Add(-mono)}
}

// Observe adds a sample of the clock of another node. Samples with a round trip of more than maxSampleRoundTrip are dropped.
func (t *TrueTime) Observe(s ClockSample) {
	if s.RoundTrip < 0 || s.RoundTrip > maxSampleRoundTrip {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.clock(s.Node)
	c.weight = max(1, s.Weight)
	c.add(offsetSample{s.Wall.Add(s.RoundTrip / 2).Sub(t.localWall.Add(s.ReceivedAt)), s.RoundTrip})
	t.offset = t.median()
}

// At returns the estimated true time at a time of the monotonic clock.
func (t *TrueTime) At(mono time.Duration) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.localWall.Add(t.offset + mono)
}

// Clocks returns the number of clocks in the estimate, including the node's own.
func (t *TrueTime) Clocks() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return 1 + len(t.clocks)
}

// clock returns the clock of a node. A new clock replaces the one that was sampled first if there are maxClocks. t.mu must be held.
func (t *TrueTime) clock(node string) *clock {
	i := slices.IndexFunc(t.clocks, func(c clock) bool { return c.node == node })
	if i >= 0 {
		return &t.clocks[i]
	}
	if len(t.clocks) >= maxClocks {
		t.clocks = slices.Delete(t.clocks, 0, 1)
	}
	t.clocks = append(t.clocks, clock{node: node})
	return &t.clocks[len(t.clocks)-1]
}

// add adds a sample. Samples from before a step of the clock are dropped.
func (c *clock) add(s offsetSample) {
	if n := len(c.samples); n > 0 {
		uncertainty := (s.roundTrip + c.best().roundTrip) / 2
		if (s.offset - c.best().offset).Abs() > uncertainty+stepThreshold {
			c.samples = nil
		}
	}
	if len(c.samples) >= samplesPerClock {
		c.samples = slices.Delete(c.samples, 0, 1)
	}
	c.samples = append(c.samples, s)
}

// best returns the sample with the shortest round trip.
func (c *clock) best() offsetSample {
	return slices.MinFunc(c.samples, func(a, b offsetSample) int { return cmp.Compare(a.roundTrip, b.roundTrip) })
}

// median returns the weighted median of the offsets. If two offsets are in the middle, it returns the one closer to the present
// estimate. t.mu must be held.
func (t *TrueTime) median() time.Duration {
	type weighted struct {
		offset time.Duration
		weight int
	}
	all, total := []weighted{{0, 1}}, 1
	for i := range t.clocks {
		all = append(all, weighted{t.clocks[i].best().offset, t.clocks[i].weight})
		total += t.clocks[i].weight
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(a.offset, b.offset) })
	below := 0
	for i, w := range all {
		below += w.weight
		switch {
		case 2*below < total:
		case 2*below > total || (w.offset-t.offset).Abs() <= (all[i+1].offset-t.offset).Abs():
			return w.offset
		default:
			return all[i+1].offset
		}
	}
	return t.offset
}
