// Package runner takes a job from its arrival to its final answer: it queues it,
// chooses a replica, sends it, tries again where that is allowed, and reports
// truthfully whether it was run.
//
// # Usage
//
//	r, err := runner.New(runner.Config{Queue: q, Router: router, Send: client.Do, …})
//	answer := r.Run(ctx, job, sink)
//
// The decisions are those of core/sched (who is next), core/route (where) and
// core/retry (again or not); this package carries them out and logs each.
package runner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/claim"
	"gentianwell/core/estim"
	"gentianwell/core/retry"
	"gentianwell/core/stream"
	"gentianwell/io/back"
)

// Runner runs jobs.
type Runner struct {
	c Config
	// mu guards the queue and the waiters.
	mu      sync.Mutex
	waiting map[string]*waiter
	windows map[call.Model]*window
	// stopTicks ends the subscription of Tick; nil while there is none.
	stopTicks func()
}

// New returns a runner.
//
// Errors: NotValid where the configuration lacks something.
func New(c Config) (*Runner, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Runner{c: c, waiting: map[string]*waiter{}, windows: map[call.Model]*window{}}, nil
}

// Run runs a job to its end. An answer that has begun goes to the sink; what the
// returned Answer says of a job that has not is for the caller to write.
func (r *Runner) Run(ctx context.Context, job *Job, sink Sink) Answer {
	run := &run{r: r, job: job, sink: sink}
	r.c.Router.Arrived(r.c.Now(), job.Call)
	answer := run.run(ctx)
	run.publish(&answer)
	run.logEnd(answer)
	run.learn(answer)
	r.c.Observe(run.measure(r.c.Now(), answer))
	return answer
}

// run is one job on its way.
type run struct {
	r    *Runner
	job  *Job
	sink Sink
	// ctx is the caller's; its cause tells whether the caller or the VM went.
	ctx     context.Context
	started bool
	// callerLeft is true once the caller of a job that may only run once is gone.
	callerLeft bool
	attempts   int
	// wrote is true where a backend server may have run the job.
	wrote bool
	// fresh is true once a connection that was kept open has gone silent.
	fresh bool
	// exclude holds the replicas that have failed this job.
	exclude []call.ReplicaID
	cost    int
	guess   estim.Guess
	watch   stopwatch
	// tokens is the answer's length, zero where it is not known.
	tokens int
	// pause and again are the last decision about another attempt.
	pause time.Duration
	again retry.Reason
	// alone is true where the attempt has to be alone on its replica, crashed
	// where a replica crashed under the job.
	alone   bool
	crashed bool
	// guard watches over a streamed answer of an engine; fault is what it found
	// in the present attempt.
	guard *stream.Answer
	fault error
	// claim is held for a job that may run only once, outcomeKept is its record.
	claim       *claim.Attempt
	outcomeKept claim.Outcome
	settled     bool
}

func (n *run) run(ctx context.Context) Answer {
	n.ctx = ctx
	n.guess = n.r.c.Estimate(&n.job.Call)
	n.cost = n.guess.Cost
	if err := n.beginGuard(); err != nil {
		a := n.refusal(ReasonBadRequest, http.StatusBadRequest, 0)
		a.Message = err.Error()
		return *a
	}
	if d := n.r.c.Allow(n.job.Call.Arrived, &n.job.Call, n.cost); !d.Allowed {
		a := n.refusal(ReasonLimit, http.StatusTooManyRequests, d.RetryAfter)
		a.Message = "over the limit " + string(d.Key)
		return *a
	}
	if refusal := n.begin(ctx); refusal != nil {
		return *refusal
	}
	defer n.settle()
	return n.tryAll(ctx)
}

