// Package route chooses the replica that runs a call.
//
// A Router tracks the replicas of the fleet, the work that its own VM has in
// flight on each of them, and the load reports of the replicas, which arrive with
// a delay. It sends calls only to a stable subset of the replicas of each model,
// picks the best of a few random candidates, prefers its own availability zone and
// replicas that probably have the prompt's prefix cached, raises the share of a
// new replica gradually (slow start), and ejects replicas that fail or are much
// slower than the others, up to a maximum share. A service that is not a language
// model is treated as a model, too.
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
//	case errors.Is(err, route.ErrBusy): // keep it queued until a call finishes
//	case errors.Is(err, route.ErrNoReplica), errors.Is(err, route.ErrLimited): // refuse
//	}
//	r.Started(now, d.Replica.ID, cost)
//	r.Hints().Sent(c.Model, c.Prefixes, d.Replica.ID)
//	// ... run it on d.Replica.Address ...
//	r.Finished(now, d.Replica.ID, cost, route.Result{Status: route.StatusOK, FirstToken: ft})
//
// Config.Limits holds back calls from replicas that name a limit for all VMs together.
// Report passes in load reports, Hints().Apply cache events. Calls that must run
// alone on their replica use PickAlone, StartedAlone and FinishedAlone.
// A Router is safe for concurrent use; each call is short and does no I/O.
package route
