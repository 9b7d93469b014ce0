package sched

import (
	"container/heap"
	"time"
)

// entry is a waiting item and its places in the lists that hold it.
type entry struct {
	item    Item
	model   *modelQueue
	arrived time.Time
	// expires is when the item is given up on, for reason.
	expires time.Time
	reason  Reason
	// seq is the order of arrival.
	seq uint64
	// index is the place in the expiry heap.
	index int
	// inStaleList is true where the entry is among its class's inStaleList ones.
	inStaleList bool
	class       *flow
	// The neighbours in the tier's and in the class's order of arrival.
	inTier, inClass links
}

// isStale reports whether fresh items of the class go first.
func (e *entry) isStale(now time.Time) bool {
	return !e.item.Requeued && e.item.FreshFor > 0 && now.Sub(e.arrived) >= e.item.FreshFor
}

type links struct{ prev, next *entry }

// entryHeap is a heap of entries by expiry.
type entryHeap struct{ list []*entry }

func (h *entryHeap) push(e *entry) { heap.Push(h, e) }

func (h *entryHeap) remove(e *entry) { heap.Remove(h, e.index) }

// Len is part of heap.Interface.
func (h *entryHeap) Len() int { return len(h.list) }

// Less is part of heap.Interface.
func (h *entryHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if a.expires.Equal(b.expires) {
		return a.seq < b.seq
	}
	return a.expires.Before(b.expires)
}

// Swap is part of heap.Interface.
func (h *entryHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index, h.list[j].index = i, j
}

// Push is part of heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(h.list)
	h.list = append(h.list, e)
}

// Pop is part of heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(h.list) - 1
	e := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return e
}
