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

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// runTimeline runs a timeline, one event per line: "MS EVENT", and the expected result after an arrow.
//
//	push NAME PRIORITY QUEUE_DEADLINE [PROGRAM_DEADLINE]   adds an entry
//	remove NAME                                            whether the entry was still queued
//	admit                                                  the next entry, which is admitted
//	len                                                    the number of entries
func runTimeline(t *testing.T, timeline string) {
	t.Helper()
	q := NewQueue(&testParams)
	known := map[string]*Entry{}
	for n, line := range strings.Split(strings.TrimSpace(timeline), "\n") {
		line, expected, _ := strings.Cut(line, "->")
		fields := strings.Fields(line)
		var numbers [6]int
		for i := range min(len(fields), len(numbers)) {
			numbers[i], _ = strconv.Atoi(fields[i])
		}
		now, got := at(numbers[0]), ""
		switch fields[1] {
		case "push":
			entry := &Entry{Priority: numbers[3], QueueDeadline: at(numbers[4]), Value: fields[2]}
			if len(fields) > 5 {
				entry.ProgramDeadline = at(numbers[5])
			}
			known[fields[2]] = entry
			q.Push(entry)
		case "remove":
			got = fmt.Sprint(q.Remove(known[fields[2]]))
		case "admit":
			got = "none"
			if entry := q.Next(now); entry != nil {
				q.Admit(entry)
				got = entry.Value.(string)
			}
		case "len":
			got = fmt.Sprint(q.Len())
		}
		if expected = strings.TrimSpace(expected); got != expected {
			t.Fatalf("line %d: %q gives %q, want %q", n+1, line, got, expected)
		}
	}
}

func TestQueueTimelines(t *testing.T) {
	for name, timeline := range map[string]string{
		"by priority, then by arrival": `
			0 admit -> none
			0 push a 1 99
			0 push b 0 99
			0 push c 1 99
			0 push d 0 99
			0 len -> 4
			1 admit -> b
			1 admit -> d
			1 admit -> a
			1 admit -> c
			1 admit -> none`,
		"within a priority, by program deadline": `
			0 push a 0 99
			0 push b 0 99 900
			0 push c 0 99 300
			0 push d 1 99 10
			1 admit -> c
			1 admit -> b
			1 admit -> a
			1 admit -> d`,
		"expired and removed entries are skipped": `
			0 push a 0 10
			0 push b 0 50
			0 push c 1 50
			9 remove b -> true
			9 remove b -> false
			9 len -> 2
			10 admit -> c
			10 remove a -> false
			10 len -> 0`,
		"every sixth admission is the oldest entry": `
			0 push low 9 99
			0 push a 0 99
			0 push b 0 99
			0 push c 0 99
			0 push d 0 99
			0 push e 0 99
			0 push f 0 99
			1 admit -> a
			1 admit -> b
			1 admit -> c
			1 admit -> d
			1 admit -> e
			1 admit -> low
			1 admit -> f`,
		"the oldest entry may have been removed": `
			0 push low 9 99
			0 push lower 9 99
			0 push a 0 99
			0 push b 0 99
			0 push c 0 99
			0 push d 0 99
			0 push e 0 99
			0 push f 0 99
			0 remove low -> true
			1 admit -> a
			1 admit -> b
			1 admit -> c
			1 admit -> d
			1 admit -> e
			1 admit -> lower
			1 admit -> f`,
	} {
		t.Run(name, func(t *testing.T) { runTimeline(t, timeline) })
	}
}

// The queue against a model: a sorted list of entries.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(&testParams)
		var model []*Entry // by arrival
		admitted, now := 0, 0
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.IntRange(0, 5).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				c := &Entry{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), QueueDeadline: at(now + rapid.IntRange(1, 40).Draw(t, "queue time-out")), Value: i}
				if rapid.Bool().Draw(t, "program") {
					c.ProgramDeadline = at(rapid.IntRange(0, 9).Draw(t, "program deadline"))
				}
				q.Push(c)
				model = append(model, c)
			case 2:
				if len(model) > 0 {
					i := rapid.IntRange(0, len(model)-1).Draw(t, "removed")
					q.Remove(model[i])
					model = slices.Delete(model, i, i+1)
				}
			default:
				// Expired entries are removed only once they are at the head.
				var due *Entry
				for due == nil && len(model) > 0 {
					sorted := slices.SortedStableFunc(slices.Values(model), func(a, b *Entry) int {
						far := start.Add(time.Hour)
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
					if uint64(admitted)%testParams.OldestInterval == testParams.OldestInterval-1 {
						head = model[0]
					}
					if at(now).Before(head.QueueDeadline) {
						due = head
					} else {
						model = slices.DeleteFunc(model, func(c *Entry) bool { return c == head })
					}
				}
				got := q.Next(at(now))
				if got != due {
					t.Fatalf("next is %v, want %v", valueOf(got), valueOf(due))
				}
				if got != nil {
					q.Admit(got)
					admitted++
					model = slices.DeleteFunc(model, func(c *Entry) bool { return c == got })
				}
			}
			if q.Len() != len(model) {
				t.Fatalf("%d entries, want %d", q.Len(), len(model))
			}
		}
	})
}

func valueOf(c *Entry) any {
	if c == nil {
		return nil
	}
	return c.Value
}

// Under an endless load of higher priorities, every entry is admitted in the end.
func TestLowPriorityIsAdmitted(t *testing.T) {
	q := NewQueue(&testParams)
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
	t.Error("an entry of low priority is never admitted")
}

func TestQueueTimeout(t *testing.T) {
	for _, c := range []struct{ target, remaining, want time.Duration }{
		{200 * time.Millisecond, time.Second, 38 * time.Millisecond},
		{800 * time.Millisecond, time.Second, 188 * time.Millisecond},
		{800 * time.Millisecond, 50 * time.Millisecond, 50 * time.Millisecond},
		{0, time.Second, testParams.MinQueueTimeout},
		{200 * time.Millisecond, 0, 0},
	} {
		if got := testParams.QueueTimeout(c.target, c.remaining); got != c.want {
			t.Errorf("queue time-out with a target of %v and %v remaining is %v, want %v", c.target, c.remaining, got, c.want)
		}
	}
}

func TestRetryAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := time.Duration(rapid.IntRange(0, 100_000).Draw(t, "target")) * time.Millisecond
		queued, capacity := rapid.IntRange(0, 1000).Draw(t, "queued"), rapid.Float64Range(0, 1000).Draw(t, "capacity")
		jitter := rapid.Float64Range(0, 0.999).Draw(t, "jitter")
		d := RetryAfter(target, queued, capacity, jitter)
		if d < 37*time.Millisecond || d > 1250*time.Millisecond {
			t.Fatalf("Retry-After is %v", d)
		}
		if more := RetryAfter(target, queued+1, capacity, jitter); more < d {
			t.Fatalf("with one more queued Retry-After is %v, less than %v", more, d)
		}
	})
}
