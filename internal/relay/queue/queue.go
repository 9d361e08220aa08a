// Package queue has ordered structures for elements that enter, change and leave at any time: a heap whose
// elements know their places, and a sorted set. Neither decides anything, and neither is safe for
// concurrent use.
package queue

import "github.com/google/btree"

// Place is where an element stands in one Heap. The zero value is that of an element in none.
type Place int

// In tells whether the element is in the heap.
func (p Place) In() bool { return p > 0 }

// Heap is a binary heap (Williams 1964) that finds the least element at once, and adds, moves or removes any
// in a time that grows with the logarithm of their number. It needs a word for each.
type Heap[T any] struct {
	elements []T
	less     func(a, b T) bool
	position func(T) *Place
}

// NewHeap returns an empty heap. Less is a strict order; place names the field of an element in which this
// heap keeps where it stands, and which nothing else may write.
func NewHeap[T any](less func(a, b T) bool, place func(T) *Place) *Heap[T] {
	return &Heap[T]{less: less, position: place}
}

// Len is the number of elements.
func (h *Heap[T]) Len() int { return len(h.elements) }

// Min is the least element; false if there is none. It costs the same for any number.
func (h *Heap[T]) Min() (least T, ok bool) {
	if len(h.elements) == 0 {
		return least, false
	}
	return h.elements[0], true
}

// Set puts an element where it belongs, whether it is new or its order has changed.
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

// Remove takes an element out; one that is not in does nothing.
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

func (h *Heap[T]) swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.position(h.elements[i]), *h.position(h.elements[j]) = Place(i+1), Place(j+1)
}

// up moves an element towards the least, and tells whether it moved.
func (h *Heap[T]) up(i int) bool {
	from := i
	for i > 0 && h.less(h.elements[i], h.elements[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	return i != from
}

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

// Sorted is a set in order, a B-tree. Every operation takes a time that grows with the logarithm of the
// number of its elements; an empty set holds no node.
type Sorted[T any] struct {
	tree *btree.BTreeG[T]
	less func(a, b T) bool
}

// treeDegree of the trees: nodes of 16 to 31 elements, some 300 bytes of pointers.
const treeDegree = 16

// NewSorted returns an empty set. Less is a strict order in which no two elements of the set are equal, and
// that of an element must not change while it is in.
func NewSorted[T any](less func(a, b T) bool) *Sorted[T] {
	return &Sorted[T]{btree.NewWithFreeListG(treeDegree, less, btree.NewFreeListG[T](0)), less}
}

// Len is the number of elements.
func (s *Sorted[T]) Len() int { return s.tree.Len() }

// Add puts an element in.
func (s *Sorted[T]) Add(e T) { s.tree.ReplaceOrInsert(e) }

// Remove takes an element out; one that is not in does nothing.
func (s *Sorted[T]) Remove(e T) { s.tree.Delete(e) }

// Min is the first element; false if there is none.
func (s *Sorted[T]) Min() (T, bool) { return s.tree.Min() }

// From is the first element that is not before a pivot; false if there is none. The pivot need not be in.
func (s *Sorted[T]) From(pivot T) (first T, ok bool) {
	s.tree.AscendGreaterOrEqual(pivot, func(e T) bool { first, ok = e, true; return false })
	return first, ok
}

// Before is the last element that is before a pivot; false if there is none. The pivot need not be in.
func (s *Sorted[T]) Before(pivot T) (last T, ok bool) {
	s.tree.DescendLessOrEqual(pivot, func(e T) bool {
		if ok = s.less(e, pivot); ok {
			last = e
		}
		return !ok
	})
	return last, ok
}
