// Package place plans which models, adapters and versions are loaded on which
// backend servers, and decides when a holder of the platform's lease may send
// the orders.
//
// # Usage
//
//	p := place.NewPlanner(place.Config{}.Defaults())
//	for _, order := range p.Plan(now, needs, replicas) {
//		send(order)
//	}
//
// Plan is called repeatedly with the latest reports, which may lag. The planner
// remembers its orders until a report is certain to show their effect, or until
// they time out. Orders are idempotent. Call Term.MayOrder before each order to
// check that the lease still covers it.
//
// # Last copies
//
// No unload order may take a model below MinCopies. Only confirmed copies count
// towards it: those reported after the lease holder's own fencing token reached
// the engine (or, where the engine ignores fencing tokens, after all orders of
// earlier holders have ended), without a pending unload order, and not on a
// leaving backend server. Where engines ignore fencing tokens, one more copy is
// kept: a holder that was paused between its last check and its write can send
// one late order when it resumes.
//
// The package has no I/O; it is not safe for concurrent use.
package place
