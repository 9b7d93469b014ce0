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

// grantAll grants each claim and notes how it was settled.
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

// The outcome is recorded before the caller gets the answer: a repeat that
// follows at once has to find it.
func TestOutcomeRecordedFirst(t *testing.T) {
	b := newBench(t, func(context.Context, back.Target, func(back.Event) error) back.Result { return whole(201) })
	var order []string
	b.c.Claims = grantAll(&order)
	j := job("1", 0, false)
	j.Call.Key = "k"
	sink := (&collect{}).sink()
	sink.Start = func(int, http.Header) error { order = append(order, "answer"); return nil }
	got := b.Run(t.Context(), j, sink)
	assert.Equal(t, got.Outcome, call.OutcomeRan)
	assert.DeepEqual(t, order, []string{"finish Created", "answer"})
}

// A claim under which nothing was sent is given back, and the job is not run.
func TestClaimReleased(t *testing.T) {
	b := newBench(t, func(context.Context, back.Target, func(back.Event) error) back.Result {
		return back.Result{Ending: back.EndingUnreachable}
	})
	var settled []string
	b.c.Claims = grantAll(&settled)
	j := job("1", 0, false)
	j.Call.Key = "k"
	assert.Equal(t, b.Run(t.Context(), j, (&collect{}).sink()).Outcome, call.OutcomeNotRun)
	assert.DeepEqual(t, settled, []string{"release"})
}

// An answer that does not come leaves the claim finished with an unknown outcome.
func TestClaimOfUnknownOutcome(t *testing.T) {
	b := newBench(t, func(context.Context, back.Target, func(back.Event) error) back.Result {
		return back.Result{Ending: back.EndingCrashed, BytesWritten: true}
	})
	var settled []string
	b.c.Claims = grantAll(&settled)
	j := job("1", 0, false)
	j.Call.Key = "k"
	assert.Equal(t, b.Run(t.Context(), j, (&collect{}).sink()).Outcome, call.OutcomeUnknown)
	assert.DeepEqual(t, settled, []string{"finish "})
}
