package proxy

import (
	"context"
	"net/http"
	"slices"
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
	defer p.releaseTakeover()
	p.s.c.Router.Arrived(p.arrived, p.call)
	p.s.c.Retry.RecordFirstAttempt(p.arrived, call.Class(p.call.Model), p.s.c.RetryShare())
	if status, reason := p.bindVersion(ctx); status != 0 {
		p.refuse(status, reason)
		return
	}
	if !p.fitsTeamShare() {
		p.refuse(http.StatusServiceUnavailable, ReasonOverTeamShare)
		return
	}
	permitted := false
	for {
		var forbidden Reason
		var claim func() bool
		if !permitted {
			forbidden, claim = p.s.c.Forbids(p.fingerprint(), p.parts)
		}
		if forbidden != "" && (claim == nil || p.possibleRuns > 0) {
			p.failWithoutReplica(ctx, http.StatusServiceUnavailable, forbidden)
			return
		}
		d, status, reason, err := p.pickReplica(ctx)
		if status != 0 {
			p.pickErr = err
			p.failWithoutReplica(ctx, status, reason)
			return
		}
		if forbidden != "" && !claim() {
			p.s.c.Router.Finished(p.s.c.Now(), d.Replica.ID, p.cost(), route.Result{Status: route.StatusCanceled})
			p.failWithoutReplica(ctx, http.StatusServiceUnavailable, forbidden)
			return
		}
		p.sends++
		p.lastAttempt = p.attempt(ctx, d)
		permitted = !p.lastAttempt.mayHaveRun || p.takeover.ready()
		if p.lastAttempt.done {
			p.finished(ReasonDone)
			return
		}
		if !p.waitForRetry(ctx) {
			p.fail(ctx)
			return
		}
	}
}

