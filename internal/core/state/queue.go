package state

import "container/heap"

// expiryQueue groups slots by their expiry unit. The slots of one unit form a
// list that is linked by record.next.
type expiryQueue struct {
	// heads holds the first slot of each unit's list.
	heads map[uint32]uint32
	// units holds the keys of heads.
	units unitHeap
}

func newExpiryQueue() expiryQueue {
	return expiryQueue{heads: make(map[uint32]uint32)}
}

func (q *expiryQueue) empty() bool       { return len(q.units) == 0 }
func (q *expiryQueue) firstUnit() uint32 { return q.units[0] }

func (q *expiryQueue) push(s *store, slot, unit uint32) {
	head, ok := q.heads[unit]
	if !ok {
		head = none
		heap.Push(&q.units, unit)
	}
	s.edit(slot).next = head
	q.heads[unit] = slot
}

// pop removes the earliest unit and returns the first slot of its list.
func (q *expiryQueue) pop() uint32 {
	unit := heap.Pop(&q.units).(uint32)
	head := q.heads[unit]
	delete(q.heads, unit)
	return head
}

// unitHeap is a min-heap of units for container/heap.
type unitHeap []uint32

func (h unitHeap) Len() int           { return len(h) }
func (h unitHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h unitHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *unitHeap) Push(x any)        { *h = append(*h, x.(uint32)) }
func (h *unitHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
