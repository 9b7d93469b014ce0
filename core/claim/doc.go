// Package claim makes a non-idempotent call run at most once across all VMs and
// decides how a repeat of it is answered. A claim is a record under the call's
// key in the platform's key-value service. Only the attempt that created the
// record may send the call, to one backend server; no other attempt sends it
// while the record exists.
//
// # Usage
//
// An Attempt is one VM's handling of one request. It returns the next
// conditional write to make and takes its result:
//
//	a := claim.NewAttempt(claim.AttemptConfig{Request: req, VM: "e1", Nonce: nonce, Now: now})
//	for a.Pending() {
//		a.Apply(write(a.Next()))
//	}
//	if v := a.Verdict(); v.Kind != claim.KindRun {
//		return v // answered without running the call
//	}
//	if err := a.MarkSent(now); err != nil { ... } // directly before the first byte
//	a.Finish(outcome)                         // pending again: one more write
//
// # Conditional writes
//
// Each write is committed only if the key was last changed at a given revision
// (0: the key does not exist). A write whose reply is lost may still be in
// flight. It is retried with the same nonce: at most one of the tries is ever
// committed, and if a retry is refused, the nonce of the record found shows
// whether an earlier try created it. If the platform does not reply, the call
// is refused and never sent, and a released record is written under the same
// condition as soon as possible: once that is committed, the lost write can no
// longer take effect. A released record is kept until the retention ends, since
// only an existing record prevents a delayed write from creating one.
//
// The package has no I/O; it is not safe for concurrent use.
package claim
