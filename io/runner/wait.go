package runner

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/core/sched"
)

// waiter is a job in the queue. At most one grant, which may be a refusal, is sent to
// done.
type waiter struct {
	n    *run
	done chan grant
}

// grant assigns a replica to a job, or refuses the job if refusal is set.
type grant struct {
	decision route.Decision
	reason   sched.Reason
	refusal  *Answer
}

// wait queues the job and waits for its grant.
func (r *Runner) wait(ctx context.Context, n *run) (grant, *Answer) {
	w, refusal := r.enqueue(n)
	if refusal != nil {
		return grant{}, refusal
	}
	select {
	case g := <-w.done:
		return g, g.refusal
	case <-ctx.Done():
		return grant{}, r.abandonWait(w)
	}
}

// enqueue adds the job to the queue and dispatches waiting jobs, or returns a refusal.
func (r *Runner) enqueue(n *run) (*waiter, *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.c.Now()
	c := n.job.Call
	_, err := r.c.Router.Pick(now, c, n.exclude)
	if n.started && errors.Is(err, route.ErrNoReplica) {
		// If the caller already has a part of the answer, a retry on a replica that
		// failed once is better than an error.
		_, err = r.pick(now, n)
	}
	if errors.Is(err, route.ErrNoReplica) {
		return nil, n.refusal(ReasonNoReplica, http.StatusServiceUnavailable, r.c.RetryAfter)
	}
	w := &waiter{n: n, done: make(chan grant, 1)}
	verdict := r.c.Queue.Offer(now, n.item())
	r.refuse(verdict.Displaced)
	if !verdict.Queued {
		return nil, n.refusal(Reason(verdict.Reason), statusOf(verdict.Reason), verdict.RetryAfter)
	}
	r.waiting[c.ID] = w
	r.dispatch(now, c.Model)
	if r.c.Queue.Len() > 0 && r.stopTicks == nil {
		r.stopTicks = r.c.SubscribeTicks(r.Tick)
	}
	return w, nil
}

// abandonWait removes a job whose context was canceled from the queue. If it was granted
// a replica meanwhile, the replica is released.
func (r *Runner) abandonWait(w *waiter) *Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.c.Now()
	c := &w.n.job.Call
	r.c.Queue.Remove(c.ID)
	delete(r.waiting, c.ID)
	select {
	case g := <-w.done:
		if g.refusal == nil {
			r.leavePlace(now, w.n, g.decision)
		}
	default:
	}
	return w.n.refusal(w.n.cancelReason(), w.n.cancelStatus(), r.c.RetryAfter)
}

// Tick refuses the jobs that have expired in the queue and dispatches waiting jobs to
// replicas with free slots. It is subscribed with Config.SubscribeTicks while jobs wait.
func (r *Runner) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse(r.c.Queue.Expire(now))
	for _, model := range r.c.Queue.Waiting() {
		r.dispatch(now, model)
	}
	if r.c.Queue.Len() == 0 && r.stopTicks != nil {
		r.stopTicks()
		r.stopTicks = nil
	}
}

// dispatch sends waiting jobs of the model to replicas while one has capacity; r.mu is
// held.
func (r *Runner) dispatch(now time.Time, model call.Model) {
	for r.c.Router.HasCapacity(now, model) {
		item, reason, ok := r.c.Queue.NextUpTo(now, model, r.lowestTier(now, model))
		r.refuse(r.c.Queue.Expire(now))
		if !ok {
			return
		}
		r.dispatchItem(now, item, reason)
	}
}

// dispatchItem assigns a replica to a job that has left the queue.
func (r *Runner) dispatchItem(now time.Time, item sched.Item, reason sched.Reason) {
	w := r.waiting[item.Call.ID]
	delete(r.waiting, item.Call.ID)
	d, err := r.pick(now, w.n)
	if err != nil {
		w.done <- grant{refusal: w.n.refusal(ReasonNoReplica, http.StatusServiceUnavailable, r.c.RetryAfter)}
		return
	}
	r.c.Dispatched(now, item.Call.Model, item.Cost, r.c.Queue.Backlogged(item.Call.Model))
	r.takePlace(now, w.n, d, reason)
	w.done <- grant{decision: d, reason: reason}
}

