// Package runner processes a job from its arrival to its final answer: it queues
// the job, chooses a replica, sends the request, retries it where that is allowed,
// and reports correctly whether the request was run.
//
// # Usage
//
//	r, err := runner.New(runner.Config{Queue: q, Router: router, Send: client.Do, …})
//	answer := r.Run(ctx, job, sink)
//
// The decisions are made by core/sched (which job is next), core/route (which
// replica) and core/retry (whether to retry). This package carries them out and logs
// them.
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
	// mu protects the queue, waiting, windows and stopTicks.
	mu      sync.Mutex
	waiting map[string]*waiter
	windows map[call.Model]*window
	// stopTicks ends the subscription of Tick; nil if there is none.
	stopTicks func()
}

// New returns a runner.
//
// Errors: NotValid if the configuration is not valid.
func New(c Config) (*Runner, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Runner{c: c, waiting: map[string]*waiter{}, windows: map[call.Model]*window{}}, nil
}

// Run processes a job and returns when it has ended. Responses of backend servers
// and recorded ones go to the sink. If Answer.Started is false, nothing was written
// to the sink and the caller of Run has to write the response.
func (r *Runner) Run(ctx context.Context, job *Job, sink Sink) Answer {
	run := &run{r: r, job: job, sink: sink}
	r.c.Router.Arrived(r.c.Now(), job.Call)
	answer := run.run(ctx)
	run.publishCrash(&answer)
	run.logEnd(answer)
	run.learn(answer)
	r.c.Observe(run.measure(r.c.Now(), answer))
	return answer
}

// run is the state of one job while it is processed.
type run struct {
	r    *Runner
	job  *Job
	sink Sink
	// ctx is the caller's; its cause tells whether the caller disconnected or the VM
	// is forced to stop.
	ctx context.Context
	// started is true once the response's header was passed to the sink.
	started bool
	// callerGone is true once a write to the caller of an at-most-once job has failed.
	callerGone bool
	attempts   int
	// mayHaveRun is true if a backend server may have run the job.
	mayHaveRun bool
	// freshConn is true once an attempt on a reused connection has ended by silence;
	// all further attempts use new connections.
	freshConn bool
	// exclude holds the replicas on which the job has been tried, silent those of them
	// that were given up because they were silent.
	exclude, silent []call.ReplicaID
	// takeover is that of the current or last attempt; nil before the first one.
	takeover *takeover
	cost     int
	estimate estim.Estimate
	timings  timings
	// tokens is the answer's length; zero if it is not known.
	tokens int
	// retryPause and retryReason are from the last decision on a retry.
	retryPause  time.Duration
	retryReason retry.Reason
	// alone is true if the attempt must run alone on its replica, crashed if a
	// replica has crashed while it ran the job.
	alone   bool
	crashed bool
	// stream checks an engine's streamed answer; nil if the engine is not asked for a
	// stream. streamFault is the fault that it found in the current attempt.
	stream      *stream.Answer
	streamFault error
	// claim is the claim that is held for an at-most-once job with a key; claimOutcome
	// is the outcome to record for it.
	claim        *claim.Attempt
	claimOutcome claim.Outcome
	// claimSettled is true once the claim was finished or released.
	claimSettled bool
}

func (n *run) run(ctx context.Context) Answer {
	n.ctx = ctx
	n.estimate = n.r.c.Estimate(&n.job.Call)
	n.cost = n.estimate.Cost
	if err := n.initStream(); err != nil {
		a := n.refusal(ReasonBadRequest, http.StatusBadRequest, 0)
		a.Message = err.Error()
		return *a
	}
	if d := n.r.c.Allow(n.job.Call.Arrived, &n.job.Call, n.cost); !d.Allowed {
		a := n.refusal(ReasonLimit, http.StatusTooManyRequests, d.RetryAfter)
		a.Message = "over the limit " + string(d.Key)
		return *a
	}
	if refusal := n.takeClaim(ctx); refusal != nil {
		return *refusal
	}
	defer n.settleClaim()
	return n.runAttempts(ctx)
}

