package outcome

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchrouter/internal/relay/journal"
)

// A store keeps the newest entries within its bounds, and returns the ids that it drops.
func TestBoundedByNumberAndAge(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	s := New(3, 10*time.Second)
	for i := range 5 {
		now = now.Add(time.Second)
		dropped := s.Add(&journal.Entry{ID: fmt.Sprint("m", i), EndAt: now.UnixMilli()}, now)
		if want := i >= 3; want != (len(dropped) == 1) || want && dropped[0] != fmt.Sprint("m", i-3) {
			t.Errorf("after %d: dropped %v", i, dropped)
		}
	}
	if s.Get("m1") != nil || s.Get("m2") == nil {
		t.Error("the oldest entry is stored, or a newer one is not")
	}
	if dropped := s.Expire(now.Add(9 * time.Second)); !slices.Equal(dropped, []string{"m2"}) {
		t.Errorf("expired %v, want m2", dropped)
	}
	dropped := New(0, time.Hour).Add(&journal.Entry{ID: "x", EndAt: now.UnixMilli()}, now)
	if !slices.Equal(dropped, []string{"x"}) {
		t.Errorf("a store of no entries: %v", dropped)
	}
}

// Scans in pages of any size return each stored entry once, newest first, whatever is added in between.
func TestScanInPages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		s := New(rapid.IntRange(1, 20).Draw(t, "keep"), time.Hour)
		var stored []string
		add := func() {
			id := fmt.Sprint("m", now.UnixMilli())
			now = now.Add(time.Millisecond)
			stored = append(stored, id)
			dropped := s.Add(&journal.Entry{ID: id, EndAt: now.UnixMilli()}, now)
			stored = slices.DeleteFunc(stored, func(id string) bool { return slices.Contains(dropped, id) })
		}
		for range rapid.IntRange(0, 30).Draw(t, "before") {
			add()
		}
		want := slices.Clone(stored)
		slices.Reverse(want)
		var got []string
		for from, first := uint64(0), true; first || from > 0; first = false {
			from = s.Scan(from, rapid.IntRange(1, 5).Draw(t, "page"), func(e *journal.Entry) bool { got = append(got, e.ID); return true })
			if rapid.IntRange(0, 3).Draw(t, "more") == 0 {
				add()
			}
		}
		isStored := func(id string) bool { return s.Get(id) != nil }
		for _, id := range want {
			if n := len(slices.DeleteFunc(slices.Clone(got), func(g string) bool { return g != id })); n > 1 || n == 0 && isStored(id) {
				t.Fatalf("%s is listed %d times in %v", id, n, got)
			}
		}
		if !slices.IsSortedFunc(got, func(a, b string) int { return slices.Index(want, a) - slices.Index(want, b) }) {
			t.Fatalf("listed as %v, want the order of %v", got, want)
		}
	})
}
