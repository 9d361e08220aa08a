package admission

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var began = time.Unix(1000, 0)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// play runs a timeline, a line for each moment: "ms  event" and, behind an arrow, what is told.
//
//	push NAME RANK UNTIL [FINISH]   a call, that waits until, and whose program should be over at FINISH
//	leave NAME                      whether it was still there
//	take                            the one whose turn it is
//	len                             how many wait
func play(t *testing.T, timeline string) {
	t.Helper()
	q := NewQueue()
	known := map[string]*Entry{}
	for n, line := range strings.Split(strings.TrimSpace(timeline), "\n") {
		line, wanted, _ := strings.Cut(line, "->")
		f := strings.Fields(line)
		var num [6]int
		for i := range min(len(f), len(num)) {
			num[i], _ = strconv.Atoi(f[i])
		}
		now, got := at(num[0]), ""
		switch f[1] {
		case "push":
			c := &Entry{Priority: num[3], QueueDeadline: at(num[4]), Value: f[2]}
			if len(f) > 5 {
				c.ProgramDeadline = at(num[5])
			}
			known[f[2]] = c
			q.Push(c)
		case "leave":
			got = fmt.Sprint(q.Remove(known[f[2]]))
		case "take":
			got = "none"
			if c := q.Next(now); c != nil {
				q.Admit(c)
				got = c.Value.(string)
			}
		case "len":
			got = fmt.Sprint(q.Len())
		}
		if wanted = strings.TrimSpace(wanted); got != wanted {
			t.Fatalf("line %d: %q gives %q, want %q", n+1, line, got, wanted)
		}
	}
}

func TestTimelines(t *testing.T) {
	for name, text := range map[string]string{
		"by rank, then as they came": `
			0 take -> none
			0 push a 1 99
			0 push b 0 99
			0 push c 1 99
			0 push d 0 99
			0 len -> 4
			1 take -> b
			1 take -> d
			1 take -> a
			1 take -> c
			1 take -> none`,
		"within a rank, the program with the least left": `
			0 push a 0 99
			0 push b 0 99 900
			0 push c 0 99 300
			0 push d 1 99 10
			1 take -> c
			1 take -> b
			1 take -> a
			1 take -> d`,
		"who has waited long enough, or has left, is passed over": `
			0 push a 0 10
			0 push b 0 50
			0 push c 1 50
			9 leave b -> true
			9 leave b -> false
			9 len -> 2
			10 take -> c
			10 leave a -> false
			10 len -> 0`,
		"each sixth turn goes to the one that waits longest": `
			0 push low 9 99
			0 push a 0 99
			0 push b 0 99
			0 push c 0 99
			0 push d 0 99
			0 push e 0 99
			0 push f 0 99
			1 take -> a
			1 take -> b
			1 take -> c
			1 take -> d
			1 take -> e
			1 take -> low
			1 take -> f`,
		"the one that waits longest may have left": `
			0 push low 9 99
			0 push lower 9 99
			0 push a 0 99
			0 push b 0 99
			0 push c 0 99
			0 push d 0 99
			0 push e 0 99
			0 push f 0 99
			0 leave low -> true
			1 take -> a
			1 take -> b
			1 take -> c
			1 take -> d
			1 take -> e
			1 take -> lower
			1 take -> f`,
	} {
		t.Run(name, func(t *testing.T) { play(t, text) })
	}
}

// The queue against a plain list of what waits.
func TestAgainstAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		var all []*Entry // as they came
		taken, now := 0, 0
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.IntRange(0, 5).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				c := &Entry{Priority: rapid.IntRange(0, 3).Draw(t, "rank"), QueueDeadline: at(now + rapid.IntRange(1, 40).Draw(t, "patience")), Value: i}
				if rapid.Bool().Draw(t, "program") {
					c.ProgramDeadline = at(rapid.IntRange(0, 9).Draw(t, "finish"))
				}
				q.Push(c)
				all = append(all, c)
			case 2:
				if len(all) > 0 {
					i := rapid.IntRange(0, len(all)-1).Draw(t, "left")
					q.Remove(all[i])
					all = slices.Delete(all, i, i+1)
				}
			default:
				// What is at the head may have waited too long; what is behind it is dropped only once it is at the head.
				var due *Entry
				for due == nil && len(all) > 0 {
					sorted := slices.SortedStableFunc(slices.Values(all), func(a, b *Entry) int {
						far := began.Add(time.Hour)
						fa, fb := a.ProgramDeadline, b.ProgramDeadline
						if fa.IsZero() {
							fa = far
						}
						if fb.IsZero() {
							fb = far
						}
						return cmp.Or(cmp.Compare(a.Priority, b.Priority), fa.Compare(fb))
					})
					head := sorted[0]
					if taken%oldestInterval == oldestInterval-1 {
						head = all[0]
					}
					if at(now).Before(head.QueueDeadline) {
						due = head
					} else {
						all = slices.DeleteFunc(all, func(c *Entry) bool { return c == head })
					}
				}
				got := q.Next(at(now))
				if got != due {
					t.Fatalf("the turn is of %v, want %v", tag(got), tag(due))
				}
				if got != nil {
					q.Admit(got)
					taken++
					all = slices.DeleteFunc(all, func(c *Entry) bool { return c == got })
				}
			}
			if q.Len() != len(all) {
				t.Fatalf("%d wait, want %d", q.Len(), len(all))
			}
		}
	})
}

func tag(c *Entry) any {
	if c == nil {
		return nil
	}
	return c.Value
}

// No class starves: under a load of higher ranks without end, every call gets its turn.
func TestNobodyStarves(t *testing.T) {
	q := NewQueue()
	low := &Entry{Priority: 9, QueueDeadline: at(1 << 30), Value: "low"}
	for i := range 20 {
		q.Push(&Entry{QueueDeadline: at(1 << 30), Value: i})
	}
	q.Push(low)
	for i := range 400 {
		c := q.Next(at(i))
		q.Admit(c)
		if c == low {
			return
		}
		q.Push(&Entry{QueueDeadline: at(1 << 30), Value: i})
	}
	t.Error("a call of a low rank never got its turn")
}

func TestPatience(t *testing.T) {
	for _, c := range []struct{ objective, left, want time.Duration }{
		{200 * time.Millisecond, time.Second, 38 * time.Millisecond},
		{800 * time.Millisecond, time.Second, 188 * time.Millisecond},
		{800 * time.Millisecond, 50 * time.Millisecond, 50 * time.Millisecond},
		{0, time.Second, minQueueTimeout},
		{200 * time.Millisecond, 0, 0},
	} {
		if got := QueueTimeout(c.objective, c.left); got != c.want {
			t.Errorf("patience with an objective of %v and %v left is %v, want %v", c.objective, c.left, got, c.want)
		}
	}
}

func TestRetryAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objective := time.Duration(rapid.IntRange(0, 100_000).Draw(t, "objective")) * time.Millisecond
		waiting, places := rapid.IntRange(0, 1000).Draw(t, "waiting"), rapid.Float64Range(0, 1000).Draw(t, "places")
		r := rapid.Float64Range(0, 0.999).Draw(t, "r")
		d := RetryAfter(objective, waiting, places, r)
		if d < 37*time.Millisecond || d > 1250*time.Millisecond {
			t.Fatalf("a refused client is told %v", d)
		}
		if more := RetryAfter(objective, waiting+1, places, r); more < d {
			t.Fatalf("with one more waiting it is told %v, not %v", more, d)
		}
	})
}
