package standin

import (
	"testing"
	"time"
)

// A host's limit in virtual time: burst, rate, debt, concurrent calls, the warm-up and the overload during it.
func TestLimit(t *testing.T) {
	at := time.Unix(1000, 0)
	offer := func(l *limiter, n int, span time.Duration) (accepted int, overloaded bool) {
		for i := range n {
			ok, f := l.admit(at.Add(span * time.Duration(i) / time.Duration(n)))
			if overloaded = overloaded || f; ok {
				accepted++
				l.inProgress--
			}
		}
		at = at.Add(span)
		return accepted, overloaded
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
		t.Error("rejected calls do not count")
	}
	l = newLimiter(Limit{Rate: 100, Burst: 20, MaxConcurrent: 2}, at)
	for i, want := range []bool{true, true, false} {
		if ok, _ := l.admit(at); ok != want {
			t.Errorf("call %d at once: %v", i+1, ok)
		}
	}
	cold := Limit{Rate: 100, Burst: 10, ColdShare: 0.2, OverloadFactor: 2, Warmup: 10 * time.Second, Downtime: time.Second}
	l = newLimiter(cold, at)
	l.restart(at)
	if n, overloaded := offer(l, 25, time.Second); n < 19 || n > 25 || overloaded {
		t.Errorf("cold: %d, overloaded %v", n, overloaded)
	}
	l.restart(at)
	if _, overloaded := offer(l, 100, time.Second); !overloaded || l.overloads != 1 {
		t.Errorf("too many calls when cold: overloaded %v", overloaded)
	}
	l.restart(at)
	at = at.Add(11 * time.Second)
	offer(l, 1, time.Second)
	if n, overloaded := offer(l, 300, time.Second); n < 99 || overloaded {
		t.Errorf("warm again: %d, overloaded %v", n, overloaded)
	}
}

// An overloaded host comes back cold by itself, and not after it was taken down.
func TestOverloadedHostRestarts(t *testing.T) {
	h, err := NewHost("a", "z", NewLedger(time.Second), Behaviour{}, false)
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	h.SetLimit(Limit{Rate: 100, Burst: 10, ColdShare: 0.5, Warmup: time.Hour, OverloadFactor: 2, Downtime: time.Millisecond})
	h.wg.Go(h.restartOverloaded)
	for rate := 0.0; rate == 0 || rate > 60; rate, _ = h.Rate() {
		time.Sleep(time.Millisecond)
	}
	h.Down()
	if rate, _ := h.Rate(); rate != 0 {
		t.Errorf("accepts %v calls a second while it is down", rate)
	}
}
