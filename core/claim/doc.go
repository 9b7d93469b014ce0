// Package claim decides how a non-idempotent call runs at most once over all
// VMs, and what a repeat of it is answered. A claim is a record under the call's
// key in the platform's key-value service; whoever created it may send the call
// to one backend server, nobody else ever sends it while the record exists.
//
// # Usage
//
// An Attempt is one VM's handling of one request. It says which conditional
// write it wants next and is told how that ended:
//
//	a := claim.NewAttempt(claim.AttemptConfig{Request: req, VM: "e1", Nonce: nonce, Now: now})
//	for a.Pending() {
//		a.Apply(carryOut(a.Next()))
//	}
//	if v := a.Verdict(); v.Kind != claim.KindRun {
//		return v // an answer without a run
//	}
//	if err := a.MarkSent(now); err != nil { ... } // directly before the first byte
//	a.Finish(outcome)                         // then Pending again: one more write
//
// # Conditions
//
// Each write holds only if the key was last changed at one revision (0: absent).
// A write whose reply is lost may still be under way. It is settled by the same
// write again, nonce included: at most one of the two is ever committed, and a
// refusal shows by the nonce of the record whose it is. Where the platform gives
// no answer, the call is refused and never sent, and a released record under the
// same condition is written as soon as possible: that one committed, the lost
// write never can be. A released record stays in the key's place until the
// retention ends, since only an existing record keeps a late creation out.
//
// The package has no I/O; it is not safe for concurrent use.
package claim
