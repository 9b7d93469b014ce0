// Package poison recognises a request that crashes the backend servers that run
// it, also when its caller sends it again through other VMs, and bounds how many
// of them it can take down.
//
// A request is known by its keyed fingerprint. Each call that was in flight on a
// replica when it crashed gets a crash against its fingerprint. With
// SuspectAfter crashes it is suspect: it runs only alone on a replica. A crash
// while it runs alone convicts it: it is refused from then on. Runs that finish
// count against the crashes, so that those which merely happened to be in flight
// are exonerated. Records spread by gossip as items with one writer each.
//
// A request that crashes every server, sent again when its answer's Retry-After
// says so, takes down at most SuspectAfter+1 of them: wherever it runs next, the
// VM knows of all its crashes before. With p copies at the same time the bound is
// p times that, and a copy sent before the Retry-After counts as one more.
// Both hold while gossip reaches all VMs within SpreadTime and no VM is lost
// with crashes that it has not yet published.
//
// # Usage
//
//	r, err := poison.New(poison.Config{Self: "e1"})
//	switch v := r.Judge(now, fp); v.Action {
//	case poison.ActionRun: // choose a replica as usual
//	case poison.ActionAlone: // route.Router.PickAlone; wait while it is busy
//	case poison.ActionRefuse: // final answer
//	}
//	r.Finished(now, fp)                          // the run ended with a whole answer
//	v := r.Crashed(now, fp, replicaID, alone)    // the replica crashed under it
//	// retry by v.Action, or answer with Retry-After r.Publish(now, fp)
//
// Gossip: put r.Pending(now) into the store of items, and hand each item heard
// to r.Merge. A Registry is safe for concurrent use.
package poison
