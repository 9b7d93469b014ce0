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

// run makes attempts until one is the last.
func (p *pass) run(ctx context.Context) {
	p.s.c.Router.Arrived(p.arrived, p.call)
	p.s.c.Retry.RecordFirstAttempt(p.arrived, call.Class(p.call.Model), p.s.c.RetryShare())
	for {
		d, status, reason, err := p.place(ctx)
		if status != 0 {
			p.noPlace = err
			p.giveUp(ctx, status, reason)
			return
		}
		p.sends++
		p.last = p.attempt(ctx, d)
		if p.last.done {
			p.finished(ReasonDone)
			return
		}
		wait, again := p.again(ctx)
		if !again {
			p.fail(ctx)
			return
		}
		sleep(ctx, wait)
	}
}

// busyPoll is how often a request that waits for a place looks for one.
const busyPoll = 5 * time.Millisecond

// place chooses a replica. Where all are full it waits for a while; it returns a
// status, a reason and what the router said where there is none.
func (p *pass) place(ctx context.Context) (route.Decision, int, Reason, error) {
	part := p.s.c.BusyWaitFraction
	if p.route.Kind == table.KindStream {
		part = p.s.c.StreamWaitFraction
	}
	waitUntil := p.s.c.Now().Add(time.Duration(part * float64(p.route.Target)))
	for {
		now := p.s.c.Now()
		d, err := p.s.c.Router.Pick(now, p.call, p.tried)
		if errors.Is(err, route.ErrNoReplica) && len(p.tried) > 0 {
			// A replica that failed this request once is better than none.
			d, err = p.s.c.Router.Pick(now, p.call, nil)
		}
		switch {
		case err == nil:
			p.s.c.Router.Started(now, d.Replica.ID, p.cost())
			p.replica = d.Replica.ID
			p.logRoute(d)
			return d, 0, "", nil
		case ctx.Err() != nil:
			return d, p.lateStatus(), p.lateReason(ctx), err
		case errors.Is(err, route.ErrNoReplica):
			return d, http.StatusServiceUnavailable, ReasonNoReplica, err
		case !now.Before(waitUntil):
			return d, http.StatusServiceUnavailable, ReasonAllReplicasFull, err
		}
		sleep(ctx, busyPoll)
	}
}

// cost is the work of the request in tokens to read.
func (p *pass) cost() float64 { return float64(max(1, p.call.PromptTokens)) }

// sleep waits, but no longer than the context.
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

// again reports whether another attempt follows, and after which pause.
func (p *pass) again(ctx context.Context) (time.Duration, bool) {
	e := &p.last
	if ctx.Err() != nil || e.callerGone || p.sends >= p.s.c.MaxSends {
		return 0, false
	}
	if p.started && !p.route.Resumes {
		return 0, false
	}
	p.tried = append(p.tried, e.replica)
	outcome := call.OutcomeNotRun
	if p.ran > 0 {
		outcome = call.OutcomeUnknown
	}
	d := p.s.c.Retry.Decide(p.s.c.Now(), retry.Attempt{
		Class: call.Class(p.call.Model), Idempotent: p.route.Repeatable(), Deadline: p.until,
		Number: p.ran, MaxAttempts: p.route.MaxAttempts(), Outcome: outcome, Cause: e.cause, BytesWritten: e.mayHaveRun,
	})
	e.retry = d.Reason
	return d.Wait, d.Action == retry.ActionRetry
}

// giveUp ends a request that got no replica.
func (p *pass) giveUp(ctx context.Context, status int, reason Reason) {
	if p.ran > 0 {
		p.fail(ctx)
		return
	}
	p.refuse(status, reason)
}

// fail ends a request after its last attempt.
func (p *pass) fail(ctx context.Context) {
	e := &p.last
	switch {
	case p.started:
		p.cut(p.endReason(ctx))
	case p.callerGone():
		p.refuse(http.StatusBadGateway, ReasonCallerGone)
	case p.ran == 0:
		p.refuse(http.StatusServiceUnavailable, p.notRunReason(ctx))
	case e.whole != nil && ctx.Err() == nil:
		p.passFailure(e)
	case context.Cause(ctx) != nil:
		p.refuse(http.StatusGatewayTimeout, ReasonTimeout)
	default:
		p.refuse(http.StatusBadGateway, ReasonAnswerLost)
	}
}

// callerGone reports whether nobody waits for the answer any more.
func (p *pass) callerGone() bool { return p.r.Context().Err() != nil }

func (p *pass) endReason(ctx context.Context) Reason {
	switch {
	case p.callerGone() || p.last.callerGone:
		return ReasonCallerGone
	case ctx.Err() != nil:
		return ReasonTimeout
	}
	return ReasonAnswerLost
}

func (p *pass) notRunReason(ctx context.Context) Reason {
	switch {
	case ctx.Err() != nil:
		return ReasonTimeout
	case p.last.cause == retry.CauseBusy:
		return ReasonReplicasRefused
	}
	return ReasonUnreachable
}

// lateStatus is the status of a request whose time is over: only one that no
// replica can have run is told so.
func (p *pass) lateStatus() int {
	if p.ran > 0 {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func (p *pass) lateReason(ctx context.Context) Reason {
	if p.callerGone() {
		return ReasonCallerGone
	}
	return ReasonTimeout
}
