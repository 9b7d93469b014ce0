// Package placer elects one VM at a time to tell the engines which models to load.
// The elected VM holds a lease of the platform's key-value service, uses the create
// revision of the lease's key as its fencing token and sends the orders that
// core/place plans.
//
// # Usage
//
//	p := placer.New(placer.Config{
//		Service: svc, VM: "e1", Nonce: rand.Text, Every: timers.Every,
//		Needs: needs, Replicas: replicas, SendOrder: sendOrder,
//	})
//	group.Add(func() error { return p.Run(ctx) }, func(error) { cancel() })
//
// Orders are sent one after the other, and before each the clock is checked against
// the lease. A lease holder that is paused between that check and the write
// therefore sends at most one late order when it resumes. Engines that check fencing
// tokens refuse it; for those that don't, core/place keeps one copy more than
// MinCopies.
package placer
