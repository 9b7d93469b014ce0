package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/claim"
	"gentianwell/io/back"
)

// Claims are the functions by which a runner holds claims on requests that may
// run only once; those of claims.Claims fit.
type Claims struct {
	Begin   func(context.Context, claim.Request) (*claim.Attempt, error)
	Finish  func(context.Context, *claim.Attempt, claim.Outcome) error
	Release func(context.Context, *claim.Attempt) error
	// RetryAfter is when a call that no claim could be had for may come back.
	RetryAfter func() time.Duration
}

// noClaims refuses every job that needs a claim.
func noClaims(retryAfter time.Duration) Claims {
	return Claims{
		Begin: func(_ context.Context, r claim.Request) (*claim.Attempt, error) {
			attempt := claim.NewAttempt(claim.AttemptConfig{Request: r})
			attempt.Apply(claim.Reply{Result: claim.ResultNoEffect})
			return attempt, nil
		},
		RetryAfter: func() time.Duration { return retryAfter },
	}
}

// repeatAfter is when a caller may ask again for the outcome of a call in progress.
const repeatAfter = time.Second

// keyed reports whether the job needs a claim. Without a key no VM could tell a
// repeat from another request; then the one attempt is all there is.
func (n *run) keyed() bool { return n.job.AtMostOnce && n.job.Call.Key != "" }

// begin takes the claim; it returns the answer where the job is not to be run.
func (n *run) begin(ctx context.Context) *Answer {
	if !n.keyed() {
		return nil
	}
	c := &n.job.Call
	attempt, err := n.r.c.Claims.Begin(ctx, claim.Request{
		ID: c.ID, Team: c.Team, Service: c.Model, Key: c.Key, Fingerprint: c.Fingerprint,
		Retention: n.job.Retention,
	})
	if err != nil {
		a := n.refusal(ReasonBadRequest, http.StatusBadRequest, 0)
		a.Message = err.Error()
		return a
	}
	v := attempt.Verdict()
	n.r.c.Log.WithFields(logrus.Fields{
		"event": "claim", "request": c.ID, "team": c.Team, "model": c.Model, "verdict": v.Kind, "cause": v.Reason,
	}).Info("claim decided")
	switch v.Kind {
	case claim.KindRun:
		n.claim = attempt
		return nil
	case claim.KindReplay:
		return n.replay(v.Outcome)
	case claim.KindInProgress:
		a := n.refusal(ReasonInProgress, http.StatusConflict, repeatAfter)
		a.Outcome, a.Message = call.OutcomeUnknown, "a request with this key is in progress, or its outcome is not known"
		return a
	case claim.KindConflict:
		a := n.refusal(ReasonKeyReused, http.StatusUnprocessableEntity, 0)
		a.Outcome, a.Message = call.OutcomeNotRun, "the key was used for another body; this one was not run"
		return a
	}
	return n.refusal(ReasonNoClaim, http.StatusServiceUnavailable, n.r.c.Claims.RetryAfter())
}

// replay gives a repeat the recorded answer.
func (n *run) replay(o claim.Outcome) *Answer {
	if o.Status == 0 || o.Partial {
		a := n.refusal(ReasonAnswerNotStored, http.StatusConflict, 0)
		a.Outcome, a.Message = call.OutcomeRan, "the request with this key was run; its answer was not kept"
		if o.Status == 0 {
			a.Outcome, a.Message = call.OutcomeUnknown, "the request with this key may have been run; no answer came"
		}
		return a
	}
	header := http.Header{}
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	a := &Answer{Outcome: call.OutcomeRan, Reason: ReasonReplayed, Started: true}
	if err := n.whole("", back.Result{Status: o.Status, Header: header, Body: o.Body}); err != nil {
		a.Failed, a.Reason = true, ReasonCallerGone
	}
	return a
}

// mark tells the claim that the next thing is the first byte to a backend server.
func (n *run) mark() error {
	if n.claim == nil {
		return nil
	}
	return n.claim.MarkSent(n.r.c.Now())
}

// unmark takes mark back where the attempt surely ran nothing.
func (n *run) unmark(result back.Result) {
	if n.claim == nil || !result.NotRun() {
		return
	}
	if err := n.claim.MarkUnsent(); err != nil {
		n.logClaim(err)
	}
}

// record keeps what a repeat will be answered.
func (n *run) record(result back.Result) {
	n.outcomeKept = claim.Outcome{Partial: !result.Complete() || result.Streamed}
	if result.Complete() {
		n.outcomeKept.Status = result.Status
		n.outcomeKept.ContentType = result.Header.Get("Content-Type")
		n.outcomeKept.Body = result.Body
	}
}

// settleTimeout bounds the wait for the record; the write goes on after it. It is
// short, as the caller's answer waits for it.
const settleTimeout = 100 * time.Millisecond

// settle ends the claim: finished where the job may have run, else given back. A
// second call changes nothing. A caller that is gone does not stop it.
func (n *run) settle() {
	if n.claim == nil || n.settled {
		return
	}
	n.settled = true
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if n.wrote {
		n.logClaim(n.r.c.Claims.Finish(ctx, n.claim, n.outcomeKept))
		return
	}
	n.logClaim(n.r.c.Claims.Release(ctx, n.claim))
}

func (n *run) logClaim(err error) {
	if err != nil {
		n.r.c.Log.WithFields(logrus.Fields{"event": "claim", "request": n.job.Call.ID, "cause": err}).Warn("claim not settled yet")
	}
}
