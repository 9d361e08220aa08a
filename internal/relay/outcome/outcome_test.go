package outcome

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchrouter/internal/relay/journal"
)

func TestBoundedByNumberAndAge(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	s := New(3, 10*time.Second)
	for i := range 5 {
		now = now.Add(time.Second)
		gone := s.Add(&journal.Entry{ID: fmt.Sprint("m", i), EndAt: now.UnixMilli()}, now)
		if want := i >= 3; want != (len(gone) == 1) || want && gone[0] != fmt.Sprint("m", i-3) {
			t.Errorf("after %d: gone %v", i, gone)
		}
	}
	if s.Get("m1") != nil || s.Get("m2") == nil {
		t.Error("the oldest is kept, or a newer one is not")
	}
	if gone := s.Expire(now.Add(9 * time.Second)); !slices.Equal(gone, []string{"m2"}) {
		t.Errorf("too old: %v", gone)
	}
	if gone := New(0, time.Hour).Add(&journal.Entry{ID: "x", EndAt: now.UnixMilli()}, now); !slices.Equal(gone, []string{"x"}) {
		t.Errorf("a store that keeps none: %v", gone)
	}
}

// Pages of any size list what is held once each, newest first, whatever ends in between.
func TestPages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		s := New(rapid.IntRange(1, 20).Draw(t, "keep"), time.Hour)
		var held []string
		add := func() {
			id := fmt.Sprint("m", now.UnixMilli())
			now = now.Add(time.Millisecond)
			held = append(held, id)
			gone := s.Add(&journal.Entry{ID: id, EndAt: now.UnixMilli()}, now)
			held = slices.DeleteFunc(held, func(h string) bool { return slices.Contains(gone, h) })
		}
		for range rapid.IntRange(0, 30).Draw(t, "before") {
			add()
		}
		want := slices.Clone(held)
		slices.Reverse(want)
		var got []string
		for from, first := uint64(0), true; first || from > 0; first = false {
			from = s.Scan(from, rapid.IntRange(1, 5).Draw(t, "page"), func(e *journal.Entry) bool { got = append(got, e.ID); return true })
			if rapid.IntRange(0, 3).Draw(t, "more") == 0 {
				add()
			}
		}
		still := func(id string) bool { return s.Get(id) != nil }
		for _, id := range want {
			if n := len(slices.DeleteFunc(slices.Clone(got), func(g string) bool { return g != id })); n > 1 || n == 0 && still(id) {
				t.Fatalf("%s is listed %d times in %v", id, n, got)
			}
		}
		if !slices.IsSortedFunc(got, func(a, b string) int { return slices.Index(want, a) - slices.Index(want, b) }) {
			t.Fatalf("listed as %v, want the order of %v", got, want)
		}
	})
}
