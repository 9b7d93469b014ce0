package sched

import "time"

// flow is one team within a tier, or one class within a team.
type flow struct {
	key string
	// start and finish are the virtual times, in tokens, of the first waiting
	// item's start and of the last served item's end.
	start, finish int64
	// seq orders flows of the same start.
	seq uint64
	// index is the place in the heap of busy or of idle flows.
	index int
	busy  bool
	// classes are a team's classes; nil for a class.
	classes *fairQueue
	// team is a class's team; nil for a team.
	team *flow
	// waiting are a class's items in order of arrival, stale those of them that
	// fresh ones go before.
	waiting, stale entryList
	// items and tokens are what waits.
	items  int
	tokens int
}

// next returns a class's entry that goes next: the oldest fresh one, or else the
// oldest; there is one.
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

// Len is part of heap.Interface.
func (h *flowHeap) Len() int { return len(h.list) }

// Less is part of heap.Interface.
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

// Swap is part of heap.Interface.
func (h *flowHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].index, h.list[j].index = i, j
}

// Push is part of heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(h.list)
	h.list = append(h.list, f)
}

// Pop is part of heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.list) - 1
	f := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	return f
}
