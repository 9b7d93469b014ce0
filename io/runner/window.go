package runner

import (
	"time"

	"gentianwell/core/call"
	"gentianwell/core/estim"
	"gentianwell/core/sched"
)

// UrgentSlotFactor is how many places the router counts for each one that an engine
// has: beyond its own, an engine that honours priorities takes the most urgent
// calls first and lets others wait, so that these need not wait for a free place.
const UrgentSlotFactor = 1.25

// window keeps this VM to its share of the places of one model's engines.
type window struct {
	*estim.Window
	inFlight int
}

// window returns the model's window; r.mu is held.
func (r *Runner) window(model call.Model) *window {
	w, ok := r.windows[model]
	if !ok {
		// The defaults are valid.
		learned, _ := estim.NewWindow(estim.WindowDefaults())
		w = &window{Window: learned}
		r.windows[model] = w
	}
	return w
}

// lowest returns the lowest tier that may be sent with the load as it is: beyond
// this VM's share of the places it is the most urgent only.
func (r *Runner) lowest(now time.Time, model call.Model) call.Tier {
	w, ok := r.windows[model]
	if !ok {
		return call.MaxTier
	}
	d, err := r.c.Router.Pick(now, call.Call{Model: model}, nil)
	if err != nil {
		return 0
	}
	replicas, vms := r.c.Router.FleetSize(model)
	places := float64(d.Replica.Slots)
	w.Bound(places / UrgentSlotFactor)
	if !w.Allows(w.inFlight, replicas, vms, d.Load*places) {
		return 0
	}
	return call.MaxTier
}

// enter and leave count the attempts of this VM on a model's engines; r.mu is
// held. Plain services have no window.
func (r *Runner) enter(j *Job) {
	if j.Kind == KindEngine {
		r.window(j.Call.Model).inFlight++
	}
}

func (r *Runner) leaveWindow(j *Job) {
	if j.Kind == KindEngine {
		r.window(j.Call.Model).inFlight--
	}
}

// learnWindow tells the model's window whether an answer kept its target between
// tokens.
func (r *Runner) learnWindow(n *run) {
	if n.job.Kind != KindEngine || n.job.TokenGapTarget == 0 || n.watch.parts < 2 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(n.job.Call.Model).Count(r.c.Now(), n.watch.meanGap() > n.job.TokenGapTarget)
}

// item is the job as the queue sees it.
func (n *run) item() sched.Item {
	item := sched.Item{
		Call: n.job.Call, Cost: n.cost, Service: n.guess.Service, MaxWait: n.job.MaxWait, Weight: n.job.Weight,
		Requeued: n.attempts > 0,
	}
	if n.job.Call.Tier > 0 && n.job.FirstTokenTarget > 0 {
		item.FreshFor = max(1, n.job.FirstTokenTarget-n.guess.FirstToken)
	}
	return item
}
