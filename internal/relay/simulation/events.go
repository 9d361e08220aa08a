package simulation

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time; events of one time run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }

func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}

func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *eventQueue) Push(e any) { *a = append(*a, e.(event)) }

func (a *eventQueue) Pop() any {
	old := *a
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*a = old[:len(old)-1]
	return e
}

func (w *world) at(t time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{max(t, w.now), w.sequence, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+max(0, d), do) }

// between draws a duration from [least, most).
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Float64()*float64(most-least))
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}
