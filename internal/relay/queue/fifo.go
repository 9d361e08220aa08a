package queue

// chunk is how many elements of a FIFO share a piece of memory.
const chunk = 512

// FIFO is a queue that is read anywhere and never moves its elements: no Push takes longer than making one chunk, and
// what is popped is let go of. The zero value is empty.
type FIFO[T any] struct {
	chunks [][]T // the first is short of its first gone elements
	gone   int
	len    int
}

// Len is the number of elements.
func (q *FIFO[T]) Len() int { return q.len }

// Push adds an element at the end.
func (q *FIFO[T]) Push(e T) {
	if n := len(q.chunks); n == 0 || len(q.chunks[n-1]) == chunk {
		q.chunks = append(q.chunks, make([]T, 0, chunk))
	}
	last := &q.chunks[len(q.chunks)-1]
	*last = append(*last, e)
	q.len++
}

// At is the element that i others are before; it panics if there is none.
func (q *FIFO[T]) At(i int) T {
	if i < 0 || i >= q.len {
		panic("queue: no such element")
	}
	i += q.gone
	return q.chunks[i/chunk][i%chunk]
}

// Pop takes the first element out, and panics if there is none.
func (q *FIFO[T]) Pop() T {
	first := q.At(0)
	var none T
	q.chunks[0][q.gone] = none
	q.gone++
	if q.len--; q.gone == chunk {
		q.chunks[0] = nil
		q.chunks, q.gone = q.chunks[1:], 0
	}
	return first
}
