package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// arrivals is the arrival process of one class of requests.
type arrivals struct {
	class        string
	interval     time.Duration // between two requests
	priority     int
	queueTimeout time.Duration
	program      bool // with a program deadline
}

// simulate runs 20 s in which a slot is released every slotInterval. It returns the admitted share of the requests of each
// class and of all.
func simulate(classes []arrivals, slotInterval time.Duration) (each []float64, all float64) {
	q := NewQueue(&testParams)
	arrived, admitted := make([]float64, len(classes)), make([]float64, len(classes))
	next := make([]time.Time, len(classes))
	for i := range next {
		next[i] = start.Add(time.Duration(i) * time.Microsecond)
	}
	released, end := start, start.Add(20*time.Second)
	for {
		i := 0
		for j := range next {
			if next[j].Before(next[i]) {
				i = j
			}
		}
		if now := released; !now.After(next[i]) {
			if now.After(end) {
				break
			}
			if entry := q.Next(now); entry != nil {
				q.Admit(entry)
				admitted[entry.Value.(int)]++
			}
			released = released.Add(slotInterval)
			continue
		}
		now := next[i]
		entry := &Entry{Class: classes[i].class, Priority: classes[i].priority, QueueDeadline: now.Add(classes[i].queueTimeout), Value: i}
		if classes[i].program {
			entry.ProgramDeadline = now.Add(5 * time.Second)
		}
		q.Push(entry)
		arrived[i]++
		next[i] = now.Add(classes[i].interval)
	}
	var arrivedAll, admittedAll float64
	for i := range classes {
		each = append(each, admitted[i]/arrived[i])
		arrivedAll, admittedAll = arrivedAll+arrived[i], admittedAll+admitted[i]
	}
	return each, admittedAll / arrivedAll
}

const ms = time.Millisecond

// No class is admitted less than a quarter as often as all, whatever the priorities and time-outs of the others.
func TestNoClassStarves(t *testing.T) {
	for name, c := range map[string]struct {
		classes      []arrivals
		slotInterval time.Duration
	}{
		"high priority with long time-out": {[]arrivals{{"urgent", ms, 0, 2 * time.Second, true}, {"patient", 4 * ms, 1, 2 * time.Second, true},
			{"hasty", 4 * ms, 2, 50 * ms, false}}, 4 * ms},
		"tool calls and calls of programs": {[]arrivals{{"turns", 2 * ms, 0, 50 * ms, true}, {"tools", 2 * ms, 0, 50 * ms, false}}, 4 * ms},
		"most requests of low priority":    {[]arrivals{{"urgent", 5 * ms, 0, 200 * ms, true}, {"others", ms, 1, 200 * ms, true}}, 5 * ms},
		"one rare class of many":           {[]arrivals{{"a", ms, 0, 100 * ms, true}, {"b", ms, 0, 100 * ms, true}, {"c", ms, 0, 100 * ms, true}, {"rare", 100 * ms, 3, 30 * ms, false}}, 2 * ms},
		"twentyfold overload":              {[]arrivals{{"urgent", ms, 0, 500 * ms, true}, {"others", ms, 1, 100 * ms, false}}, 10 * ms},
	} {
		t.Run(name, func(t *testing.T) { checkFair(t, c.classes, c.slotInterval) })
	}
}

func checkFair(t *testing.T, classes []arrivals, slotInterval time.Duration) {
	t.Helper()
	each, all := simulate(classes, slotInterval)
	for i, share := range each {
		if share < all/4 {
			t.Errorf("%s: %.4f of its requests are admitted, %.4f of all: less than a quarter", classes[i].class, share, all)
		}
	}
}

// The same for drawn classes.
func TestNoDrawnClassStarves(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 7))
		var classes []arrivals
		var rate float64
		for i := range 2 + r.IntN(5) {
			c := arrivals{fmt.Sprint("class", i), time.Duration(1+r.IntN(20)) * ms, r.IntN(4), time.Duration(20+r.IntN(800)) * ms, r.IntN(2) == 0}
			classes = append(classes, c)
			rate += 1 / c.interval.Seconds()
		}
		slotInterval := time.Duration(float64(time.Second) * (1 + 7*r.Float64()) / rate)
		if checkFair(t, classes, slotInterval); t.Failed() {
			t.Fatalf("seed %d, a slot every %v: %+v", seed, slotInterval, classes)
		}
	}
}

// With capacity for all requests of the highest priority, these are still admitted first.
func TestHighPriorityIsAdmittedFirst(t *testing.T) {
	classes := []arrivals{{"urgent", 10 * ms, 0, 100 * ms, true}, {"others", 5 * ms, 1, 100 * ms, true}}
	each, _ := simulate(classes, 6*ms)
	if each[0] < 0.99 || slices.Max(each) != each[0] {
		t.Errorf("admitted are %.3f of the urgent and %.3f of the others", each[0], each[1])
	}
}

// Classes that come and go, as routes do over many configurations, are not kept without bound.
func TestClassesAreBounded(t *testing.T) {
	q := NewQueue(&testParams)
	for i := range 10 * maxClasses {
		entry := &Entry{Class: fmt.Sprint("class", i), QueueDeadline: start.Add(time.Second)}
		q.Push(entry)
		if i%2 == 0 {
			q.Admit(q.Next(start))
		}
		q.Remove(entry)
		q.CountAdmitted(entry)
	}
	if n := len(q.fairness.classes); n > maxClasses || len(q.fairness.queued) != 0 || q.Len() != 0 {
		t.Errorf("%d classes, %d of them queued, %d entries", n, len(q.fairness.queued), q.Len())
	}
}
