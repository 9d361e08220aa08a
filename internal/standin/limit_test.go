package standin

import (
	"testing"
	"time"
)

// A host's limit by virtual time: burst, rate, debt, calls at once, a cold return and the fall of one that is pushed.
func TestLimit(t *testing.T) {
	at := time.Unix(1000, 0)
	offer := func(l *limiter, n int, span time.Duration) (taken int, fell bool) {
		for i := range n {
			ok, f := l.admit(at.Add(span * time.Duration(i) / time.Duration(n)))
			if fell = fell || f; ok {
				taken++
				l.busy--
			}
		}
		at = at.Add(span)
		return taken, fell
	}
	l := newLimiter(Limit{Rate: 100, Burst: 20}, at)
	if n, _ := offer(l, 1000, time.Second); n < 118 || n > 121 {
		t.Errorf("in the first second with a burst of 20: %d", n)
	}
	if n, _ := offer(l, 1000, time.Second); n < 99 || n > 101 {
		t.Errorf("in the next: %d", n)
	}
	l.factor = 0.5
	if n, _ := offer(l, 1000, time.Second); n < 49 || n > 51 {
		t.Errorf("at half: %d", n)
	}
	l = newLimiter(Limit{Rate: 100, Burst: 20, Debt: 30}, at)
	offer(l, 1000, time.Second)
	at = at.Add(200 * time.Millisecond) // 20 calls of room, and 30 of debt
	if ok, _ := l.admit(at); ok {
		t.Error("refused calls do not use the limit up")
	}
	l = newLimiter(Limit{Rate: 100, Burst: 20, AtOnce: 2}, at)
	for i, want := range []bool{true, true, false} {
		if ok, _ := l.admit(at); ok != want {
			t.Errorf("call %d at once: %v", i+1, ok)
		}
	}
	cold := Limit{Rate: 100, Burst: 10, ColdFrom: 0.2, Factor: 2, Cold: 10 * time.Second, Fall: time.Second}
	l = newLimiter(cold, at)
	l.returned(at)
	if n, fell := offer(l, 25, time.Second); n < 19 || n > 25 || fell {
		t.Errorf("cold: %d, fell %v", n, fell)
	}
	l.returned(at)
	if _, fell := offer(l, 100, time.Second); !fell || l.falls != 1 {
		t.Errorf("pushed when cold: fell %v", fell)
	}
	l.returned(at)
	at = at.Add(11 * time.Second)
	offer(l, 1, time.Second)
	if n, fell := offer(l, 300, time.Second); n < 99 || fell {
		t.Errorf("warm again: %d, fell %v", n, fell)
	}
}

// A host that falls comes back cold by itself, and not after it was closed.
func TestFall(t *testing.T) {
	h, err := NewHost("a", "z", NewLedger(time.Second), Behaviour{}, false)
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	h.SetLimit(Limit{Rate: 100, Burst: 10, ColdFrom: 0.5, Cold: time.Hour, Factor: 2, Fall: time.Millisecond})
	h.wg.Go(h.fall)
	for rate := 0.0; rate == 0 || rate > 60; rate, _ = h.Takes() {
		time.Sleep(time.Millisecond)
	}
	h.Down()
	if rate, _ := h.Takes(); rate != 0 {
		t.Errorf("takes %v when down", rate)
	}
}
