package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/table"
)

// run makes attempts until one completes the response or no other may follow, and
// then ends the request.
func (p *proxyRequest) run(ctx context.Context) {
	p.s.c.Router.Arrived(p.arrived, p.call)
	p.s.c.Retry.RecordFirstAttempt(p.arrived, call.Class(p.call.Model), p.s.c.RetryShare())
	for {
		if !p.s.c.MayRun(p.fingerprint()) {
			p.failWithoutReplica(ctx, http.StatusServiceUnavailable, ReasonCrashedReplicas)
			return
		}
		d, status, reason, err := p.pickReplica(ctx)
		if status != 0 {
			p.pickErr = err
			p.failWithoutReplica(ctx, status, reason)
			return
		}
		p.sends++
		p.lastAttempt = p.attempt(ctx, d)
		if p.lastAttempt.done {
			p.finished(ReasonDone)
			return
		}
		wait, again := p.shouldRetry(ctx)
		if !again {
			p.fail(ctx)
			return
		}
		sleep(ctx, wait)
	}
}

// capacityPollInterval is how often a request that waits for a free slot asks the
// router for a replica.
const capacityPollInterval = 5 * time.Millisecond

// pickReplica chooses a replica. If all are full, it waits for a free slot. If it finds
// none, it returns a status, a reason and the router's error.
func (p *proxyRequest) pickReplica(ctx context.Context) (route.Decision, int, Reason, error) {
	fraction := p.s.c.BusyWaitFraction
	if p.route.Kind == table.KindStream {
		fraction = p.s.c.StreamWaitFraction
	}
	waitUntil := p.s.c.Now().Add(time.Duration(fraction * float64(p.route.LatencyTarget)))
	for {
		now := p.s.c.Now()
		d, err := p.s.c.Router.Pick(now, p.call, p.tried)
		if errors.Is(err, route.ErrNoReplica) && len(p.tried) > 0 {
			// A replica that has already failed this request is better than none.
			d, err = p.s.c.Router.Pick(now, p.call, nil)
		}
		switch {
		case err == nil:
			p.s.c.Router.Started(now, d.Replica.ID, p.cost())
			p.replica = d.Replica.ID
			p.logRoute(d)
			return d, 0, "", nil
		case ctx.Err() != nil:
			return d, p.timeoutStatus(), p.timeoutReason(ctx), err
		case errors.Is(err, route.ErrNoReplica):
			return d, http.StatusServiceUnavailable, ReasonNoReplica, err
		case !now.Before(waitUntil):
			return d, http.StatusServiceUnavailable, ReasonAllReplicasFull, err
		}
		sleep(ctx, capacityPollInterval)
	}
}

// cost returns the work that the request is for a replica, in prompt tokens.
func (p *proxyRequest) cost() float64 { return float64(max(1, p.call.PromptTokens)) }

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// shouldRetry reports whether another attempt follows, and after which pause.
func (p *proxyRequest) shouldRetry(ctx context.Context) (time.Duration, bool) {
	e := &p.lastAttempt
	if ctx.Err() != nil || e.callerGone || p.sends >= p.s.c.MaxSends {
		return 0, false
	}
	if p.responseStarted && (!p.route.Resumes || p.endsWithoutID) {
		return 0, false
	}
	p.tried = append(p.tried, e.replica)
	outcome := call.OutcomeNotRun
	if p.possibleRuns > 0 {
		outcome = call.OutcomeUnknown
	}
	d := p.s.c.Retry.Decide(p.s.c.Now(), retry.Attempt{
		Class: call.Class(p.call.Model), Idempotent: p.route.Repeatable(), Deadline: p.deadline,
		Number: p.possibleRuns, MaxAttempts: p.route.MaxAttempts(), Outcome: outcome, Cause: e.cause, BytesWritten: e.mayHaveRun,
	})
	e.retry = d.Reason
	return d.Wait, d.Action == retry.ActionRetry
}

// failWithoutReplica ends a request for which no replica was found.
func (p *proxyRequest) failWithoutReplica(ctx context.Context, status int, reason Reason) {
	if p.possibleRuns > 0 {
		p.fail(ctx)
		return
	}
	p.refuse(status, reason)
}

// fail ends a request after its last attempt.
func (p *proxyRequest) fail(ctx context.Context) {
	e := &p.lastAttempt
	switch {
	case p.responseStarted:
		p.abort(p.abortReason(ctx))
	case p.callerGone():
		p.refuse(http.StatusBadGateway, ReasonCallerGone)
	case p.possibleRuns == 0:
		p.refuse(http.StatusServiceUnavailable, p.notRunReason(ctx))
	case e.replicaFailure != nil && ctx.Err() == nil:
		p.writeReplicaFailure(e)
	case context.Cause(ctx) != nil:
		p.refuse(http.StatusGatewayTimeout, ReasonTimeout)
	default:
		p.refuse(http.StatusBadGateway, ReasonAnswerLost)
	}
}

// callerGone reports whether the caller has disconnected.
func (p *proxyRequest) callerGone() bool { return p.r.Context().Err() != nil }

func (p *proxyRequest) abortReason(ctx context.Context) Reason {
	switch {
	case p.callerGone() || p.lastAttempt.callerGone:
		return ReasonCallerGone
	case ctx.Err() != nil:
		return ReasonTimeout
	}
	return ReasonAnswerLost
}

func (p *proxyRequest) notRunReason(ctx context.Context) Reason {
	switch {
	case ctx.Err() != nil:
		return ReasonTimeout
	case p.lastAttempt.cause == retry.CauseBusy:
		return ReasonReplicasRefused
	}
	return ReasonUnreachable
}

// timeoutStatus returns the status of a request whose time is over while it waits for
// a replica: 503 says that it has not run, 504 that it may have run.
func (p *proxyRequest) timeoutStatus() int {
	if p.possibleRuns > 0 {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func (p *proxyRequest) timeoutReason(ctx context.Context) Reason {
	if p.callerGone() {
		return ReasonCallerGone
	}
	return ReasonTimeout
}
