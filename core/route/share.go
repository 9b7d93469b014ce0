package route

import (
	"time"

	"gentianwell/core/call"
)

const (
	// busyLoad is the load per slot of the long lane from which each VM is limited
	// to its share of it.
	busyLoad = 0.8
	// minShare is the minimum share of a VM, as a fraction of an even share, so that
	// a VM whose callers have just arrived is not locked out.
	minShare = 0.3
	// shareReportMaxAge is the age up to which a load report counts towards the load of
	// the lane.
	shareReportMaxAge = 10 * time.Second
)

// overShare reports whether this VM's calls in flight use up its share of a busy long
// lane. It also returns their number and the share, both in calls.
//
// Load reports are stale when they arrive, and all VMs read the same ones. If each VM
// filled the slots that look free, together they would send many times the calls that
// fit, which would wait at the engines beyond their latency targets. A VM's own calls
// in flight, however, are known without delay.
func (r *Router) overShare(now time.Time, p *pool, l lane) (inFlight, share float64, over bool) {
	if !l.long {
		return 0, 0, false
	}
	var load, slots float64
	for _, s := range p.all {
		if s.counts(now, l) {
			inFlight += float64(s.inFlight)
			load += s.load(now, shareReportMaxAge)
			slots += float64(s.Slots)
		}
	}
	if !p.window.allows() {
		return p.window.pending, p.window.size, true
	}
	if load < busyLoad*slots {
		return inFlight, 0, false
	}
	share = max(1, longMaxLoad*slots*p.classes.ownShare(now, p.classes.longThreshold(now), r.vms))
	return inFlight, share, inFlight+1 > share
}

// counts reports whether calls on the replica count towards the VM's share of the lane.
func (s *state) counts(now time.Time, l lane) bool { return l.has(s) && !s.ejected(now) }

// counts reports whether the pool has the replica and calls on it count towards the VM's
// share of the lane.
func (p *pool) counts(now time.Time, l lane, id call.ReplicaID) bool {
	for _, s := range p.all {
		if s.ID == id {
			return s.counts(now, l)
		}
	}
	return false
}
