package discovery

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// randomList draws a list of up to twelve hosts.
func randomList(t *rapid.T, term, number int64) *List {
	l := &List{Term: term, Number: number, Hosts: []Host{}}
	for i := range 12 {
		if rapid.Bool().Draw(t, "listed") {
			phase := rapid.SampledFrom([]string{Ready, Draining}).Draw(t, "phase")
			warmup := rapid.IntRange(0, 1).Draw(t, "warmup")
			l.Hosts = append(l.Hosts, Host{ID: fmt.Sprintf("i%02d", i), Addr: "a", Phase: phase, WarmupMs: warmup})
		}
	}
	return l
}

func TestHistorySinceAnyKnownList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		lists := []*List{randomList(t, 1, 1)}
		h.Add(nil, lists[0])
		for i := range rapid.IntRange(1, 80).Draw(t, "changes") {
			next := randomList(t, int64(1+i/10), int64(2+i%10))
			h.Add(lists[len(lists)-1], next)
			lists = append(lists, next)
		}
		newest := lists[len(lists)-1]
		known := 0
		for i, l := range lists[:len(lists)-1] {
			d, ok := h.Since(l.Term, l.Number)
			if !ok {
				if i >= len(lists)-1-maxDeltas {
					t.Fatalf("list %d of %d is unknown", i, len(lists))
				}
				continue
			}
			known++
			got, ok := l.Apply(d)
			if !ok || !reflect.DeepEqual(got, newest) {
				t.Fatalf("from list %d: %+v, want %+v", i, got, newest)
			}
			for _, host := range d.Changed {
				if slices.Contains(d.Removed, host.ID) {
					t.Fatal("a host is changed and removed")
				}
			}
		}
		if known == 0 {
			t.Fatal("no list is known")
		}
	})
}

func TestApplyRejectsDeltaOfAnotherList(t *testing.T) {
	a, b := &List{Term: 1, Number: 1}, &List{Term: 1, Number: 2, Hosts: []Host{{ID: "x"}}}
	if _, ok := b.Apply(Diff(a, b)); ok {
		t.Error("a delta of another list was applied")
	}
	var none *List
	if _, ok := none.Apply(Diff(a, b)); ok {
		t.Error("a delta was applied to nil")
	}
}
