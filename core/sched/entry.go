package sched

import (
	"container/heap"
	"time"
)

// entry is a waiting item with its positions in the lists and the heap that hold
// it.
type entry struct {
	item    Item
	model   *modelQueue
	arrived time.Time
	// expires is when the item leaves the queue undispatched, for reason.
	expires time.Time
	reason  Reason
	// seq numbers the entries in order of arrival.
	seq uint64
	// index is the position in the expiry heap.
	index int
	// inStaleList is true if the entry is in its class's list of stale entries.
	inStaleList bool
	class       *flow
	// inTier and inClass are the links in the tier's and in the class's list.
	inTier, inClass links
}

// isStale reports whether the item has waited for its FreshFor, so that fresh items
// of its class go first. Requeued items are never stale.
func (e *entry) isStale(now time.Time) bool {
	return !e.item.Requeued && e.item.FreshFor > 0 && now.Sub(e.arrived) >= e.item.FreshFor
}

type links struct{ prev, next *entry }

// entryHeap is a heap of entries, ordered by expiry.
type entryHeap struct{ list []*entry }

func (h *entryHeap) push(e *entry) { heap.Push(h, e) }

func (h *entryHeap) remove(e *entry) { heap.Remove(h, e.index) }

// Len implements heap.Interface.
func (h *entryHeap) Len() int { return len(h.list) }

// Less implements heap.Interface.
func (h *entryHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if a.expires.Equal(b.expires) {
		return a.seq < b.seq
	}
	return a.expires.Before(b.expires)
}

// Swap implements heap.Interface.
func (h *entryHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index, h.list[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(h.list)
	h.list = append(h.list, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(h.list) - 1
	e := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return e
}