func (p *proxyRequest) releaseTakeover() {
	if p.takeover != nil {
		p.takeover.release()
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
	if p.gaveUp() {
		waitUntil = p.deadline
	}
	for {
		now := p.s.c.Now()
		d, err := p.pick(now)
		p.notePick(now, err)
		switch {
		case err == nil:
			p.replica = d.Replica.ID
			p.logRoute(d)
			return d, 0, "", nil
		case ctx.Err() != nil:
			return d, p.timeoutStatus(), p.timeoutReason(ctx), err
		case errors.Is(err, route.ErrNoVersion) && p.call.Version == "":
			return d, http.StatusServiceUnavailable, ReasonVersionUnrecorded, err
		case errors.Is(err, route.ErrNoVersion):
			return d, http.StatusServiceUnavailable, ReasonVersionGone, err
		case errors.Is(err, route.ErrNoReplica) && !p.gaveUp():
			return d, http.StatusServiceUnavailable, ReasonNoReplica, err
		case errors.Is(err, route.ErrLimited) && !p.gaveUp():
			return d, http.StatusServiceUnavailable, ReasonLimited, err
		case !now.Before(waitUntil):
			return d, http.StatusServiceUnavailable, ReasonAllReplicasFull, err
		}
		if p.gaveUp() {
			sleep(ctx, minRetryPause)
			continue
		}
		sleep(ctx, capacityPollInterval)
	}
}

// pick takes a place at a replica: the one of the takeover if there is one.
func (p *proxyRequest) pick(now time.Time) (route.Decision, error) {
	if p.takeover != nil {
		if d, ok := p.takeover.use(); ok {
			return d, nil
		}
	}
	c := p.call
	preferred, only := p.preference()
	if preferred != "" {
		c.Version = preferred
	}
	d, err := p.s.c.Router.Pick(now, c, p.tried)
	if err != nil && !only {
		c = p.call
		if preferred != "" {
			d, err = p.s.c.Router.Pick(now, c, p.tried)
		}
	}
	if err != nil && !only {
		d, err = p.pickGivenUp(now, d, err)
	}
	// A replica that has already failed this request is better than none, one that
	// refused it better than one that was silent.
	if errors.Is(err, route.ErrNoReplica) && len(p.tried) > len(p.silent) {
		d, err = p.s.c.Router.Pick(now, c, p.silent)
	}
	if errors.Is(err, route.ErrNoReplica) && len(p.tried) > 0 {
		d, err = p.s.c.Router.Pick(now, c, nil)
	}
	if err == nil {
		p.s.c.Router.Started(now, d.Replica.ID, p.cost())
	}
	return d, err
}

// pickGivenUp chooses a replica that was given up and may have gone on since. If there is
// none, it returns d and err.
func (p *proxyRequest) pickGivenUp(now time.Time, d route.Decision, err error) (route.Decision, error) {
	for _, id := range p.silent {
		at, ok := p.tryAgainAt[id]
		if !ok || now.Before(at) {
			continue
		}
		if again, err := p.s.c.Router.PickReplica(now, p.call, id); err == nil {
			return again, nil
		}
	}
	return d, err
}

// noteSilence records that the replica of the last attempt was given up, or was given up
// before and now did not run the request. It is tried again after the time for which a
// sound replica may be silent, but not if it was silent twice.
func (p *proxyRequest) noteSilence() {
	e := &p.lastAttempt
	if slices.Contains(p.silent, e.replica) && e.mayHaveRun {
		delete(p.tryAgainAt, e.replica)
		return
	}
	if p.tryAgainAt == nil {
		p.tryAgainAt = map[call.ReplicaID]time.Time{}
	}
	p.tryAgainAt[e.replica] = p.s.c.Now().Add(minGapTimeout)
}

// gaveUp reports whether a silent replica was given up, which might have completed the
// request: such a request goes on until its deadline.
func (p *proxyRequest) gaveUp() bool { return len(p.silent) > 0 }

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

// A request that gave up a silent replica waits before a further attempt: minRetryPause
// after the next attempt has failed, twice as long after each further one, up to
// maxRetryPause.
const (
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// waitForRetry waits until another attempt may be made. It returns false if none may.
func (p *proxyRequest) waitForRetry(ctx context.Context) bool {
	e := &p.lastAttempt
	if ctx.Err() != nil || e.callerGone || p.responseStarted && (!p.route.Resumes || p.endsWithoutID) {
		return false
	}
	p.tried = append(p.tried, e.replica)
	if p.takeover.ready() && (e.cause == retry.CauseSilent || e.cause == retry.CauseUnreachable) {
		e.retry = retry.ReasonIdempotent
		p.noteSilence()
		p.silent = append(p.silent, e.replica)
		return true
	}
	p.takeover.release()
	if slices.Contains(p.silent, e.replica) {
		p.noteSilence()
	}
	if !p.gaveUp() {
		if p.sends >= p.s.c.MaxSends {
			return false
		}
		d := p.decide()
		sleep(ctx, d.Wait)
		return d.Action == retry.ActionRetry
	}
	pause := minRetryPause << min(max(0, p.sends-2), 4)
	for sleep(ctx, min(pause, maxRetryPause)); ctx.Err() == nil; sleep(ctx, maxRetryPause) {
		d := p.decide()
		if d.Action == retry.ActionRetry || !passes(d.Reason) {
			return d.Action == retry.ActionRetry
		}
	}
	return false
}

// passes reports whether the reason against a retry may pass by itself, or holds only
// until the deadline ends the request.
func passes(r retry.Reason) bool {
	return r == retry.ReasonBudgetOfVM || r == retry.ReasonBudgetOfClass || r == retry.ReasonDeadline
}

// decide returns the retry policy's decision after the last attempt. An attempt does not count
// towards the route's limit if its replica has ended, and the next one added nothing to the stream.
func (p *proxyRequest) decide() retry.Decision {
	d := p.decideAfter(p.possibleRuns)
	if d.Reason == retry.ReasonAttempts && p.lostToCrash() {
		d = p.decideAfter(p.possibleRuns - 1)
	}
	p.lastAttempt.retry = d.Reason
	return d
}

// lostToCrash reports whether a stream has begun, was lost to one crash of a replica, and failed at
// replicas that still run. A request that has crashed two is not to meet a third so soon.
func (p *proxyRequest) lostToCrash() bool {
	return p.responseStarted && len(p.crashed) == 1 && p.lastAttempt.cause == retry.CauseFailed && p.s.c.HasCrashed(p.crashed[0])
}

func (p *proxyRequest) decideAfter(runs int) retry.Decision {
	e := &p.lastAttempt
	outcome := call.OutcomeNotRun
	if p.possibleRuns > 0 {
		outcome = call.OutcomeUnknown
	}
	return p.s.c.Retry.Decide(p.s.c.Now(), retry.Attempt{
		Class: call.Class(p.call.Model), Idempotent: p.route.Repeatable(), Deadline: p.deadline,
		Number: runs, MaxAttempts: p.route.MaxAttempts(), Outcome: outcome, Cause: e.cause, BytesWritten: e.mayHaveRun,
	})
}

// failWithoutReplica ends a request for which no replica was found.
func (p *proxyRequest) failWithoutReplica(ctx context.Context, status int, reason Reason) {
	if p.mayHaveRun() {
		p.fail(ctx)
		return
	}
	p.refuse(status, reason)
}

// mayHaveRun reports whether a replica may have run the request.
func (p *proxyRequest) mayHaveRun() bool { return p.possibleRuns > 0 || p.unclaimed }

// fail ends a request after its last attempt.
func (p *proxyRequest) fail(ctx context.Context) {
	e := &p.lastAttempt
	switch {
	case p.responseStarted:
		p.abort(p.abortReason(ctx))
	case p.callerGone():
		p.refuse(http.StatusBadGateway, ReasonCallerGone)
	case !p.mayHaveRun():
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
	if p.mayHaveRun() {
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
