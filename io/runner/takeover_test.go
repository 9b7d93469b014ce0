package runner

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/io/back"
)

// silentFixture is a fixture whose attempts are made by send.
func silentFixture(t *testing.T, send func(f *fixture, to back.Target, r back.Request, sink func(back.Event) error) back.Result) *fixture {
	f := newFixture(t, nil)
	f.c.Send = func(_ context.Context, to back.Target, r back.Request, sink func(back.Event) error) (back.Result, error) {
		f.sent = append(f.sent, to.ID)
		result := send(f, to, r, sink)
		if !result.Complete() {
			return result, errors.New(string(result.Ending))
		}
		return result, nil
	}
	return f
}

// hasRoom reports whether the router has room for another job on a replica other than id.
func (f *fixture) hasRoom(id call.ReplicaID) bool {
	_, err := f.c.Router.Pick(time.Now(), job("other", 0, true).Call, []call.ReplicaID{id})
	return err == nil
}

// retriesLeft empties the retry budget and returns how many retries were in it.
func (f *fixture) retriesLeft() int {
	n := 0
	for f.c.Retry.Decide(time.Now(), retry.Attempt{Class: "c", Idempotent: true, Number: 1, Cause: retry.CauseSilent}).Action == retry.ActionRetry {
		n++
	}
	return n
}

func silentResult() back.Result { return back.Result{Ending: back.EndingSilent, BytesWritten: true} }

// A silent replica is given up only once the other one has room, and the request then goes
// there.
func TestTakeoverWaitsForRoom(t *testing.T) {
	f := silentFixture(t, func(f *fixture, to back.Target, r back.Request, _ func(back.Event) error) back.Result {
		if len(f.sent) == 2 {
			return completeResult(http.StatusOK)
		}
		other := map[call.ReplicaID]call.ReplicaID{"a": "b", "b": "a"}[to.ID]
		f.c.Router.Started(time.Now(), other, 1)
		assert.Assert(t, !r.GiveUp())
		f.c.Router.Finished(time.Now(), other, 1, route.Result{Status: route.StatusOK})
		assert.Assert(t, r.GiveUp())
		assert.Assert(t, r.GiveUp())
		assert.Assert(t, !f.hasRoom(to.ID))
		return silentResult()
	})
	f.c.Retry.SetBudget(0, 2)
	answer := f.Run(t.Context(), job("1", 0, true), (&recorder{}).sink())
	assert.Equal(t, answer.Outcome, call.OutcomeRan, answer.Message)
	assert.Equal(t, len(f.sent), 2)
	assert.Assert(t, f.sent[0] != f.sent[1])
	assert.Equal(t, f.retriesLeft(), 1)
	assert.Assert(t, f.hasRoom("a") && f.hasRoom("b"))
}

// A silent replica is given up for one that refused the request before, but not for one
// that was silent or is ejected, not for a request that may crash replicas, and not once a
// part of an answer was sent that nobody else can continue.
func TestTakeoverNeedsUsableReplica(t *testing.T) {
	refused := back.Result{Ending: back.EndingRefused, BytesWritten: true, Status: http.StatusServiceUnavailable, Header: http.Header{}}
	for name, c := range map[string]struct {
		want bool
		// first is the result of an attempt before the silent one, if any.
		first  *back.Result
		before func(f *fixture, other call.ReplicaID, sink func(back.Event) error)
	}{
		"nothing in its way": {want: true},
		"refused before":     {want: true, first: &refused},
		"silent before":      {first: &back.Result{Ending: back.EndingSilent, BytesWritten: true}},
		"ejected": {before: func(f *fixture, other call.ReplicaID, _ func(back.Event) error) {
			for range 3 {
				f.c.Router.Silent(time.Now(), other)
			}
		}},
		"crashes replicas": {before: func(f *fixture, _ call.ReplicaID, _ func(back.Event) error) {
			f.c.Poison.Crashed(time.Now(), 7, "x", false)
			f.c.Poison.Crashed(time.Now(), 7, "y", false)
		}},
		"answer has begun": {before: func(_ *fixture, _ call.ReplicaID, sink func(back.Event) error) {
			assert.NilError(t, sink(back.Event{Raw: []byte("data: x\n\n")}))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			done := false
			f := silentFixture(t, func(f *fixture, to back.Target, r back.Request, sink func(back.Event) error) back.Result {
				if len(f.sent) == 1 && c.first != nil {
					assert.Assert(t, c.first.Ending != back.EndingSilent || r.GiveUp())
					return *c.first
				}
				if c.before != nil {
					c.before(f, map[call.ReplicaID]call.ReplicaID{"a": "b", "b": "a"}[to.ID], sink)
				}
				if !done {
					done = true
					assert.Equal(t, r.GiveUp(), c.want)
				}
				return completeResult(http.StatusOK)
			})
			j := job("1", 0, true)
			j.Call.Fingerprint = 7
			f.Run(t.Context(), j, (&recorder{}).sink())
			assert.Assert(t, done)
		})
	}
}

