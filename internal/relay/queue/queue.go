// Package queue has ordered collections: a heap whose elements store their own index, a sorted set, and a FIFO queue. None is
// safe for concurrent use.
package queue

import "github.com/google/btree"

// Place is the index of an element in one Heap, from 1; 0 if the element is in none.
type Place int

// In reports whether the element is in the heap.
func (p Place) In() bool { return p > 0 }

// Heap is a binary heap (Williams 1964). Min takes constant time; Set and Remove take logarithmic time for any element.
//
// Invariant: the Place of each element is its index in elements plus one.
type Heap[T any] struct {
	elements []T
	less     func(a, b T) bool
	position func(T) *Place
}

// NewHeap returns an empty heap. less is a strict order. position returns the field of an element in which this heap stores
// its index; nothing else may write that field.
func NewHeap[T any](less func(a, b T) bool, position func(T) *Place) *Heap[T] {
	return &Heap[T]{less: less, position: position}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.elements) }

// Min returns the least element, or false if there is none.
func (h *Heap[T]) Min() (least T, ok bool) {
	if len(h.elements) == 0 {
		return least, false
	}
	return h.elements[0], true
}

// Set adds an element, or restores the order after the element has changed.
func (h *Heap[T]) Set(e T) {
	p := h.position(e)
	if !p.In() {
		h.elements = append(h.elements, e)
		*p = Place(len(h.elements))
	}
	i := int(*p) - 1
	if !h.up(i) {
		h.down(i)
	}
}

// Remove removes an element if it is present.
func (h *Heap[T]) Remove(e T) {
	p := h.position(e)
	if !p.In() {
		return
	}
	i, last := int(*p)-1, len(h.elements)-1
	h.swap(i, last)
	var none T
	h.elements[last] = none
	h.elements = h.elements[:last]
	if *p = 0; i < last && !h.up(i) {
		h.down(i)
	}
}

// swap exchanges two elements and updates their indexes.
func (h *Heap[T]) swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.position(h.elements[i]), *h.position(h.elements[j]) = Place(i+1), Place(j+1)
}

// up moves an element towards the root, and reports whether it moved.
func (h *Heap[T]) up(i int) bool {
	from := i
	for i > 0 && h.less(h.elements[i], h.elements[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	return i != from
}

// down moves an element away from the root while a child is less.
func (h *Heap[T]) down(i int) {
	for {
		next := 2*i + 1
		if next >= len(h.elements) {
			return
		}
		if next+1 < len(h.elements) && h.less(h.elements[next+1], h.elements[next]) {
			next++
		}
		if !h.less(h.elements[next], h.elements[i]) {
			return
		}
		h.swap(i, next)
		i = next
	}
}

// Sorted is a sorted set, implemented as a B-tree. Every operation takes logarithmic time; an empty set has no nodes.
type Sorted[T any] struct {
	tree *btree.BTreeG[T]
	less func(a, b T) bool
}

// treeDegree gives nodes of 16 to 31 elements, some 300 bytes of pointers.
const treeDegree = 16

// NewSorted returns an empty set. less is a strict total order of the elements; it must not change for an element while that
// is in the set.
func NewSorted[T any](less func(a, b T) bool) *Sorted[T] {
	return &Sorted[T]{btree.NewWithFreeListG(treeDegree, less, btree.NewFreeListG[T](0)), less}
}

// Len returns the number of elements.
func (s *Sorted[T]) Len() int { return s.tree.Len() }

// Add adds an element.
func (s *Sorted[T]) Add(e T) { s.tree.ReplaceOrInsert(e) }

// Remove removes an element if it is present.
func (s *Sorted[T]) Remove(e T) { s.tree.Delete(e) }

// Min returns the first element, or false if there is none.
func (s *Sorted[T]) Min() (T, bool) { return s.tree.Min() }

// From returns the first element that is not before a pivot, or false if there is none. The pivot need not be in the set.
func (s *Sorted[T]) From(pivot T) (first T, ok bool) {
	s.tree.AscendGreaterOrEqual(pivot, func(e T) bool { first, ok = e, true; return false })
	return first, ok
}

// Before returns the last element that is before a pivot, or false if there is none. The pivot need not be in the set.
func (s *Sorted[T]) Before(pivot T) (last T, ok bool) {
	s.tree.DescendLessOrEqual(pivot, func(e T) bool {
		if ok = s.less(e, pivot); ok {
			last = e
		}
		return !ok
	})
	return last, ok
}
