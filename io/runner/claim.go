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

// Claims holds the functions that make and end claims on at-most-once requests; the
// methods of io/claims.Claims have these signatures.
type Claims struct {
	Begin   func(context.Context, claim.Request) (*claim.Attempt, error)
	Finish  func(context.Context, *claim.Attempt, claim.Outcome) error
	Release func(context.Context, *claim.Attempt) error
	// RetryAfter returns the delay to suggest to a caller whose request was refused
	// because no claim could be made.
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

// inProgressRetryAfter is the delay to suggest to a caller that repeats a request which
// is still in progress.
const inProgressRetryAfter = time.Second

// needsClaim reports whether the job needs a claim. Without a key no VM can tell a
// repeat from a different request; then only this job's own retries are prevented from
// running the request a second time.
func (n *run) needsClaim() bool { return n.job.AtMostOnce && n.job.Call.Key != "" }

// takeClaim makes the claim if the job needs one. If the job must not be run, it returns
// the final answer.
func (n *run) takeClaim(ctx context.Context) *Answer {
	if !n.needsClaim() {
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
		a := n.refusal(ReasonInProgress, http.StatusConflict, inProgressRetryAfter)
		a.Outcome, a.Message = call.OutcomeUnknown, "a request with this key is in progress, or its outcome is not known"
		return a
	case claim.KindConflict:
		a := n.refusal(ReasonKeyReused, http.StatusUnprocessableEntity, 0)
		a.Outcome, a.Message = call.OutcomeNotRun, "the key was used for another body; this one was not run"
		return a
	}
	return n.refusal(ReasonNoClaim, http.StatusServiceUnavailable, n.r.c.Claims.RetryAfter())
}

// replay answers a repeat with the recorded outcome.
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
	if err := n.writeAnswer("", back.Result{Status: o.Status, Header: header, Body: o.Body}); err != nil {
		a.Failed, a.Reason = true, ReasonCallerGone
	}
	return a
}

// markSent marks the claim as sent. It is called directly before the request is sent to
// a backend server.
func (n *run) markSent() error {
	if n.claim == nil {
		return nil
	}
	return n.claim.MarkSent(n.r.c.Now())
}

// markUnsent undoes markSent if it is certain that the attempt was not run.
func (n *run) markUnsent(result back.Result) {
	if n.claim == nil || !result.NotRun() {
		return
	}
	if err := n.claim.MarkUnsent(); err != nil {
		n.logClaim(err)
	}
}

// recordOutcome sets the outcome with which a repeat will be answered.
func (n *run) recordOutcome(result back.Result) {
	n.claimOutcome = claim.Outcome{Partial: !result.Complete() || result.Streamed}
	if result.Complete() {
		n.claimOutcome.Status = result.Status
		n.claimOutcome.ContentType = result.Header.Get("Content-Type")
		n.claimOutcome.Body = result.Body
	}
}

// settleTimeout limits the wait until the outcome is recorded; after it, the write goes
// on in the background. It is short because the caller's answer waits for it.
const settleTimeout = 100 * time.Millisecond

// settleClaim ends the claim: it finishes it if the job may have run and releases it
// otherwise. Further calls have no effect. It is not canceled when the caller
// disconnects.
func (n *run) settleClaim() {
	if n.claim == nil || n.claimSettled {
		return
	}
	n.claimSettled = true
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if n.mayHaveRun {
		n.logClaim(n.r.c.Claims.Finish(ctx, n.claim, n.claimOutcome))
		return
	}
	n.logClaim(n.r.c.Claims.Release(ctx, n.claim))
}

// logClaim logs an error of an update of the claim.
func (n *run) logClaim(err error) {
	if err != nil {
		n.r.c.Log.WithFields(logrus.Fields{"event": "claim", "request": n.job.Call.ID, "cause": err}).Warn("claim not updated yet")
	}
}