// runAttempts makes attempts until one of them, or a refusal, ends the job.
func (n *run) runAttempts(ctx context.Context) Answer {
	defer n.releaseTakeover()
	n.r.c.Retry.RecordFirstAttempt(n.r.c.Now(), n.job.Call.Class, n.job.RetryShare)
	for {
		g, refusal := n.nextReplica(ctx)
		if refusal != nil {
			return *refusal
		}
		n.attempts++
		n.timings.granted = n.r.c.Now()
		end := n.attempt(ctx, g)
		if answer, last := n.afterAttempt(end); last {
			return answer
		}
		n.exclude = append(n.exclude, end.replica)
		if n.takeover.ready() {
			n.silent = append(n.silent, end.replica)
			continue
		}
		sleep(ctx, n.retryPause)
	}
}

// nextReplica returns the replica of the next attempt: the one of the takeover if there
// is one.
func (n *run) nextReplica(ctx context.Context) (grant, *Answer) {
	if n.takeover != nil {
		if g, ok := n.takeover.use(); ok {
			return g, nil
		}
	}
	return n.waitForReplica(ctx)
}

func (n *run) releaseTakeover() {
	if n.takeover != nil {
		n.takeover.release()
	}
}

// afterAttempt decides what follows an attempt: the job's final answer, or another
// attempt.
func (n *run) afterAttempt(e attemptEnd) (answer Answer, last bool) {
	if n.shouldRetry(e) {
		return Answer{}, false
	}
	switch {
	case e.complete(n.started):
		return n.deliver(e), true
	case e.callerGone():
		return n.failure(e, n.cancelStatus(), n.cancelReason()), true
	case e.result.Ending == back.EndingRefused && !n.started:
		return n.failure(e, e.result.Status, ReasonRefusedByBackend), true
	}
	if e.fault != nil || n.started {
		return n.failure(e, http.StatusBadGateway, ReasonIncomplete), true
	}
	return n.failure(e, http.StatusBadGateway, ReasonBackendFailed), true
}

// deliver passes a complete answer to the caller, unless it was already streamed.
func (n *run) deliver(e attemptEnd) Answer {
	if e.result.Streamed && n.assemblesAnswer() {
		var err error
		if e.result, err = n.assembledAnswer(e.result); err != nil {
			return n.failure(e, http.StatusBadGateway, ReasonIncomplete)
		}
		n.recordOutcome(e.result)
	}
	if !e.result.Streamed {
		// The outcome must be recorded before the caller has the answer, so that a
		// repeat sent directly afterwards finds it.
		n.settleClaim()
		if err := n.writeAnswer(e.replica, e.result); err != nil {
			return n.failure(e, statusCallerGone, ReasonCallerGone)
		}
	}
	return Answer{Replica: e.replica, Started: n.started, Reason: ReasonDone, Outcome: call.OutcomeRan}
}

// failure returns the final answer of a job whose last attempt failed.
func (n *run) failure(e attemptEnd, status int, reason Reason) Answer {
	a := Answer{
		Replica: e.replica, Started: n.started, Failed: n.started, Status: status, Reason: reason,
		Outcome: n.outcome(), Message: "the backend server did not answer: " + string(e.result.Ending),
	}
	if e.decision.Reason != "" {
		a.Message = "the answer is not whole: " + e.decision.Reason
	}
	// Suggesting a retry must not cause a non-idempotent request to run twice.
	if n.job.Call.Idempotent || a.Outcome == call.OutcomeNotRun {
		a.RetryAfter = n.r.c.RetryAfter
	}
	return a
}

// outcome returns the outcome of the attempts so far if no complete answer was delivered.
// The job counts as not run only if it is certain for each attempt that no backend server
// has run it.
func (n *run) outcome() call.Outcome {
	if n.mayHaveRun {
		return call.OutcomeUnknown
	}
	return call.OutcomeNotRun
}

// stopping reports whether the job's context was canceled because the VM is forced to
// stop.
func (n *run) stopping() bool { return errors.Is(context.Cause(n.ctx), ErrStopping) }

// cancelReason and cancelStatus are for a job whose context was canceled or whose
// caller has disconnected.
func (n *run) cancelReason() Reason {
	if n.stopping() {
		return ReasonStopping
	}
	return ReasonCallerGone
}

func (n *run) cancelStatus() int {
	if n.stopping() {
		return http.StatusServiceUnavailable
	}
	return statusCallerGone
}

// statusCallerGone is the status of a job whose caller has disconnected. It is never
// sent, as nobody would receive it.
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
	if n.retryReason != "" {
		fields["again"] = n.retryReason
	}
	if a.Message != "" {
		fields["message"] = a.Message
	}
	n.r.c.Log.WithFields(fields).Info("job ended")
}
