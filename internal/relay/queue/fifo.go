package queue

// chunkSize is how many elements of a FIFO share a piece of memory.
const chunkSize = 512

// FIFO is a queue that is read anywhere and never moves its elements: no Push takes longer than making one chunk, and
// what is popped is let go of. The zero value is empty.
type FIFO[T any] struct {
	chunks [][]T // the first is short of its first gone elements
	popped int
	count  int
}

// Len is the number of elements.
func (q *FIFO[T]) Len() int { return q.count }

// Push adds an element at the end.
func (q *FIFO[T]) Push(e T) {
	if n := len(q.chunks); n == 0 || len(q.chunks[n-1]) == chunkSize {
		q.chunks = append(q.chunks, make([]T, 0, chunkSize))
	}
	last := &q.chunks[len(q.chunks)-1]
	*last = append(*last, e)
	q.count++
}

// At is the element that i others are before; it panics if there is none.
func (q *FIFO[T]) At(i int) T {
	if i < 0 || i >= q.count {
		panic("queue: no such element")
	}
	i += q.popped
	return q.chunks[i/chunkSize][i%chunkSize]
}

// Pop takes the first element out, and panics if there is none.
func (q *FIFO[T]) Pop() T {
	first := q.At(0)
	var none T
	q.chunks[0][q.popped] = none
	q.popped++
	if q.count--; q.popped == chunkSize {
		q.chunks[0] = nil
		q.chunks, q.popped = q.chunks[1:], 0
	}
	return first
}