// takePlace records that the job is sent to the replica; r.mu is held.
func (r *Runner) takePlace(now time.Time, n *run, d route.Decision, reason sched.Reason) {
	r.c.Router.Started(now, d.Replica.ID, float64(n.cost))
	r.enterWindow(n.job)
	r.c.Router.Hints().Sent(n.job.Call.Model, n.job.Call.Prefixes, d.Replica.ID)
	r.logDecision(now, n, d, reason)
}

// leavePlace undoes takePlace for a job that is not sent; r.mu is held.
func (r *Runner) leavePlace(now time.Time, n *run, d route.Decision) {
	r.c.Router.Finished(now, d.Replica.ID, float64(n.cost), route.Result{Status: route.StatusCanceled})
	r.leaveWindow(n.job)
	r.dispatch(now, n.job.Call.Model)
}

// pick chooses a replica. If none is usable except those on which the job has been tried,
// it chooses one of these, because the job has already waited for its turn.
func (r *Runner) pick(now time.Time, n *run) (route.Decision, error) {
	d, err := r.c.Router.Pick(now, n.job.Call, n.exclude)
	if err == nil || len(n.exclude) == 0 {
		return d, err
	}
	return r.c.Router.Pick(now, n.job.Call, nil)
}

// refuse sends each refused job its final answer at once.
func (r *Runner) refuse(refusals sched.Refusals) {
	for _, f := range refusals {
		w, ok := r.waiting[f.Item.Call.ID]
		if !ok {
			continue
		}
		delete(r.waiting, f.Item.Call.ID)
		w.done <- grant{refusal: w.n.refusal(Reason(f.Reason), statusOf(f.Reason), f.RetryAfter)}
	}
}

// refusal returns the final answer of a job that is not sent to a backend server, or not
// sent again.
func (n *run) refusal(reason Reason, status int, retryAfter time.Duration) *Answer {
	a := &Answer{
		Outcome: call.OutcomeNotRun, Status: status, Reason: reason, RetryAfter: retryAfter,
		Message: "refused: " + string(reason), Started: n.started, Failed: n.started,
	}
	if n.mayHaveRun || n.mayHaveRunBefore() {
		a.Outcome = call.OutcomeUnknown
	}
	return a
}

// mayHaveRunBefore reports whether an earlier request with the same key may have been
// run. That cannot be ruled out until the claim is held, unless the caller states that
// this is its first attempt.
func (n *run) mayHaveRunBefore() bool {
	return n.needsClaim() && n.claim == nil && !n.job.FirstAttempt
}

// statusOf returns the HTTP status for a refusal by the queue.
func statusOf(reason sched.Reason) int {
	switch reason {
	case sched.ReasonNotValid, sched.ReasonIDInUse:
		return http.StatusBadRequest
	case sched.ReasonTeamFull, sched.ReasonFull, sched.ReasonDisplaced:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// SetSharedCapacity changes the number of jobs that all tiers of a model together may
// queue beyond each tier's own capacity.
func (r *Runner) SetSharedCapacity(capacity int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.c.Queue.SetSharedCapacity(capacity)
}

// Waiting returns the number of jobs in the queue.
func (r *Runner) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.c.Queue.Len()
}

func (r *Runner) logDecision(now time.Time, n *run, d route.Decision, reason sched.Reason) {
	c := &n.job.Call
	skipped := make([]string, 0, len(d.Skipped))
	for _, s := range d.Skipped {
		skipped = append(skipped, string(s.ID)+":"+string(s.Reason))
	}
	slices.Sort(skipped)
	r.c.Log.WithFields(logrus.Fields{
		"event": "route", "request": c.ID, "team": c.Team, "class": c.Class, "tier": int(c.Tier), "model": c.Model,
		"replica": d.Replica.ID, "zone": d.Replica.Zone, "reason": d.Reason, "order": reason, "load": d.Load,
		"cached": d.CachedPrefixes, "attempt": n.attempts + 1, "waited": now.Sub(c.Arrived), "passed": skipped,
	}).Info("replica chosen")
}
