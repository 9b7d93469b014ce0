package runner

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/claim"
	"gentianwell/io/back"
)

// grantAll grants each claim and records how it was settled.
func grantAll(settled *[]string) Claims {
	return Claims{
		Begin: func(_ context.Context, r claim.Request) (*claim.Attempt, error) {
			r.Retention = time.Hour
			a := claim.NewAttempt(claim.AttemptConfig{Request: r, Nonce: func() string { return "n" }, Now: time.Now()})
			a.Apply(claim.Reply{Result: claim.ResultCommitted, Revision: 1})
			return a, nil
		},
		Finish: func(_ context.Context, a *claim.Attempt, o claim.Outcome) error {
			*settled = append(*settled, "finish "+http.StatusText(o.Status))
			return a.Finish(o)
		},
		Release: func(_ context.Context, a *claim.Attempt) error {
			*settled = append(*settled, "release")
			return a.Release()
		},
		RetryAfter: func() time.Duration { return time.Second },
	}
}

// The outcome is recorded before the caller gets the answer, so that a repeat sent
// directly afterwards finds it.
func TestOutcomeRecordedFirst(t *testing.T) {
	f := newFixture(t, func(context.Context, back.Target, func(back.Event) error) back.Result { return completeResult(201) })
	var order []string
	f.c.Claims = grantAll(&order)
	j := job("1", 0, false)
	j.Call.Key = "k"
	sink := (&recorder{}).sink()
	sink.Start = func(int, http.Header) error { order = append(order, "answer"); return nil }
	got := f.Run(t.Context(), j, sink)
	assert.Equal(t, got.Outcome, call.OutcomeRan)
	assert.DeepEqual(t, order, []string{"finish Created", "answer"})
}

// If no request could be sent, the claim is released and the job is reported as not run.
func TestClaimReleased(t *testing.T) {
	f := newFixture(t, func(context.Context, back.Target, func(back.Event) error) back.Result {
		return back.Result{Ending: back.EndingUnreachable}
	})
	var settled []string
	f.c.Claims = grantAll(&settled)
	j := job("1", 0, false)
	j.Call.Key = "k"
	assert.Equal(t, f.Run(t.Context(), j, (&recorder{}).sink()).Outcome, call.OutcomeNotRun)
	assert.DeepEqual(t, settled, []string{"release"})
}

// If the backend server crashes before it answers, the claim is finished without a status
// and the outcome is reported as unknown.
func TestClaimOfUnknownOutcome(t *testing.T) {
	f := newFixture(t, func(context.Context, back.Target, func(back.Event) error) back.Result {
		return back.Result{Ending: back.EndingCrashed, BytesWritten: true}
	})
	var settled []string
	f.c.Claims = grantAll(&settled)
	j := job("1", 0, false)
	j.Call.Key = "k"
	assert.Equal(t, f.Run(t.Context(), j, (&recorder{}).sink()).Outcome, call.OutcomeUnknown)
	assert.DeepEqual(t, settled, []string{"finish "})
}
