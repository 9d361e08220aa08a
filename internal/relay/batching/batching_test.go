package batching

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Look wants no more than a batch, no earlier than the backlog needs.
func TestLook(t *testing.T) {
	for _, tc := range []struct {
		name  string
		due   []time.Duration // ten of each
		now   time.Duration
		must  int
		again time.Duration
	}{
		{"nothing", nil, 0, 0, 510 * ms},
		{"one batch", []time.Duration{55 * ms}, 0, 0, 510 * ms},
		{"two batches in one slot", []time.Duration{55 * ms, 55 * ms}, 0, 0, 40 * ms},
		{"at the latest start", []time.Duration{55 * ms, 55 * ms}, 40 * ms, 10, 50 * ms},
		{"a batch in each slot", []time.Duration{45 * ms, 55 * ms, 65 * ms}, 0, 0, 40 * ms},
		{"a burst moves earlier items", []time.Duration{45 * ms, 55 * ms, 55 * ms}, 0, 0, 30 * ms},
		{"more than fits in time", []time.Duration{5 * ms, 15 * ms, 15 * ms}, 0, 10, 10 * ms},
		{"beyond the look-ahead", []time.Duration{3000 * ms, 3000 * ms}, 0, 0, 510 * ms},
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
				t.Errorf("must do %d, call again at %v; want %d and %v", must, again, tc.must, tc.again)
			}
		})
	}
}

// Whatever falls due when: called at the times that it returns, a schedule never wants more than a batch, has nothing
// done late that could have been in time, and nothing earlier than its backlog makes necessary.
func TestBatchesMeetDeadlines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slot, batchSize, lookAhead = 10 * ms, 4, 400
		s := New(slot, batchSize, lookAhead)
		var due []time.Duration
		for i, burst := range rapid.SliceOfN(rapid.IntRange(0, 60), 1, 30).Draw(t, "bursts") {
			at := time.Duration(lookAhead/2+i)*slot + time.Duration(rapid.IntRange(0, 9).Draw(t, "at"))*ms
			for range burst {
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
			} else if used == batchSize {
				free, used = free-1, 0
			}
			used++
			latest[i] = free
		}
		if len(latest) > 0 && latest[0] < 0 {
			t.Skip("more than fits in time")
		}
		for now := time.Duration(0); len(due) > 0; {
			must, again := s.Look(now)
			if must > batchSize {
				t.Fatalf("%d items to be done at once", must)
			}
			present := int64(now / slot)
			for n := 0; len(due) > 0 && (n < must || due[0] < now+slot && int64(due[0]/slot) <= present); n++ {
				if n >= batchSize {
					t.Fatalf("the slot at %v has more than a batch", now)
				}
				if late := present > int64(due[0]/slot); late {
					t.Fatalf("due at %v, done at %v", due[0], now)
				}
				if present < latest[0]-1 {
					t.Fatalf("due at %v and done at %v, though %d is its latest slot", due[0], now, latest[0])
				}
				s.Remove(due[0])
				due, latest = due[1:], latest[1:]
			}
			if again <= now {
				t.Fatalf("at %v to be called again at %v", now, again)
			}
			if now = again; len(due) > 0 {
				now = min(now, due[0]/slot*slot)
			}
			now = max(now, time.Duration(present+1)*slot)
		}
		if s.Len() != 0 || len(s.countBySlot) != 0 {
			t.Fatalf("%d items left in %d slots", s.Len(), len(s.countBySlot))
		}
	})
}
