// Package quota keeps to the limits that backend servers name for all VMs together, in
// requests a second, without asking another VM before each request.
//
// A server names its limit in its answers, for as long as it says so. Each VM tells the others
// of what it hears (Record), and all rank the VMs in the same order for each server. The first of
// them, as many as get MinShare each, hold an even part of the limit in a token bucket; the
// others send nothing to that server. An even part for each VM would not do: with some hundred VMs
// it is less than a request in many seconds, and as each VM must be able to send one request,
// together they could send hundreds within a second.
//
// # Bounds
//
// In any time T the VMs that agree about the list of VMs send at most
//
//	limit x T + max(number of holders, limit x BurstTime)
//
// requests, where there are at most max(1, limit / MinShare) holders. A VM that is new on the list
// begins with an empty bucket. What a VM has sent within Window before it hears of a limit counts
// against its part.
//
// A limit ends when a server answers a request, sent after the latest answer with the limit was
// known, without one. A VM that hears nothing of a limit for MaxAge forgets it; the VMs do so at
// different times, and the first one to be answered tells the others.
//
// # Usage
//
//	l, err := quota.New(quota.Config{Self: "e1", Rand: rng})
//	l.SetReplicas(replicas) // those that may be sent to
//	l.SetVMs(now, vms)      // all VMs known, this one included
//	if l.Allows(now, id) {
//		l.Sent(now, id)
//		…
//		change, record, tell := l.Observe(now, quota.Answer{Replica: id, Sent: sent, Limit: limit})
//	}
//	change := l.Merge(now, record) // from another VM
//
// The package has no I/O. A Limits is safe for concurrent use.
package quota