// tryAll makes attempts until one is the last.
func (n *run) tryAll(ctx context.Context) Answer {
	n.r.c.Retry.RecordFirstAttempt(n.r.c.Now(), n.job.Call.Class, n.job.RetryShare)
	for {
		g, refusal := n.next(ctx)
		if refusal != nil {
			return *refusal
		}
		n.attempts++
		n.watch.granted = n.r.c.Now()
		end := n.attempt(ctx, g)
		if answer, last := n.judge(end); last {
			return answer
		}
		n.exclude = append(n.exclude, end.replica)
		sleep(ctx, n.pause)
	}
}

// judge decides what follows from an attempt: the job's last answer, or another
// attempt.
func (n *run) judge(e attemptEnd) (answer Answer, last bool) {
	if n.mayTryAgain(e) {
		return Answer{}, false
	}
	switch {
	case e.whole(n.started):
		return n.finish(e), true
	case e.callerGone():
		return n.failure(e, n.goneStatus(), n.goneReason()), true
	case e.result.Ending == back.EndingRefused && !n.started:
		return n.failure(e, e.result.Status, ReasonRefusedByBackend), true
	}
	if e.fault != nil || n.started {
		return n.failure(e, http.StatusBadGateway, ReasonIncomplete), true
	}
	return n.failure(e, http.StatusBadGateway, ReasonBackendFailed), true
}

// finish hands over an answer that came whole.
func (n *run) finish(e attemptEnd) Answer {
	if e.result.Streamed && n.assembles() {
		var err error
		if e.result, err = n.assembled(e.result); err != nil {
			return n.failure(e, http.StatusBadGateway, ReasonIncomplete)
		}
		n.record(e.result)
	}
	if !e.result.Streamed {
		// A repeat that follows the answer at once has to find it.
		n.settle()
		if err := n.whole(e.replica, e.result); err != nil {
			return n.failure(e, statusCallerGone, ReasonCallerGone)
		}
	}
	return Answer{Replica: e.replica, Started: n.started, Reason: ReasonDone, Outcome: call.OutcomeRan}
}

func (n *run) failure(e attemptEnd, status int, reason Reason) Answer {
	a := Answer{
		Replica: e.replica, Started: n.started, Failed: n.started, Status: status, Reason: reason,
		Outcome: n.outcome(), Message: "the backend server did not answer: " + string(e.result.Ending),
	}
	if e.next.Reason != "" {
		a.Message = "the answer is not whole: " + e.next.Reason
	}
	// Asking again must not run a request twice that can only be run once.
	if n.job.Call.Idempotent || a.Outcome == call.OutcomeNotRun {
		a.RetryAfter = n.r.c.RetryAfter
	}
	return a
}

// outcome is what is known of all attempts: only if none wrote a byte that a
// backend server may have run is the job not run.
func (n *run) outcome() call.Outcome {
	if n.wrote {
		return call.OutcomeUnknown
	}
	return call.OutcomeNotRun
}

// stopping reports whether the job ends because the VM is forced to stop.
func (n *run) stopping() bool { return errors.Is(context.Cause(n.ctx), ErrStopping) }

func (n *run) goneReason() Reason {
	if n.stopping() {
		return ReasonStopping
	}
	return ReasonCallerGone
}

func (n *run) goneStatus() int {
	if n.stopping() {
		return http.StatusServiceUnavailable
	}
	return statusCallerGone
}

// statusCallerGone is for the log only: nobody reads the answer.
const statusCallerGone = 499

func (n *run) logEnd(a Answer) {
	c := &n.job.Call
	fields := logrus.Fields{
		"event": "end", "request": c.ID, "team": c.Team, "class": c.Class, "tier": int(c.Tier), "model": c.Model,
		"outcome": a.Outcome, "reason": a.Reason, "attempts": n.attempts, "duration": n.r.c.Now().Sub(c.Arrived),
	}
	if a.Replica != "" {
		fields["replica"] = a.Replica
	}
	if n.again != "" {
		fields["again"] = n.again
	}
	if a.Message != "" {
		fields["message"] = a.Message
	}
	n.r.c.Log.WithFields(fields).Info("job ended")
}
