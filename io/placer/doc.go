// Package placer lets one VM at a time order the engines what to load: it holds
// the platform's lease, uses the create revision of the lease's key as fencing
// number and gives the orders that core/place plans.
//
// # Usage
//
//	p := placer.New(placer.Config{
//		Service: svc, VM: "e1", Nonce: rand.Text, Every: timers.Every,
//		Needs: needs, Replicas: replicas, Order: order,
//	})
//	group.Add(func() error { return p.Run(ctx) }, func(error) { cancel() })
//
// Orders are given one after the other, each after a look at the clock: a paused
// holder that wakes up between that look and the write gives one late order at
// most, which engines that check numbers refuse, and which the floor's extra copy
// in core/place makes up for at those that don't.
package placer
