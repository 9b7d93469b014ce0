// Package claims carries out the claims of core/claim on the platform's
// key-value service: it groups the writes of one VM into transactions, keeps the
// retention's lease and goes on with writes that nobody waits for any more.
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
// An attempt belongs to the goroutine that began it until it is given to Finish
// or Release.
package claims
