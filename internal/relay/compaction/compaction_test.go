package compaction

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// log is a journal as the package sees it: sizes and what of them is live.
type log struct {
	segments []struct{ total, live int64 }
	carried  int64
}

func (g *log) sum() (s Log) {
	for _, x := range g.segments {
		s.Total += x.total
		s.Live += x.live
	}
	s.Segments = len(g.segments)
	return s
}

// write puts bytes at the end, some of them live.
func (g *log) write(l Limits, n, live int64) {
	if k := len(g.segments); k == 0 || g.segments[k-1].total >= l.Segment {
		g.segments = append(g.segments, struct{ total, live int64 }{})
	}
	last := &g.segments[len(g.segments)-1]
	last.total, last.live = last.total+n, last.live+live
}

// carry moves live bytes from the oldest segments to the end, in pieces.
func (g *log) carry(l Limits, most int64) {
	for ; most > l.Segment; most -= l.Segment {
		g.carry(l, l.Segment)
	}
	for most > 0 && len(g.segments) > 1 {
		n := min(most, g.segments[0].live)
		g.segments[0].live -= n
		g.write(l, n, n)
		g.carried += n
		most -= n
		if g.segments[0].live > 0 {
			return
		}
		g.segments = g.segments[1:]
	}
}

// die makes bytes that were live dead, somewhere.
func (g *log) die(t *rapid.T, n int64) {
	for n > 0 && len(g.segments) > 0 && g.sum().Live > 0 {
		s := &g.segments[rapid.IntRange(0, len(g.segments)-1).Draw(t, "where")]
		k := min(n, s.live)
		s.live -= k
		n -= max(k, 1)
	}
}

// Whatever is written and dies in whatever order: the files never take more than the budget, a record of what is held
// always finds room, and one Append never carries more than its bound.
func TestWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.SampledFrom([]int64{700 << 10, 3_000_000, 20 << 20}).Draw(t, "budget")
		l, g := For(budget), new(log)
		admitted, refused := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "appends") {
			n := rapid.SampledFrom([]int64{100, 400, 5000, 66_000}).Draw(t, "bytes")
			takes := rapid.IntRange(0, 3).Draw(t, "kind") > 0
			switch {
			case takes && l.Admits(g.sum(), n, n+256):
				g.write(l, n, n)
				admitted++
			case takes:
				g.carry(l, min(MostCarried, l.Segment))
				refused++
				continue
			default:
				n = min(n, 5000) // records of what is held are small
				for rounds := 0; !l.Fits(g.sum(), n); rounds++ {
					if rounds > 2*len(g.segments)+2 {
						t.Fatalf("no room for %d bytes of what is held: %+v of %d", n, g.sum(), budget)
					}
					g.carry(l, l.Segment)
				}
				g.write(l, n, 0)
				g.die(t, rapid.Int64Range(0, 40_000).Draw(t, "dies"))
			}
			if most := l.Carry(g.sum(), n); most > 0 {
				if most > max(MostCarried, pace*n) {
					t.Fatalf("%d bytes are to be carried at once", most)
				}
				g.carry(l, most)
			}
			if s := g.sum(); s.Total+l.Spare > budget {
				t.Fatalf("%d bytes and %d spare of %d", s.Total, l.Spare, budget)
			}
		}
		if admitted+refused > 0 && g.sum().Live < l.MostLive()/4 && admitted == 0 {
			t.Fatal("nothing was admitted in an empty journal")
		}
	})
}

// In a steady state with the log as full as may be, pacing alone keeps up: new messages are refused for what is live,
// never for want of compaction.
func TestPaceKeepsUp(t *testing.T) {
	for _, budget := range []int64{700 << 10, 3_000_000, 10 << 30} {
		l, g := For(budget), new(log)
		const n = 2000
		step := max(n, l.MostLive()/2000) // as one message, or many in one Append
		for g.sum().Live+2*step+256 < l.MostLive()*9/10 {
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
			if !l.Admits(g.sum(), step, step) {
				refused++
				g.carry(l, min(MostCarried, l.Segment))
				continue
			}
			g.write(l, step, step)
			if most := l.Carry(g.sum(), step); most > 0 {
				g.carry(l, most)
			}
		}
		if refused > 0 {
			t.Errorf("budget %d: %d of 20,000 were refused while compaction was behind", budget, refused)
		}
		t.Logf("budget %d: %.2f bytes carried for each one written", budget, float64(g.carried)/float64(20_000*step))
	}
}
