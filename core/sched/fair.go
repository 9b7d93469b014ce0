package sched

import "container/heap"

// fairQueue shares between flows by tokens with start-time fairQueue queueing: the flow
// with the earliest virtual start goes next, and each item moves its flow's
// start on by the item's cost. Two flows that both have work all the time differ
// by no more than the costs of their largest items. A flow without work is kept
// only as long as its virtual time is ahead of the others', so that a team that
// offers one item at a time gains nothing over one that queues them.
type fairQueue struct {
	flows map[string]*flow
	busy  flowHeap
	idle  flowHeap
	// virtualTime is the start of the flow served last.
	virtualTime int64
	seq         uint64
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: map[string]*flow{}, idle: flowHeap{idle: true}}
}

// flow returns the flow for the key, an idle one where it is new.
func (f *fairQueue) flow(key string) *flow {
	fl, ok := f.flows[key]
	if !ok {
		fl = &flow{key: key, finish: f.virtualTime}
		f.flows[key] = fl
		heap.Push(&f.idle, fl)
	}
	return fl
}

// activate makes the flow one that has work.
func (f *fairQueue) activate(fl *flow) {
	if fl.busy {
		return
	}
	heap.Remove(&f.idle, fl.index)
	fl.busy = true
	fl.start = max(f.virtualTime, fl.finish)
	f.seq++
	fl.seq = f.seq
	heap.Push(&f.busy, fl)
}

// first returns the flow that goes next; there is one.
func (f *fairQueue) first() *flow { return f.busy.list[0] }

// charge charges the flow for an item that was taken from it.
func (f *fairQueue) charge(fl *flow, cost int) {
	f.virtualTime = fl.start
	fl.finish = fl.start + int64(cost)
	fl.start = fl.finish
	f.seq++
	fl.seq = f.seq
	heap.Fix(&f.busy, fl.index)
}

// deactivateIfEmpty makes a flow that has no more work idle and frees idle flows that have
// nothing to pay off.
func (f *fairQueue) deactivateIfEmpty(fl *flow) {
	if fl.items == 0 && fl.busy {
		heap.Remove(&f.busy, fl.index)
		fl.busy = false
		heap.Push(&f.idle, fl)
	}
	for len(f.idle.list) > 0 && (len(f.busy.list) == 0 || f.idle.list[0].finish <= f.virtualTime) {
		gone := heap.Pop(&f.idle).(*flow)
		delete(f.flows, gone.key)
	}
}
