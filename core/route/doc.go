// Package route chooses the replica that runs a call.
//
// A Router knows the replicas of the fleet, the work that its own VM has in
// flight on each of them, and the load reports that the replicas publish with a
// lag. It talks only to a stable subset of the replicas of each model, takes the
// better one of a few random candidates, prefers its own availability zone and a
// replica that is believed to hold the prompt's prefix, gives a fresh replica
// its share step by step, and leaves out replicas that fail or are far slower
// than the others, up to a cap. Plain services are models like any other.
//
// # Usage
//
//	r, err := route.New(route.Config{
//		Self: "e1",
//		Zone: "sala",
//		Rand: rand.New(rand.NewPCG(1, 2)),
//	})
//	r.SetReplicas(now, replicas)
//	r.Arrived(now, c) // once for each call
//	d, err := r.Pick(now, c, nil)
//	switch {
//	case errors.Is(err, route.ErrBusy): // keep it queued until something finishes
//	case errors.Is(err, route.ErrNoReplica): // refuse
//	}
//	r.Started(now, d.Replica.ID, cost)
//	r.Hints().Sent(c.Model, c.Prefixes, d.Replica.ID)
//	// ... run it on d.Replica.Address ...
//	r.Finished(now, d.Replica.ID, cost, route.Result{Status: route.StatusOK, FirstToken: ft})
//
// Load reports go in by Report, cache events by Hints().Apply. A call that has
// to be alone on its replica takes PickAlone and StartedAlone.
// A Router is safe for concurrent use; each call is short and does no I/O.
package route
