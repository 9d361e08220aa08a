package usage

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var trueStart = time.Unix(1_700_000_000, 0) // the true time at 0 of the monotonic clock

// sampleOf returns a sample, received at a time, of a clock with an offset to the true time. Of the round trip, the response took back.
func sampleOf(node string, offset, at, roundTrip, back time.Duration) ClockSample {
	return ClockSample{Node: node, Wall: trueStart.Add(at - back + offset), RoundTrip: roundTrip, ReceivedAt: at}
}

// errorAt returns the error of an estimate at a time.
func errorAt(t *TrueTime, at time.Duration) time.Duration { return t.At(at).Sub(trueStart.Add(at)) }

func TestTrueTimeOutvotesWrongClocks(t *testing.T) {
	const step = 6 * second
	for _, test := range []struct {
		name  string
		own   time.Duration   // offset of the node's clock to the true time
		peers []time.Duration // offsets of the other nodes' clocks
		want  time.Duration
	}{
		{"alone", step, nil, step},
		{"one peer ahead", 0, []time.Duration{step}, 0},
		{"one peer behind", 0, []time.Duration{-step}, 0},
		{"ahead of two", step, []time.Duration{0, 0}, 0},
		{"behind two", -step, []time.Duration{0, 0}, 0},
		{"one of two ahead", 0, []time.Duration{step, 0}, 0},
		{"one of three ahead", 0, []time.Duration{step, 0, 0}, 0},
		{"itself and one of five", step, []time.Duration{0, step, 0, 0, 0}, 0},
		{"some ahead, some behind", 0, []time.Duration{step, -step, step, 0, 0, 0, -step, 0}, 0},
		{"ahead, with some behind", step, []time.Duration{0, 0, step, -step, 0, 0, 0, 0}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			estimate := NewTrueTime(trueStart.Add(test.own+second), second)
			for i, wrongBy := range test.peers {
				estimate.Observe(sampleOf(fmt.Sprint(i), wrongBy, 10*second, 4*ms, 2*ms))
			}
			wantEqual(t, "error", errorAt(estimate, 10*second), test.want)
			wantEqual(t, "error later", errorAt(estimate, time.Hour), test.want)
			wantEqual(t, "clocks", estimate.Clocks(), 1+len(test.peers))
		})
	}
}

// The estimate must be right once every peer was sampled, while up to a third of the clocks step, in either direction and at any time.
func TestTrueTimeToleratesThirdOfClocksStepped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "clocks")
		stepped := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n/3, rapid.ID[int]).Draw(t, "stepped")
		wrongBy := make([]time.Duration, n)
		for _, i := range stepped {
			wrongBy[i] = rapid.SampledFrom([]time.Duration{6 * second, -6 * second}).Draw(t, "step")
		}
		stepAt := time.Duration(rapid.IntRange(0, 20).Draw(t, "stepAt")) * second
		clockAt := func(i int, at time.Duration) time.Duration {
			if at < stepAt {
				return 0
			}
			return wrongBy[i]
		}
		estimate := NewTrueTime(trueStart.Add(clockAt(0, 0)), 0)
		for at := time.Duration(0); at < 30*second; at += second {
			for i := 1; i < n; i++ {
				roundTrip := time.Duration(rapid.IntRange(0, 40).Draw(t, "roundTrip")) * ms
				back := time.Duration(rapid.Float64Range(0, 1).Draw(t, "back") * float64(roundTrip))
				estimate.Observe(sampleOf(fmt.Sprint(i), clockAt(i, at), at, roundTrip, back))
			}
			if wrong := errorAt(estimate, at); wrong.Abs() > 20*ms {
				t.Fatalf("at %v the estimate is wrong by %v", at, wrong)
			}
		}
	})
}

// A step of the node's own wall clock must have no effect, since the clock is read once; nor must the monotonic part of that reading.
func TestTrueTimeIgnoresOwnSteps(t *testing.T) {
	wall := time.Now()
	estimate := NewTrueTime(wall, 3*second)
	wantEqual(t, "after an hour", estimate.At(3*second+time.Hour).Equal(wall.Add(time.Hour)), true)
}

func TestTrueTimeUsesShortRoundTrips(t *testing.T) {
	estimate := NewTrueTime(trueStart, 0)
	for i := range 3 {
		estimate.Observe(sampleOf("peer", 10*ms, time.Duration(i)*second, 300*ms, 300*ms))
	}
	estimate.Observe(ClockSample{Node: "peer", Wall: trueStart.Add(3*second + 10*ms), RoundTrip: 2 * ms, ReceivedAt: 3*second + ms, Weight: EstimateWeight})
	wantEqual(t, "error", errorAt(estimate, 3*second), 10*ms)
	estimate.Observe(sampleOf("other", 6*second, 4*second, 1001*ms, 0))
	estimate.Observe(sampleOf("other", 6*second, 4*second, -1, 0))
	wantEqual(t, "clocks", estimate.Clocks(), 2)
}

// Samples of a peer's clock from before its step must be dropped.
func TestTrueTimeFollowsAStepOfAnEstimate(t *testing.T) {
	estimate := NewTrueTime(trueStart, 0)
	observe := func(wrongBy, at time.Duration) {
		s := sampleOf("head", wrongBy, at, 4*ms, 2*ms)
		s.Weight = EstimateWeight
		estimate.Observe(s)
	}
	observe(6*second, second)
	wantEqual(t, "error", errorAt(estimate, second), 6*second)
	observe(0, 2*second)
	wantEqual(t, "error", errorAt(estimate, 2*second), time.Duration(0))
}

// The numbers of clocks and of samples per clock are bounded: new ones replace the oldest.
func TestTrueTimeIsBounded(t *testing.T) {
	estimate := NewTrueTime(trueStart, 0)
	for i := range 3 * maxClocks {
		for j := range 2 * samplesPerClock {
			estimate.Observe(sampleOf(fmt.Sprint(i), 0, time.Duration(j)*second, 4*ms, 2*ms))
		}
	}
	wantEqual(t, "clocks", len(estimate.clocks), maxClocks)
	wantEqual(t, "samples", len(estimate.clocks[0].samples), samplesPerClock)
}
