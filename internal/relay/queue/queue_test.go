package queue

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type element struct {
	key, id int
	place   Place
}

func order(a, b *element) int { return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.id, b.id)) }
func less(a, b *element) bool { return order(a, b) < 0 }

// Heap and Sorted have the same elements in the same order as a sorted slice, after any sequence of operations.
func TestHeapAndSortedMatchSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heap := NewHeap(less, func(e *element) *Place { return &e.place })
		sorted := NewSorted(less)
		var plain []*element
		key := rapid.IntRange(0, 40)
		some := func(t *rapid.T) *element { return rapid.SampledFrom(plain).Draw(t, "element") }
		ids := rapid.IntRange(0, 300).Draw(t, "elements at first") // more than fit in one node
		for id := range ids {
			e := &element{key: id % 40, id: id + 1}
			plain = append(plain, e)
			heap.Set(e)
			sorted.Add(e)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				ids++
				e := &element{key: key.Draw(t, "key"), id: ids}
				plain = append(plain, e)
				heap.Set(e)
				sorted.Add(e)
			},
			"change": func(t *rapid.T) {
				if len(plain) == 0 {
					t.Skip("empty")
				}
				e := some(t)
				sorted.Remove(e)
				e.key = key.Draw(t, "key")
				sorted.Add(e)
				heap.Set(e)
			},
			"remove": func(t *rapid.T) {
				if len(plain) == 0 {
					t.Skip("empty")
				}
				e := some(t)
				plain = slices.DeleteFunc(plain, func(o *element) bool { return o == e })
				for range 2 { // the second time it is absent
					heap.Remove(e)
					sorted.Remove(e)
				}
				if e.place.In() {
					t.Fatal("still has a place")
				}
			},
			"": func(t *rapid.T) {
				slices.SortFunc(plain, order)
				same := func(what string, got *element, ok bool, want []*element) {
					if ok != (len(want) > 0) || ok && got != want[0] {
						t.Fatalf("%s: %v %v, want the first of %v", what, got, ok, want)
					}
				}
				least, ok := heap.Min()
				same("least of the heap", least, ok, plain)
				least, ok = sorted.Min()
				same("least of the set", least, ok, plain)
				if heap.Len() != len(plain) || sorted.Len() != len(plain) {
					t.Fatalf("%d and %d elements, want %d", heap.Len(), sorted.Len(), len(plain))
				}
				pivot := &element{key: key.Draw(t, "pivot"), id: rapid.IntRange(0, ids+1).Draw(t, "pivot's id")}
				at, _ := slices.BinarySearchFunc(plain, pivot, order)
				first, ok := sorted.From(pivot)
				same("from the pivot", first, ok, plain[at:])
				last, ok := sorted.Before(pivot)
				before := slices.Clone(plain[:at])
				slices.Reverse(before)
				same("before the pivot", last, ok, before)
			},
		})
		for range plain { // emptied from the least, it is in order
			e, _ := heap.Min()
			if e != plain[0] {
				t.Fatalf("%v came out of the heap, want %v", e, plain[0])
			}
			heap.Remove(e)
			plain = plain[1:]
		}
	})
}

// BenchmarkHeap measures one removal and one insertion among n elements.
func BenchmarkHeap(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := NewHeap(less, func(e *element) *Place { return &e.place })
			all := make([]*element, n)
			for i := range all {
				all[i] = &element{key: i * 7919 % n, id: i}
				h.Set(all[i])
			}
			for i := 0; b.Loop(); i++ {
				h.Remove(all[i%n])
				h.Set(all[i%n])
			}
		})
	}
}

// A FIFO has the same elements as a slice, after any sequence of pushes and pops.
func TestFIFOMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q FIFO[int]
		var plain []int
		next := 0
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			for range rapid.IntRange(0, 2*chunkSize).Draw(t, "pushes") {
				q.Push(next)
				plain = append(plain, next)
				next++
			}
			for range rapid.IntRange(0, len(plain)).Draw(t, "pops") {
				if got := q.Pop(); got != plain[0] {
					t.Fatalf("popped %d, want %d", got, plain[0])
				}
				plain = plain[1:]
			}
			if q.Len() != len(plain) {
				t.Fatalf("%d elements, want %d", q.Len(), len(plain))
			}
			for i, want := range plain {
				if got := q.At(i); got != want {
					t.Fatalf("%d at %d, want %d", got, i, want)
				}
			}
		}
	})
}
