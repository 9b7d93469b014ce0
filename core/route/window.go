package route

import (
	"time"

	"gentianwell/core/call"
)

const (
	// windowCut is the factor by which a late answer reduces the window, windowMin its least size.
	windowCut = 0.85
	windowMin = 4
	// windowGrowth is by how many calls the window grows for each window of answers in time.
	windowGrowth = 4
	// windowUse is the part of the window that has to be in use for it to change.
	windowUse = 0.7
	// windowEnd is how long after the last late answer the window ends.
	windowEnd = 5 * time.Second
	// onTimeFraction is the part of the latency target within which an answer is in time; the
	// rest is for the way to the caller.
	onTimeFraction = 0.9
)

// window limits the calls of the long lane that wait for the first part of their answers at the
// engines, as congestion control does: each VM finds by itself how many are answered in time. Slots
// do not tell: a prompt waits for all those before it, and an engine with many slots accepts far
// more than it can read within their target.
type window struct {
	// pending is the number of this VM's calls that wait.
	pending float64
	// size is how many may wait; zero while no answer has been late.
	size float64
	// cutAt is when the window was last reduced. Answers to calls that were sent before do not
	// show its effect yet.
	cutAt time.Time
}

// late records that a call sent at a time has waited for longer than its target.
func (w *window) late(now, sent time.Time) {
	if !sent.After(w.cutAt) || w.size > 0 && w.pending < windowUse*w.size {
		return
	}
	if w.size == 0 || w.pending < w.size {
		w.size = w.pending
	}
	w.size, w.cutAt = max(windowMin, windowCut*w.size), now
}

// onTime records an answer in time.
func (w *window) onTime(now time.Time) {
	if now.Sub(w.cutAt) > windowEnd {
		w.size = 0
	}
	if w.size > 0 && w.pending >= windowUse*w.size {
		w.size += windowGrowth / w.size
	}
}

// allows reports whether another call fits.
func (w *window) allows() bool { return w.size == 0 || w.pending+1 <= w.size }

// Sent records that a call is sent to a replica. It reports whether Waited is to be called for it.
func (r *Router) Sent(now time.Time, c call.Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[c.Model]
	if p == nil || !r.laneOf(now, c, p).long {
		return false
	}
	p.window.pending++
	return true
}

// Waited records that a call that was sent at a time waits no longer: the first part of its answer
// has come, or will not, and answered is false. target is the longest time that it should wait.
func (r *Router) Waited(now time.Time, c call.Call, sent time.Time, target time.Duration, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[c.Model]
	if p == nil {
		return
	}
	w := &p.window
	switch late := now.Sub(sent) > time.Duration(onTimeFraction*float64(target)); {
	case late:
		w.late(now, sent)
	case answered:
		w.onTime(now)
	}
	w.pending = max(0, w.pending-1)
}
