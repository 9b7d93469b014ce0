// Package retry decides whether a failed attempt of a call is retried, and after
// which pause. Retries are limited by budgets, one for the VM and one for each
// class, that grow with the number of first attempts, so that retries never
// multiply the load on a failing fleet.
//
// # Usage
//
//	p, err := retry.New(retry.Config{Rand: rand.New(rand.NewPCG(1, 2))})
//	p.RecordFirstAttempt(now, c.Class, 0.1) // once for each call, with its first attempt
//	d := p.Decide(now, retry.Attempt{
//		Class:      c.Class,
//		Idempotent: c.Idempotent,
//		Deadline:   c.Deadline,
//		Number:     1,
//		Outcome:    call.OutcomeNotRun,
//		Cause:      retry.CauseUnreachable,
//	})
//	if d.Action == retry.ActionRetry {
//		// after d.Wait, on another replica
//	}
//
// A call that is not idempotent is retried only if no attempt of it can have run.
// There is no hedging: no second attempt starts while one is running.
// A Policy is safe for concurrent use.
package retry
