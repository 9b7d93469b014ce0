package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
)

var t0 = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newPolicy(t assert.TestingT, c Config) *Policy {
	c.Rand = rand.New(rand.NewPCG(gwtest.Seed(), 1))
	p, err := New(c)
	assert.NilError(t, err)
	return p
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		in     Attempt
		action Action
		reason Reason
	}{
		{"dial failed", Attempt{Outcome: call.OutcomeNotRun, Cause: CauseUnreachable}, ActionRetry, ReasonNotRun},
		{"refused by contract", Attempt{Outcome: call.OutcomeNotRun, Cause: CauseBusy, BytesWritten: true}, ActionRetry, ReasonNotRun},
		{"written and failed", Attempt{Outcome: call.OutcomeNotRun, Cause: CauseFailed, BytesWritten: true}, ActionGiveUp, ReasonMayHaveRun},
		{"crashed", Attempt{Outcome: call.OutcomeUnknown, Cause: CauseCrashed, BytesWritten: true}, ActionGiveUp, ReasonMayHaveRun},
		{"unknown, nothing written", Attempt{Outcome: call.OutcomeUnknown, Cause: CauseFailed}, ActionGiveUp, ReasonMayHaveRun},
		{"idempotent, crashed", Attempt{Idempotent: true, Outcome: call.OutcomeUnknown, Cause: CauseCrashed, BytesWritten: true}, ActionRetry, ReasonIdempotent},
		{"idempotent, silent", Attempt{Idempotent: true, Outcome: call.OutcomeUnknown, Cause: CauseSilent, BytesWritten: true}, ActionRetry, ReasonIdempotent},
		{"answered", Attempt{Idempotent: true, Outcome: call.OutcomeRan}, ActionGiveUp, ReasonAnswered},
		{"rejected", Attempt{Idempotent: true, Outcome: call.OutcomeNotRun, Cause: CauseRejected}, ActionGiveUp, ReasonRejected},
		{"canceled", Attempt{Idempotent: true, Outcome: call.OutcomeUnknown, Cause: CauseCanceled}, ActionGiveUp, ReasonCanceled},
		{"delivered in part", Attempt{Idempotent: true, Outcome: call.OutcomeUnknown, Cause: CauseCrashed, Delivered: true}, ActionGiveUp, ReasonDelivered},
		{"third attempt", Attempt{Idempotent: true, Outcome: call.OutcomeNotRun, Cause: CauseBusy, Number: 3}, ActionGiveUp, ReasonAttempts},
		{"deadline near", Attempt{Outcome: call.OutcomeNotRun, Cause: CauseBusy, Deadline: t0.Add(40 * time.Millisecond)}, ActionGiveUp, ReasonDeadline},
		{"deadline far", Attempt{Outcome: call.OutcomeNotRun, Cause: CauseBusy, Deadline: t0.Add(time.Second)}, ActionRetry, ReasonNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.in.Number == 0 {
				tt.in.Number = 1
			}
			got := newPolicy(t, Config{}).Decide(t0, tt.in)
			assert.Equal(t, got.Action, tt.action)
			assert.Equal(t, got.Reason, tt.reason)
		})
	}
}

var crashed = Attempt{Class: "plot", Idempotent: true, Number: 1, Outcome: call.OutcomeUnknown, Cause: CauseCrashed}

// retries counts how many retries, up to most, Decide allows at the same time, and
// returns the reason for the first refusal.
func retries(p *Policy, now time.Time, a Attempt, most int) (int, Reason) {
	for n := range most {
		if d := p.Decide(now, a); d.Action == ActionGiveUp {
			return n, d.Reason
		}
	}
	return most, ""
}

func TestBudgets(t *testing.T) {
	p := newPolicy(t, Config{Burst: 10, MinPerSecond: 1})
	n, reason := retries(p, t0, crashed, 100)
	assert.Equal(t, n, 10)
	assert.Equal(t, reason, ReasonBudgetOfClass)

	other := crashed
	other.Class = "summary"
	_, reason = retries(p, t0, other, 100)
	assert.Equal(t, reason, ReasonBudgetOfVM)

	// 30 first attempts add 3 retries, and 2 seconds add 2.
	for range 30 {
		p.RecordFirstAttempt(t0, "plot", 0.1)
	}
	n, _ = retries(p, t0.Add(2*time.Second), crashed, 100)
	assert.Equal(t, n, 5)

	unreachable := crashed
	unreachable.Cause = CauseUnreachable
	n, _ = retries(p, t0.Add(2*time.Second), unreachable, 100)
	assert.Equal(t, n, 100, "a retry after CauseUnreachable takes nothing from the budgets")
}

// Refund returns a retry to both budgets, which never exceed Burst.
func TestRefund(t *testing.T) {
	p := newPolicy(t, Config{Burst: 3, MinPerSecond: 0.001})
	n, _ := retries(p, t0, crashed, 100)
	assert.Equal(t, n, 3)
	p.Refund(t0, crashed.Class)
	n, _ = retries(p, t0, crashed, 100)
	assert.Equal(t, n, 1)
	for range 9 {
		p.Refund(t0, crashed.Class)
	}
	n, _ = retries(p, t0, crashed, 100)
	assert.Equal(t, n, 3)
}

// TestRetriesStayWithinBudget checks that, for any order of attempts and failures, the
// number of retries stays within what first attempts, time and Burst allow.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share = 0.2
		c := Config{Burst: 5, MinPerSecond: 0.5}
		p := newPolicy(t, c)
		now, first, made := t0, 0, 0
		classes := rapid.SampledFrom([]call.Class{"plot", "summary", "question"})
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			a := crashed
			a.Class = classes.Draw(t, "class")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				p.RecordFirstAttempt(now, a.Class, share)
				first++
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			default:
				if p.Decide(now, a).Action == ActionRetry {
					made++
				}
			}
			allowed := c.Burst + share*float64(first) + c.MinPerSecond*now.Sub(t0).Seconds()
			assert.Assert(t, float64(made) <= allowed+1e-6, "%d retries, %g allowed", made, allowed)
		}
	})
}

func TestPauseGrowsWithJitter(t *testing.T) {
	p := newPolicy(t, Config{Backoff: 100 * time.Millisecond, BackoffMax: 300 * time.Millisecond})
	for number, longest := range map[int]time.Duration{
		1: 100 * time.Millisecond, 2: 200 * time.Millisecond, 3: 300 * time.Millisecond, 9: 300 * time.Millisecond,
	} {
		seen, most := map[time.Duration]bool{}, time.Duration(0)
		for range 200 {
			pause := p.pause(number)
			seen[pause] = true
			most = max(most, pause)
		}
		assert.Assert(t, most < longest && most > longest*8/10, "%d: %s", number, most)
		assert.Assert(t, len(seen) > 100)
	}
}

func TestClassesAreBounded(t *testing.T) {
	p := newPolicy(t, Config{MaxClasses: 10})
	for i := range 1000 {
		p.RecordFirstAttempt(t0, call.Class(fmt.Sprint(i)), 0.1)
	}
	assert.Assert(t, len(p.classes) <= 11)
}

func TestNewRefusesBadConfig(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for want, c := range map[string]Config{
		"nil Rand": {}, "MaxAttempts": {Rand: rng, MaxAttempts: -1},
		"MinPerSecond": {Rand: rng, MinPerSecond: -1}, "Burst": {Rand: rng, Burst: 0.5}, "BackoffMax": {Rand: rng, Backoff: time.Hour},
	} {
		_, err := New(c)
		assert.ErrorContains(t, err, want)
	}
}
