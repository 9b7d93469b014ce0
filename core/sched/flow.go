package sched

import "time"

// flow is one team within a tier, or one class within a team.
type flow struct {
	key string
	// start is the virtual start of the next item, and finish the virtual finish
	// of the item served last, both in tokens.
	start, finish int64
	// seq orders flows with the same start.
	seq uint64
	// index is the position in the heap of busy or of idle flows.
	index int
	busy  bool
	// classes holds the classes of a team; nil for a class.
	classes *fairQueue
	// team is the team of a class; nil for a team.
	team *flow
	// waiting holds the items of a class in order of arrival, requeued ones at
	// the front; next moves the items that it finds stale to the list stale.
	waiting, stale entryList
	// items and tokens count the waiting items and their cost.
	items  int
	tokens int
}

// next returns the entry of a class that goes next: the oldest fresh one, or else
// the oldest stale one. The class must have items.
func (f *flow) next(now time.Time) *entry {
	for e := f.waiting.first; e != nil; e = f.waiting.first {
		if !e.isStale(now) {
			return e
		}
		f.waiting.remove(e)
		e.inStaleList = true
		f.stale.push(e)
	}
	return f.stale.first
}

// listOf returns the list that holds the entry.
func (f *flow) listOf(e *entry) *entryList {
	if e.inStaleList {
		return &f.stale
	}
	return &f.waiting
}

// flowHeap is a heap of flows by start (busy) or finish (idle).
type flowHeap struct {
	list []*flow
	idle bool
}

// Len implements heap.Interface.
func (h *flowHeap) Len() int { return len(h.list) }

// Less implements heap.Interface.
func (h *flowHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if h.idle {
		return a.finish < b.finish
	}
	if a.start == b.start {
		return a.seq < b.seq
	}
	return a.start < b.start
}

// Swap implements heap.Interface.
func (h *flowHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index, h.list[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(h.list)
	h.list = append(h.list, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.list) - 1
	f := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return f
}
