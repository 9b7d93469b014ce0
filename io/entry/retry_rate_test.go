package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/retry"
)

// A VM may make its share of the retries that all VMs may make, no more and not much less.
func TestRateOfRetries(t *testing.T) {
	const slack, window = 120, 10 * time.Second
	now := time.Unix(1000, 0)
	e := testEntry(t, Config{RetrySlack: slack, RetryWindow: window}, func() time.Time { return now })
	e.setBudget()
	failed := retry.Attempt{Class: "s", Idempotent: true, Number: 1, MaxAttempts: 2, Outcome: call.OutcomeUnknown, Cause: retry.CauseFailed, BytesWritten: true}
	allowed := 0
	for end := now.Add(10 * window); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if e.retry.Decide(now, failed).Action == retry.ActionRetry {
			allowed++
		}
	}
	// Ten windows; this VM counts as one of assumedVMs.
	share := 10 * slack * budgetFraction / assumedVMs
	assert.Assert(t, float64(allowed) >= 0.95*share && float64(allowed) <= 1.1*share, "%d retries, share %g", allowed, share)
}
