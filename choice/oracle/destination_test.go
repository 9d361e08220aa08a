package oracle

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// estimate computes the expected completion time for the edge of bucket i from all samples; one below 0 has
// no latency.
func estimate(samples []time.Duration, width time.Duration, i int) float64 {
	var count, sum [Buckets]float64
	lost, weight := 0.0, 1.0
	for _, took := range samples {
		weight *= 1 + 1.0/memory
		if bucket := int(took / width); took < 0 || bucket >= Buckets {
			lost += weight
		} else {
			count[bucket] += weight
			sum[bucket] += weight * took.Seconds()
		}
	}
	total, share, partialMean := lost, 0.0, 0.0
	for bucket := range Buckets {
		total += count[bucket]
	}
	for bucket := 0; bucket <= i; bucket++ {
		share += count[bucket] / total
		partialMean += sum[bucket] / total
	}
	if share == 0 {
		return math.Inf(1)
	}
	edge := time.Duration(i+1) * width
	return partialMean/share + (1-share)/share*(edge.Seconds()+0.1)
}

func TestTimeoutMinimizesCompletionTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.IntRange(200, 6000).Draw(t, "bound")) * ms
		width := bound / Buckets
		typical := time.Duration(rapid.IntRange(1, int(bound/ms)).Draw(t, "typical")) * ms
		took := rapid.Custom(func(t *rapid.T) time.Duration {
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				return -1 // cut
			case 1:
				return time.Duration(rapid.Int64Range(0, int64(2*bound)).Draw(t, "any"))
			default:
				return typical/2 + time.Duration(rapid.Int64Range(0, int64(typical)).Draw(t, "near"))
			}
		})
		samples := rapid.SliceOfN(took, 0, 300).Draw(t, "samples")
		dest := NewDestination(bound)
		served := 0
		for _, s := range samples {
			if s < 0 {
				dest.Cut()
				continue
			}
			dest.Served(s)
			if s/width < Buckets {
				served++
			}
		}
		const left = time.Hour
		got := dest.Timeout(left, 0, true)
		if len(samples) < MinSamples || served == 0 {
			if got != left {
				t.Fatalf("cut at %v after %d samples, %d of them answers", got, len(samples), served)
			}
			return
		}
		if got%width != 0 || got <= 0 || got > bound {
			t.Fatalf("%v is no edge of buckets %v wide", got, width)
		}
		least := math.Inf(1)
		for i := range Buckets {
			least = min(least, estimate(samples, width, i))
		}
		if completion := estimate(samples, width, int(got/width)-1); completion > least*(1+1e-9) {
			t.Fatalf("cut at %v, estimate %.9f, the least is %.9f", got, completion, least)
		}
	})
}

// known returns a destination with latencies of 45 ms, one in ten of 905 ms: with buckets of 10 ms the best
// time-out is 50 ms.
func known() *Destination {
	d := NewDestination(time.Second)
	for i := range 100 {
		if i%10 == 9 {
			d.Served(905 * ms)
		} else {
			d.Served(45 * ms)
		}
	}
	return d
}

// Each line is an attempt: the time to the deadline, the expected time-out, and whether it may be retried.
// Lines of one call follow each other.
func TestTimeoutsOfAttempts(t *testing.T) {
	const timeline = `
left  1000  timeout 50    restart
left   950  timeout 60    restart
left   890  timeout 70    restart
left   820  timeout 820   no
---
left  1000  timeout 1000  no
---
left   190  timeout 50    restart
left   140  timeout 140   restart
---
left    60  timeout 60    restart
---
left     0  timeout 0     restart
---
left    -5  timeout -5    restart
`
	dest := known()
	mean := (0.9*45 + 0.1*905)
	if got := dest.table.Mean(); math.Abs(got.Seconds()*1000-mean) > 15 {
		t.Fatalf("mean %v, want about %.1f ms", got, mean)
	}
	last := time.Duration(0)
	for i, line := range strings.Split(strings.TrimSpace(timeline), "\n") {
		if line == "---" {
			last = 0
			continue
		}
		fields := strings.Fields(line)
		left, _ := strconv.Atoi(fields[1])
		want, _ := strconv.Atoi(fields[3])
		last = dest.Timeout(time.Duration(left)*ms, last, fields[4] == "restart")
		if last != time.Duration(want)*ms {
			t.Errorf("line %d, %q: time-out %v", i+1, line, last)
		}
	}
}

func TestTimeoutNeverExceedsDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dest := NewDestination(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "bound")))
		for range rapid.IntRange(0, 60).Draw(t, "served") {
			dest.Served(time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "took")))
		}
		for range rapid.IntRange(0, 60).Draw(t, "cut") {
			dest.Cut()
		}
		left := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "left"))
		last := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "last"))
		can := rapid.Bool().Draw(t, "can restart")
		got := dest.Timeout(left, last, can)
		switch {
		case got > left || got < 0:
			t.Fatalf("time-out %v with %v left", got, left)
		case got < left && !can:
			t.Fatalf("cut at %v though it may not be restarted", got)
		case got < left && last > 0 && got < last+dest.table.Width():
			t.Fatalf("time-out %v after one of %v, buckets of %v", got, last, dest.table.Width())
		case got < left && got+dest.table.Mean() >= left:
			t.Fatalf("cut at %v of %v: a restart takes %v", got, left, dest.table.Mean())
		}
	})
}

func TestResponsesAfterTimeoutCount(t *testing.T) {
	d := known()
	before := d.Timeout(time.Hour, 0, true)
	for range 2 * memory { // it has turned slow: every call ends after its time-out, and is answered then
		d.Served(305 * ms)
	}
	if after := d.Timeout(time.Hour, 0, true); before != 50*ms || after != 310*ms {
		t.Fatalf("time-out %v, then %v; want 50ms, then 310ms", before, after)
	}
}

func TestBoundCanChange(t *testing.T) {
	dest := known()
	dest.SetBound(2 * time.Second)
	if got := dest.Timeout(time.Hour, 0, true); got != 60*ms {
		t.Fatalf("time-out %v with buckets of 20ms, want 60ms", got)
	}
	dest.SetBound(0) // as narrow as a bucket can be
	dest.Served(time.Millisecond)
	if got := dest.Timeout(time.Hour, 0, true); got != time.Hour {
		t.Fatalf("time-out %v where all answers lie beyond the bound", got)
	}
}
