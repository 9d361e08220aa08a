package compaction

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// segmentLog models a log by the total and live bytes of its segments.
type segmentLog struct {
	segments  []struct{ total, live int64 }
	rewritten int64
}

// usage returns the size of the log.
func (log *segmentLog) usage() (s Log) {
	for _, x := range log.segments {
		s.Total += x.total
		s.Live += x.live
	}
	s.Segments = len(log.segments)
	return s
}

// write appends n bytes, some of them live.
func (log *segmentLog) write(limits Limits, n, live int64) {
	if k := len(log.segments); k == 0 || log.segments[k-1].total >= limits.Segment {
		log.segments = append(log.segments, struct{ total, live int64 }{})
	}
	last := &log.segments[len(log.segments)-1]
	last.total, last.live = last.total+n, last.live+live
}

// rewrite moves live bytes from the oldest segments to the end, in pieces of at most a segment.
func (log *segmentLog) rewrite(limits Limits, left int64) {
	for ; left > limits.Segment; left -= limits.Segment {
		log.rewrite(limits, limits.Segment)
	}
	for left > 0 && len(log.segments) > 1 {
		n := min(left, log.segments[0].live)
		log.segments[0].live -= n
		log.write(limits, n, n)
		log.rewritten += n
		left -= n
		if log.segments[0].live > 0 {
			return
		}
		log.segments = log.segments[1:]
	}
}

// expire makes n live bytes dead in drawn segments.
func (log *segmentLog) expire(t *rapid.T, n int64) {
	for n > 0 && len(log.segments) > 0 && log.usage().Live > 0 {
		s := &log.segments[rapid.IntRange(0, len(log.segments)-1).Draw(t, "where")]
		k := min(n, s.live)
		s.live -= k
		n -= max(k, 1)
	}
}

// For drawn writes and completions the files never exceed the budget, a record of an accepted message always fits after
// rewriting, and one Append never rewrites more than its limit.
func TestFilesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.SampledFrom([]int64{700 << 10, 3_000_000, 20 << 20}).Draw(t, "budget")
		limits, log := ForBudget(budget), new(segmentLog)
		admitted, refused := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "appends") {
			n := rapid.SampledFrom([]int64{100, 400, 5000, 66_000}).Draw(t, "bytes")
			accepts := rapid.IntRange(0, 3).Draw(t, "kind") > 0
			switch {
			case accepts && limits.Admits(log.usage(), n, n+256):
				log.write(limits, n, n)
				admitted++
			case accepts:
				log.rewrite(limits, min(MaxRewrite, limits.Segment))
				refused++
				continue
			default:
				n = min(n, 5000) // records of accepted messages are small
				for rounds := 0; !limits.Fits(log.usage(), n); rounds++ {
					if rounds > 2*len(log.segments)+2 {
						t.Fatalf("no room for %d bytes of an accepted message: %+v of %d", n, log.usage(), budget)
					}
					log.rewrite(limits, limits.Segment)
				}
				log.write(limits, n, 0)
				log.expire(t, rapid.Int64Range(0, 40_000).Draw(t, "dies"))
			}
			if limit := limits.RewriteBytes(log.usage(), n); limit > 0 {
				if limit > max(MaxRewrite, rewriteRatio*n) {
					t.Fatalf("%d bytes are to be rewritten at once", limit)
				}
				log.rewrite(limits, limit)
			}
			if s := log.usage(); s.Total+limits.Spare > budget {
				t.Fatalf("%d bytes and %d spare of %d", s.Total, limits.Spare, budget)
			}
		}
		if admitted+refused > 0 && log.usage().Live < limits.MaxLive()/4 && admitted == 0 {
			t.Fatal("nothing was admitted to an empty log")
		}
	})
}

// In a steady state with a full log, rewriteRatio keeps up: new messages are refused for the live bytes, never because
// compaction is behind.
func TestRewriteRatioKeepsUp(t *testing.T) {
	for _, budget := range []int64{700 << 10, 3_000_000, 10 << 30} {
		limits, log := ForBudget(budget), new(segmentLog)
		const n = 2000
		step := max(n, limits.MaxLive()/2000) // as one message, or many in one Append
		for log.usage().Live+2*step+256 < limits.MaxLive()*9/10 {
			log.write(limits, step, step)
		}
		refused, random := 0, rand.New(rand.NewPCG(1, 1))
		for range 20_000 {
			for range 100 { // a random live message completes
				if s := &log.segments[random.IntN(len(log.segments))]; s.live >= step {
					s.live -= step
					break
				}
			}
			if !limits.Admits(log.usage(), step, step) {
				refused++
				log.rewrite(limits, min(MaxRewrite, limits.Segment))
				continue
			}
			log.write(limits, step, step)
			if limit := limits.RewriteBytes(log.usage(), step); limit > 0 {
				log.rewrite(limits, limit)
			}
		}
		if refused > 0 {
			t.Errorf("budget %d: %d of 20,000 were refused while compaction was behind", budget, refused)
		}
		t.Logf("budget %d: %.2f bytes rewritten for each one written", budget, float64(log.rewritten)/float64(20_000*step))
	}
}
