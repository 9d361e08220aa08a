package compaction

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// segmentLog is a journal as the package sees it: sizes and what of them is live.
type segmentLog struct {
	segments  []struct{ total, live int64 }
	rewritten int64
}

func (g *segmentLog) usage() (s Log) {
	for _, x := range g.segments {
		s.Total += x.total
		s.Live += x.live
	}
	s.Segments = len(g.segments)
	return s
}

// write puts bytes at the end, some of them live.
func (g *segmentLog) write(l Limits, n, live int64) {
	if k := len(g.segments); k == 0 || g.segments[k-1].total >= l.Segment {
		g.segments = append(g.segments, struct{ total, live int64 }{})
	}
	last := &g.segments[len(g.segments)-1]
	last.total, last.live = last.total+n, last.live+live
}

// rewrite moves live bytes from the oldest segments to the end, in pieces.
func (g *segmentLog) rewrite(l Limits, most int64) {
	for ; most > l.Segment; most -= l.Segment {
		g.rewrite(l, l.Segment)
	}
	for most > 0 && len(g.segments) > 1 {
		n := min(most, g.segments[0].live)
		g.segments[0].live -= n
		g.write(l, n, n)
		g.rewritten += n
		most -= n
		if g.segments[0].live > 0 {
			return
		}
		g.segments = g.segments[1:]
	}
}

// expire makes bytes that were live dead, somewhere.
func (g *segmentLog) expire(t *rapid.T, n int64) {
	for n > 0 && len(g.segments) > 0 && g.usage().Live > 0 {
		s := &g.segments[rapid.IntRange(0, len(g.segments)-1).Draw(t, "where")]
		k := min(n, s.live)
		s.live -= k
		n -= max(k, 1)
	}
}

// Whatever is written and dies in whatever order: the files never take more than the budget, a record of what is held
// always finds room, and one Append never carries more than its bound.
func TestFilesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.SampledFrom([]int64{700 << 10, 3_000_000, 20 << 20}).Draw(t, "budget")
		l, g := ForBudget(budget), new(segmentLog)
		admitted, refused := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "appends") {
			n := rapid.SampledFrom([]int64{100, 400, 5000, 66_000}).Draw(t, "bytes")
			takes := rapid.IntRange(0, 3).Draw(t, "kind") > 0
			switch {
			case takes && l.Admits(g.usage(), n, n+256):
				g.write(l, n, n)
				admitted++
			case takes:
				g.rewrite(l, min(MaxRewrite, l.Segment))
				refused++
				continue
			default:
				n = min(n, 5000) // records of what is held are small
				for rounds := 0; !l.Fits(g.usage(), n); rounds++ {
					if rounds > 2*len(g.segments)+2 {
						t.Fatalf("no room for %d bytes of what is held: %+v of %d", n, g.usage(), budget)
					}
					g.rewrite(l, l.Segment)
				}
				g.write(l, n, 0)
				g.expire(t, rapid.Int64Range(0, 40_000).Draw(t, "dies"))
			}
			if most := l.RewriteBytes(g.usage(), n); most > 0 {
				if most > max(MaxRewrite, rewriteRatio*n) {
					t.Fatalf("%d bytes are to be carried at once", most)
				}
				g.rewrite(l, most)
			}
			if s := g.usage(); s.Total+l.Spare > budget {
				t.Fatalf("%d bytes and %d spare of %d", s.Total, l.Spare, budget)
			}
		}
		if admitted+refused > 0 && g.usage().Live < l.MaxLive()/4 && admitted == 0 {
			t.Fatal("nothing was admitted in an empty journal")
		}
	})
}

// In a steady state with the log as full as may be, pacing alone keeps up: new messages are refused for what is live,
// never for want of compaction.
func TestRewriteRatioKeepsUp(t *testing.T) {
	for _, budget := range []int64{700 << 10, 3_000_000, 10 << 30} {
		l, g := ForBudget(budget), new(segmentLog)
		const n = 2000
		step := max(n, l.MaxLive()/2000) // as one message, or many in one Append
		for g.usage().Live+2*step+256 < l.MaxLive()*9/10 {
			g.write(l, step, step)
		}
		refused, r := 0, rand.New(rand.NewPCG(1, 1))
		for range 20_000 {
			for range 100 { // any one of those that are live ends
				if s := &g.segments[r.IntN(len(g.segments))]; s.live >= step {
					s.live -= step
					break
				}
			}
			if !l.Admits(g.usage(), step, step) {
				refused++
				g.rewrite(l, min(MaxRewrite, l.Segment))
				continue
			}
			g.write(l, step, step)
			if most := l.RewriteBytes(g.usage(), step); most > 0 {
				g.rewrite(l, most)
			}
		}
		if refused > 0 {
			t.Errorf("budget %d: %d of 20,000 were refused while compaction was behind", budget, refused)
		}
		t.Logf("budget %d: %.2f bytes carried for each one written", budget, float64(g.rewritten)/float64(20_000*step))
	}
}
