// Package heap implements a binary min-heap. It allocates only to grow, unlike
// container/heap, whose interface boxes each value.
package heap

// Ordered is implemented by values with an order.
type Ordered[T any] interface{ Before(T) bool }

// Heap is a binary min-heap.
type Heap[T Ordered[T]] struct{ items []T }

// Len returns the number of values.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the least value. The heap must not be empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// Push adds a value.
func (h *Heap[T]) Push(v T) {
	h.items = append(h.items, v)
	for i := len(h.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.items[i].Before(h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

// Pop removes and returns the least value. The heap must not be empty.
func (h *Heap[T]) Pop() (v T) {
	v = h.items[0]
	last := len(h.items) - 1
	h.items[0] = h.items[last]
	h.items = h.items[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if h.items[c].Before(h.items[least]) {
				least = c
			}
		}
		if least == i {
			return v
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}
