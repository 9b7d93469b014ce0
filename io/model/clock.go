package model

import (
	"container/heap"
	"time"
)

// origin is the simulated time at which each run begins.
var origin = time.Unix(1_000_000, 0)

// clock is the clock of a simulation. It runs events in order of their time; events of
// the same time run in the order in which they were added.
type clock struct {
	now    time.Time
	events eventHeap
	seq    int
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

// Len is part of heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap is part of heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

func (c *clock) at(t time.Time, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, do: do})
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

// every runs do after each interval, for the last time at or after end.
func (c *clock) every(interval time.Duration, end time.Time, do func()) {
	c.after(interval, func() {
		do()
		if c.now.Before(end) {
			c.every(interval, end, do)
		}
	})
}

// run runs events until none is left.
func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}
