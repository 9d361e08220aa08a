package batching

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestLook(t *testing.T) {
	for _, tc := range []struct {
		name  string
		due   []time.Duration // ten of each
		now   time.Duration
		must  int
		again time.Duration
	}{
		{"nothing", nil, 0, 0, 510 * ms},
		{"one piece", []time.Duration{55 * ms}, 0, 0, 510 * ms},
		{"two pieces in one slot", []time.Duration{55 * ms, 55 * ms}, 0, 0, 40 * ms},
		{"their time has come", []time.Duration{55 * ms, 55 * ms}, 40 * ms, 10, 50 * ms},
		{"a piece in each slot", []time.Duration{45 * ms, 55 * ms, 65 * ms}, 0, 0, 40 * ms},
		{"they push what is before them", []time.Duration{45 * ms, 55 * ms, 55 * ms}, 0, 0, 30 * ms},
		{"more than there is time for", []time.Duration{5 * ms, 15 * ms, 15 * ms}, 0, 10, 10 * ms},
		{"beyond the look ahead", []time.Duration{3000 * ms, 3000 * ms}, 0, 0, 510 * ms},
		{"overdue", []time.Duration{45 * ms, 45 * ms}, 70 * ms, 0, 580 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New(10*ms, 10, 100)
			for _, at := range tc.due {
				for range 10 {
					s.Add(at)
				}
			}
			must, again := s.Look(tc.now)
			if must != tc.must || again != tc.again {
				t.Errorf("must do %d, look again at %v; want %d and %v", must, again, tc.must, tc.again)
			}
		})
	}
}

// Whatever falls due when: asked at the times that it names, a schedule never wants more than a piece, has nothing
// done late that could have been in time, and nothing sooner than its backlog makes necessary.
func TestInPiecesAndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slot, piece, ahead = 10 * ms, 4, 400
		s := New(slot, piece, ahead)
		var due []time.Duration
		for i, heap := range rapid.SliceOfN(rapid.IntRange(0, 60), 1, 30).Draw(t, "heaps") {
			at := time.Duration(ahead/2+i)*slot + time.Duration(rapid.IntRange(0, 9).Draw(t, "at"))*ms
			for range heap {
				due = append(due, at)
				s.Add(at)
			}
		}
		slices.Sort(due)
		// The latest start that any order may have, counted back from the end.
		latest := make([]int64, len(due))
		free, used := int64(1<<40), 0
		for i := len(due) - 1; i >= 0; i-- {
			at := int64(due[i] / slot)
			if at < free {
				free, used = at, 0
			} else if used == piece {
				free, used = free-1, 0
			}
			used++
			latest[i] = free
		}
		if len(latest) > 0 && latest[0] < 0 {
			t.Skip("more than there is time for")
		}
		for now := time.Duration(0); len(due) > 0; {
			must, again := s.Look(now)
			if must > piece {
				t.Fatalf("%d are to be done at once", must)
			}
			in := int64(now / slot)
			for n := 0; len(due) > 0 && (n < must || due[0] < now+slot && int64(due[0]/slot) <= in); n++ {
				if n >= piece {
					t.Fatalf("a slot at %v has more than a piece", now)
				}
				if late := in > int64(due[0]/slot); late {
					t.Fatalf("due at %v, done at %v", due[0], now)
				}
				if in < latest[0]-1 {
					t.Fatalf("due at %v and done at %v, though %d is its latest slot", due[0], now, latest[0])
				}
				s.Remove(due[0])
				due, latest = due[1:], latest[1:]
			}
			if again <= now {
				t.Fatalf("asked at %v to look again at %v", now, again)
			}
			if now = again; len(due) > 0 {
				now = min(now, due[0]/slot*slot)
			}
			now = max(now, time.Duration(in+1)*slot)
		}
		if s.Len() != 0 || len(s.count) != 0 {
			t.Fatalf("%d things left in %d slots", s.Len(), len(s.count))
		}
	})
}
