// Package claims makes the claims of core/claim in the platform's key-value
// service. It groups the writes of one VM into transactions, attaches leases that
// delete records after their retention, and retries unfinished writes in the
// background.
//
// # Usage
//
//	c := claims.New(claims.Config{Service: svc, VM: "e1", Nonce: rand.Text, Every: timers.Every})
//	group.Add(func() error { return c.Run(ctx) }, func(error) { cancel() })
//
//	attempt := c.Begin(ctx, claim.Request{ID: id, Team: team, Service: model, Key: key, Fingerprint: sum})
//	switch attempt.Verdict().Kind {
//	case claim.KindRun:
//		if err := attempt.MarkSent(time.Now()); err != nil { ... } // before the first byte
//		err := c.Finish(ctx, attempt, outcome)
//	...
//	}
//
// An attempt may be used only by the goroutine that began it, and not after it
// was passed to Finish or Release.
package claims
