package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/retry"
)

func Example() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	p, err := retry.New(retry.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	if err != nil {
		fmt.Println(err)
		return
	}
	p.RecordFirstAttempt(now, "payment", 0.1)
	failed := retry.Attempt{Class: "payment", Number: 1, Outcome: call.OutcomeNotRun, Cause: retry.CauseUnreachable}
	d := p.Decide(now, failed)
	fmt.Println(d.Action, d.Reason)

	failed.Outcome, failed.Cause, failed.BytesWritten = call.OutcomeUnknown, retry.CauseCrashed, true
	d = p.Decide(now, failed)
	fmt.Println(d.Action, d.Reason)
	// Output:
	// retry notRun
	// giveUp mayHaveRun
}
