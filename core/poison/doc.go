// Package poison recognises a request that crashes the backend servers that run
// it, also when its caller sends it again through other VMs, and bounds how many
// of them it can crash.
//
// A request is identified by its keyed fingerprint. Each call that was in flight
// on a replica when it crashed gets a crash recorded against its fingerprint.
// After SuspectAfter crashes a request is suspect: it runs only alone on a
// replica. After a crash while it ran alone it is refused. Runs that finish count
// against the crashes, so that requests which only happened to be in flight
// during a crash are exonerated. Records spread by gossip as items, each with a
// single writer.
//
// A request that crashes every server, sent again when the response's Retry-After
// says so, crashes at most SuspectAfter+1 of them: wherever it runs next, the VM
// already knows of all its crashes. With p copies at the same time the bound is
// p times that, and a copy sent before the Retry-After counts as one more.
// Both hold while gossip reaches all VMs within SpreadTime and no VM is lost
// with crashes that it has not yet published.
//
// Where no backend server is ever idle, Config.RefuseAfter refuses a request by its
// number of crashes alone. The cap is then RefuseAfter, counted in the same way.
//
// # Usage
//
//	r, err := poison.New(poison.Config{Self: "e1"})
//	switch v := r.Judge(now, fp); v.Action {
//	case poison.ActionRun: // choose a replica as usual
//	case poison.ActionAlone: // route.Router.PickAlone; wait while it is busy
//	case poison.ActionRefuse: // respond with a final error
//	}
//	r.Finished(now, fp)                          // the run ended with a complete response
//	v := r.Crashed(now, fp, replicaID, alone)    // the replica crashed during the run
//	// retry by v.Action, or respond with Retry-After r.Publish(now, fp)
//
// Gossip: put the items of r.Pending(now) into the gossip store, and pass each
// item received to r.Merge. Stores with one key for each fingerprint: write r.Snapshot
// for each of r.TakeChanged, and pass what is read to r.MergeSnapshot. A Registry is safe
// for concurrent use.
package poison
