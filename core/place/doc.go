// Package place plans which models, adapters and versions are loaded on which
// backend servers, and decides for how long a holder of the platform's lease may
// order it.
//
// # Usage
//
//	p := place.NewPlanner(place.Config{}.Defaults())
//	for _, order := range p.Plan(now, needs, replicas) {
//		send(order)
//	}
//
// Plan is called again and again with the newest reports, which may lag; it
// remembers its own orders until reports that surely show their effect arrive.
// An order states a target, so that giving it twice does no harm. A Tenure says
// before each order whether the lease still covers it.
//
// # Last copies
//
// No order to unload may leave a model below its floor. Only copies that surely
// stay are counted for it: reported after the holder's own number reached the
// engine (or, where the engine ignores numbers, after all orders of earlier
// holders have ended), not ordered away, and not on a leaving backend server.
// Where engines ignore numbers, one copy more is kept: a paused holder that
// wakes up between its last check and its write can give one late order.
//
// The package has no I/O; it is not safe for concurrent use.
package place
