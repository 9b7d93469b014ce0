package sched

import "container/heap"

// fairQueue shares tokens between flows with start-time fair queueing: the flow with
// the earliest virtual start goes next, and each item advances its flow's start by
// the item's cost. The service of two flows that always have items differs by no
// more than the costs of their largest items. An idle flow is kept while its
// virtual time is ahead of the queue's, so that a team that offers one item at a
// time gains nothing over one that queues many.
type fairQueue struct {
	flows map[string]*flow
	busy  flowHeap
	idle  flowHeap
	// virtualTime is the virtual start of the item served last.
	virtualTime int64
	seq         uint64
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: map[string]*flow{}, idle: flowHeap{idle: true}}
}

// flow returns the flow for the key. It creates an idle one if there is none.
func (f *fairQueue) flow(key string) *flow {
	fl, ok := f.flows[key]
	if !ok {
		fl = &flow{key: key, finish: f.virtualTime}
		f.flows[key] = fl
		heap.Push(&f.idle, fl)
	}
	return fl
}

// activate makes an idle flow busy.
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

// first returns the flow that goes next. There must be a busy flow.
func (f *fairQueue) first() *flow { return f.busy.list[0] }

// charge advances the flow's virtual time by the cost of an item taken from it.
func (f *fairQueue) charge(fl *flow, cost int) {
	f.virtualTime = fl.start
	fl.finish = fl.start + int64(cost)
	fl.start = fl.finish
	f.seq++
	fl.seq = f.seq
	heap.Fix(&f.busy, fl.index)
}

// deactivateIfEmpty makes the flow idle if it has no items, and deletes the idle
// flows whose virtual time is no longer ahead of the queue's.
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
