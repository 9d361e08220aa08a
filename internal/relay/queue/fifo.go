package queue

// chunkSize is the number of elements in one chunk of a FIFO.
const chunkSize = 512

// FIFO is a queue with access by index. It never moves its elements, so that a Push allocates one chunk at most, and it keeps
// no reference to popped elements. The zero value is an empty queue.
type FIFO[T any] struct {
	chunks [][]T // the first popped elements of the first chunk are zero
	popped int
	count  int
}

// Len returns the number of elements.
func (q *FIFO[T]) Len() int { return q.count }

// Push appends an element.
func (q *FIFO[T]) Push(e T) {
	if n := len(q.chunks); n == 0 || len(q.chunks[n-1]) == chunkSize {
		q.chunks = append(q.chunks, make([]T, 0, chunkSize))
	}
	last := &q.chunks[len(q.chunks)-1]
	*last = append(*last, e)
	q.count++
}

// At returns the element at index i from the front, and panics if there is none.
func (q *FIFO[T]) At(i int) T {
	if i < 0 || i >= q.count {
		panic("queue: no such element")
	}
	i += q.popped
	return q.chunks[i/chunkSize][i%chunkSize]
}

// Pop removes the first element and returns it, and panics if there is none.
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
