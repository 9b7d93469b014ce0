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

// waiter is a job in the queue; exactly one grant or refusal is sent to it.
type waiter struct {
	n    *run
	done chan grant
}

// grant lets a job run on a replica, or refuses it.
type grant struct {
	decision route.Decision
	reason   sched.Reason
	refusal  *Answer
}

// wait queues the job and waits for its grant.
func (r *Runner) wait(ctx context.Context, n *run) (grant, *Answer) {
	w, refusal := r.offer(n)
	if refusal != nil {
		return grant{}, refusal
	}
	select {
	case g := <-w.done:
		return g, g.refusal
	case <-ctx.Done():
		return grant{}, r.leave(w)
	}
}

func (r *Runner) offer(n *run) (*waiter, *Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.c.Now()
	c := n.job.Call
	_, err := r.c.Router.Pick(now, c, n.exclude)
	if n.started && errors.Is(err, route.ErrNoReplica) {
		// A caller that has part of its answer gets the rest from a replica that
		// failed once rather than an error.
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
	r.pump(now, c.Model)
	if r.c.Queue.Len() > 0 && r.stopTicks == nil {
		r.stopTicks = r.c.SubscribeTicks(r.Tick)
	}
	return w, nil
}

// leave takes out a job whose caller is gone. A grant that came meanwhile is
// given back.
func (r *Runner) leave(w *waiter) *Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.c.Now()
	c := &w.n.job.Call
	r.c.Queue.Remove(c.ID)
	delete(r.waiting, c.ID)
	select {
	case g := <-w.done:
		if g.refusal == nil {
			r.c.Router.Finished(now, g.decision.Replica.ID, float64(w.n.cost), route.Result{Status: route.StatusCanceled})
			r.leaveWindow(w.n.job)
			r.pump(now, c.Model)
		}
	default:
	}
	return w.n.refusal(w.n.goneReason(), w.n.goneStatus(), r.c.RetryAfter)
}

// Tick gives up on jobs whose time has passed and fills replicas that are free.
// It is subscribed to Every while jobs wait.
func (r *Runner) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse(r.c.Queue.Expire(now))
	for _, model := range r.c.Queue.Waiting() {
		r.pump(now, model)
	}
	if r.c.Queue.Len() == 0 && r.stopTicks != nil {
		r.stopTicks()
		r.stopTicks = nil
	}
}

// pump hands out waiting jobs of the model while a replica is free.
func (r *Runner) pump(now time.Time, model call.Model) {
	for r.c.Router.HasCapacity(now, model) {
		item, reason, ok := r.c.Queue.NextUpTo(now, model, r.lowest(now, model))
		r.refuse(r.c.Queue.Expire(now))
		if !ok {
			return
		}
		r.grant(now, item, reason)
	}
}

func (r *Runner) grant(now time.Time, item sched.Item, reason sched.Reason) {
	w := r.waiting[item.Call.ID]
	delete(r.waiting, item.Call.ID)
	d, err := r.pick(now, w.n)
	if err != nil {
		w.done <- grant{refusal: w.n.refusal(ReasonNoReplica, http.StatusServiceUnavailable, r.c.RetryAfter)}
		return
	}
	r.c.Router.Started(now, d.Replica.ID, float64(item.Cost))
	r.enter(w.n.job)
	r.c.Dispatched(now, item.Call.Model, item.Cost, r.c.Queue.Backlogged(item.Call.Model))
	r.c.Router.Hints().Sent(item.Call.Model, item.Call.Prefixes, d.Replica.ID)
	r.logDecision(now, w.n, d, reason)
	w.done <- grant{decision: d, reason: reason}
}

// pick chooses a replica; where all but those that failed are full, a job that
// has waited for its turn goes to one of these.
func (r *Runner) pick(now time.Time, n *run) (route.Decision, error) {
	d, err := r.c.Router.Pick(now, n.job.Call, n.exclude)
	if err == nil || len(n.exclude) == 0 {
		return d, err
	}
	return r.c.Router.Pick(now, n.job.Call, nil)
}

// refuse gives each refused job its final answer at once.
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

// refusal is the final answer of a job that is not sent (again).
func (n *run) refusal(reason Reason, status int, retryAfter time.Duration) *Answer {
	a := &Answer{
		Outcome: call.OutcomeNotRun, Status: status, Reason: reason, RetryAfter: retryAfter,
		Message: "refused: " + string(reason), Started: n.started, Failed: n.started,
	}
	if n.wrote || n.mayHaveRunBefore() {
		a.Outcome = call.OutcomeUnknown
	}
	return a
}

// mayHaveRunBefore reports whether an earlier request with the same key may have
// been run: none has been ruled out before the claim is held.
func (n *run) mayHaveRunBefore() bool {
	return n.keyed() && n.claim == nil && !n.job.FirstAttempt
}

func statusOf(reason sched.Reason) int {
	switch reason {
	case sched.ReasonNotValid, sched.ReasonIDInUse:
		return http.StatusBadRequest
	case sched.ReasonTeamFull, sched.ReasonFull, sched.ReasonDisplaced:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// SetSharedCapacity changes the number of places in each model's queue.
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
	passed := make([]string, 0, len(d.Skipped))
	for _, p := range d.Skipped {
		passed = append(passed, string(p.ID)+":"+string(p.Reason))
	}
	slices.Sort(passed)
	r.c.Log.WithFields(logrus.Fields{
		"event": "route", "request": c.ID, "team": c.Team, "class": c.Class, "tier": int(c.Tier), "model": c.Model,
		"replica": d.Replica.ID, "zone": d.Replica.Zone, "reason": d.Reason, "order": reason, "load": d.Load,
		"cached": d.CachedPrefixes, "attempt": n.attempts + 1, "waited": now.Sub(c.Arrived), "passed": passed,
	}).Info("replica chosen")
}