// A place and a retry that were taken for an attempt that ends by itself are returned.
func TestUnusedTakeoverIsReturned(t *testing.T) {
	for name, result := range map[string]back.Result{
		"complete":    completeResult(http.StatusOK),
		"caller gone": {Ending: back.EndingCancelled, BytesWritten: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := silentFixture(t, func(_ *fixture, _ back.Target, r back.Request, _ func(back.Event) error) back.Result {
				assert.Assert(t, r.GiveUp())
				return result
			})
			f.c.Retry.SetBudget(0, 2)
			f.Run(t.Context(), job("1", 0, true), (&recorder{}).sink())
			assert.Equal(t, len(f.sent), 1)
			assert.Equal(t, f.retriesLeft(), 2)
			assert.Assert(t, f.hasRoom("a") && f.hasRoom("b"))
		})
	}
}

// A silence that cannot be taken over is one failure of its replica, which gets no further
// requests after three.
func TestSilenceIsOneFailure(t *testing.T) {
	f := silentFixture(t, func(_ *fixture, _ back.Target, r back.Request, _ func(back.Event) error) back.Result {
		for range 3 {
			assert.Assert(t, !r.GiveUp())
		}
		return silentResult()
	})
	f.c.Router.Started(time.Now(), "b", 1)
	for _, want := range []int{0, 0, 1} {
		f.Run(t.Context(), job("1", 0, false), (&recorder{}).sink())
		assert.Equal(t, len(f.c.Router.Ejected(time.Now())), want)
	}
}

// A request leaves its silent replica when its deadline is over, its caller has gone or the
// VM is forced to stop: nobody waits for the answer any more.
func TestSilenceEndsWithItsJob(t *testing.T) {
	for name, c := range map[string]struct {
		deadline   time.Duration
		cause      error
		idempotent bool
		ending     back.Ending
		want       Reason
	}{
		"deadline":    {deadline: 50 * time.Millisecond, ending: back.EndingSilent, want: ReasonBackendFailed},
		"caller gone": {cause: context.Canceled, idempotent: true, ending: back.EndingCancelled, want: ReasonCallerGone},
		"forced stop": {cause: ErrStopping, ending: back.EndingSilent, want: ReasonBackendFailed},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			f := silentFixture(t, func(f *fixture, to back.Target, r back.Request, _ func(back.Event) error) back.Result {
				f.c.Router.Started(time.Now(), otherReplica(to.ID), 1)
				assert.Assert(t, !r.GiveUp())
				time.Sleep(c.deadline)
				if c.cause != nil {
					cancel(c.cause)
				}
				assert.Assert(t, r.GiveUp())
				return back.Result{Ending: c.ending, BytesWritten: true}
			})
			j := job("1", 0, c.idempotent)
			if c.deadline != 0 {
				j.Call.Deadline = time.Now().Add(c.deadline)
			}
			answer := f.Run(ctx, j, (&recorder{}).sink())
			assert.Equal(t, answer.Outcome, call.OutcomeUnknown)
			assert.Equal(t, answer.Reason, c.want)
			assert.Equal(t, len(f.sent), 1)
		})
	}
}

// An at-most-once request stays at its silent replica although its caller has gone, so that
// a repeat with its key gets the recorded answer.
func TestSilenceOutlastsCallerOfAtMostOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f := silentFixture(t, func(_ *fixture, _ back.Target, r back.Request, _ func(back.Event) error) back.Result {
		cancel()
		if r.GiveUp() {
			return silentResult()
		}
		return completeResult(http.StatusOK)
	})
	answer := f.Run(ctx, job("1", 0, false), (&recorder{}).sink())
	assert.Equal(t, answer.Outcome, call.OutcomeRan, answer.Message)
	assert.Equal(t, len(f.sent), 1)
}

// otherReplica returns the one of the fixture's replicas that is not id.
func otherReplica(id call.ReplicaID) call.ReplicaID {
	return map[call.ReplicaID]call.ReplicaID{"a": "b", "b": "a"}[id]
}
