package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// crowd is one kind of request under overload.
type crowd struct {
	name     string
	every    time.Duration // between two of them
	rank     int
	patience time.Duration
	program  bool // it has a time at which its program should be over
}

// overload plays 20 s in which a slot comes free so often, and tells how often each kind and all are served.
func overload(crowds []crowd, slot time.Duration) (each []float64, all float64) {
	q := NewQueue()
	came, served := make([]float64, len(crowds)), make([]float64, len(crowds))
	next := make([]time.Time, len(crowds))
	for i := range next {
		next[i] = began.Add(time.Duration(i) * time.Microsecond)
	}
	free, end := began, began.Add(20*time.Second)
	for {
		i := 0
		for j := range next {
			if next[j].Before(next[i]) {
				i = j
			}
		}
		if now := free; !now.After(next[i]) {
			if now.After(end) {
				break
			}
			if c := q.Next(now); c != nil {
				q.Admit(c)
				served[c.Value.(int)]++
			}
			free = free.Add(slot)
			continue
		}
		now := next[i]
		c := &Entry{Class: crowds[i].name, Priority: crowds[i].rank, QueueDeadline: now.Add(crowds[i].patience), Value: i}
		if crowds[i].program {
			c.ProgramDeadline = now.Add(5 * time.Second)
		}
		q.Push(c)
		came[i]++
		next[i] = now.Add(crowds[i].every)
	}
	var cameAll, servedAll float64
	for i := range crowds {
		each = append(each, served[i]/came[i])
		cameAll, servedAll = cameAll+came[i], servedAll+served[i]
	}
	return each, servedAll / cameAll
}

const ms = time.Millisecond

// No kind of request is served less than a quarter as often as all, however urgent and patient the others are.
func TestNoKindStarves(t *testing.T) {
	for name, c := range map[string]struct {
		crowds []crowd
		slot   time.Duration
	}{
		"the urgent wait for longer": {[]crowd{{"urgent", ms, 0, 2 * time.Second, true}, {"patient", 4 * ms, 1, 2 * time.Second, true},
			{"hasty", 4 * ms, 2, 50 * ms, false}}, 4 * ms},
		"tool calls beside calls of programs":   {[]crowd{{"turns", 2 * ms, 0, 50 * ms, true}, {"tools", 2 * ms, 0, 50 * ms, false}}, 4 * ms},
		"most are less urgent":                  {[]crowd{{"urgent", 5 * ms, 0, 200 * ms, true}, {"others", ms, 1, 200 * ms, true}}, 5 * ms},
		"one kind of many":                      {[]crowd{{"a", ms, 0, 100 * ms, true}, {"b", ms, 0, 100 * ms, true}, {"c", ms, 0, 100 * ms, true}, {"seldom", 100 * ms, 3, 30 * ms, false}}, 2 * ms},
		"twenty times what there are slots for": {[]crowd{{"urgent", ms, 0, 500 * ms, true}, {"others", ms, 1, 100 * ms, false}}, 10 * ms},
	} {
		t.Run(name, func(t *testing.T) { fair(t, c.crowds, c.slot) })
	}
}

func fair(t *testing.T, crowds []crowd, slot time.Duration) {
	t.Helper()
	each, all := overload(crowds, slot)
	for i, part := range each {
		if part < all/4 {
			t.Errorf("%s: %.4f of its calls are served, %.4f of all: under a quarter", crowds[i].name, part, all)
		}
	}
}

// The same for drawn crowds.
func TestNoKindStarvesInDrawnCrowds(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 7))
		var crowds []crowd
		var rate float64
		for i := range 2 + r.IntN(5) {
			c := crowd{fmt.Sprint("kind", i), time.Duration(1+r.IntN(20)) * ms, r.IntN(4), time.Duration(20+r.IntN(800)) * ms, r.IntN(2) == 0}
			crowds = append(crowds, c)
			rate += 1 / c.every.Seconds()
		}
		slot := time.Duration(float64(time.Second) * (1 + 7*r.Float64()) / rate)
		if fair(t, crowds, slot); t.Failed() {
			t.Fatalf("seed %d, a slot every %v: %+v", seed, slot, crowds)
		}
	}
}

// Where there is room for all the urgent, they still go first.
func TestTheUrgentGoFirst(t *testing.T) {
	crowds := []crowd{{"urgent", 10 * ms, 0, 100 * ms, true}, {"others", 5 * ms, 1, 100 * ms, true}}
	each, _ := overload(crowds, 6*ms)
	if each[0] < 0.99 || slices.Max(each) != each[0] {
		t.Errorf("served are %.3f of the urgent and %.3f of the others", each[0], each[1])
	}
}

// Kinds that come and go, as routes do over many configurations, are not remembered without bound.
func TestKindsAreForgotten(t *testing.T) {
	q := NewQueue()
	for i := range 10 * maxClasses {
		c := &Entry{Class: fmt.Sprint("kind", i), QueueDeadline: began.Add(time.Second)}
		q.Push(c)
		if i%2 == 0 {
			q.Admit(q.Next(began))
		}
		q.Remove(c)
		q.CountAdmitted(c)
	}
	if n := len(q.fairness.classes); n > maxClasses || len(q.fairness.queued) != 0 || q.Len() != 0 {
		t.Errorf("%d kinds, %d waiting, %d calls", n, len(q.fairness.queued), q.Len())
	}
}
