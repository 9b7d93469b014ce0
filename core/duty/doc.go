// Package duty decides which VM carries out a duty that one VM at a time may have, such as
// calls to the platform's API that are fenced by a token.
//
// One lease in the store covers all duties. Its holder announces itself to the other VMs,
// which try to take the lease in an order of ranks once the announcement has expired.
//
// # Usage
//
//	c := duty.NewCandidate(duty.CandidateConfig{Self: vm, Lease: 3 * time.Second}, now)
//	c.Heard(now, duty.Announcement{Holder: "vm-2", Token: 17}, ttl)
//	if c.Due(now, duty.Rank(vm, others)) {
//		// read the store's key; if it is absent:
//		ok, reason := c.MayTake(now, lastToken)
//	}
//
// All times of a Candidate and a Term are of one clock that also runs while the VM is
// suspended. The package has no I/O.
package duty
