package runner

import (
	"time"

	"gentianwell/core/call"
	"gentianwell/core/estim"
	"gentianwell/core/sched"
)

// UrgentSlotFactor is the number of slots that the router counts for each slot of an
// engine. When its own slots are full, an engine that supports priorities runs the most
// urgent calls first and makes others wait, so that urgent calls need not wait for a
// free slot.
const UrgentSlotFactor = 1.25

// window limits this VM to its share of the slots of one model's engines.
type window struct {
	*estim.Window
	inFlight int
}

// window returns the model's window; r.mu is held.
func (r *Runner) window(model call.Model) *window {
	w, ok := r.windows[model]
	if !ok {
		// The error is ignored because the defaults are valid.
		learned, _ := estim.NewWindow(estim.WindowDefaults())
		w = &window{Window: learned}
		r.windows[model] = w
	}
	return w
}

// lowestTier returns the lowest tier that may be dispatched under the current load: only
// the most urgent one if this VM already uses its share of the slots.
func (r *Runner) lowestTier(now time.Time, model call.Model) call.Tier {
	w, ok := r.windows[model]
	if !ok {
		return call.MaxTier
	}
	d, err := r.c.Router.Pick(now, call.Call{Model: model}, nil)
	if err != nil {
		return 0
	}
	replicas, vms := r.c.Router.FleetSize(model)
	slots := float64(d.Replica.Slots)
	w.SetMaxBatch(slots / UrgentSlotFactor)
	if !w.Allows(w.inFlight, replicas, vms, d.Load*slots) {
		return 0
	}
	return call.MaxTier
}

// enterWindow and leaveWindow count the attempts of this VM in flight on a model's
// engines; r.mu is held. Plain services have no window.
func (r *Runner) enterWindow(j *Job) {
	if j.Kind == KindEngine {
		r.window(j.Call.Model).inFlight++
	}
}

func (r *Runner) leaveWindow(j *Job) {
	if j.Kind == KindEngine {
		r.window(j.Call.Model).inFlight--
	}
}

// learnWindow tells the model's window whether an answer met its target for the time
// between tokens.
func (r *Runner) learnWindow(n *run) {
	if n.job.Kind != KindEngine || n.job.TokenGapTarget == 0 || n.timings.parts < 2 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(n.job.Call.Model).Record(r.c.Now(), n.timings.meanGap() > n.job.TokenGapTarget)
}

// item returns the job's queue item.
func (n *run) item() sched.Item {
	item := sched.Item{
		Call: n.job.Call, Cost: n.cost, Service: n.estimate.Service, MaxWait: n.job.MaxWait, Weight: n.job.Weight,
		Requeued: n.attempts > 0,
	}
	if n.job.Call.Tier > 0 && n.job.FirstTokenTarget > 0 {
		item.FreshFor = max(1, n.job.FirstTokenTarget-n.estimate.FirstToken)
	}
	return item
}
