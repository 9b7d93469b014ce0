package route

import "time"

const (
	// busyLoad is the load per slot of the long lane from which on each VM keeps to
	// its share of it.
	busyLoad = 0.8
	// minShare is the least part of an even share that a VM has, so that one whose
	// callers have just come is not shut out.
	minShare = 0.3
	// shareReportMaxAge is how long a report tells that a lane is busy.
	shareReportMaxAge = 10 * time.Second
)

// overShare reports whether this VM has its share of a busy long lane in flight. A
// load report is old when it arrives, and all VMs read the same one: where each fills
// what it believes free, they send many times what there is room for, and calls
// wait at the engines past their targets. Own calls in flight are known at once. It
// returns these and the share, both in calls.
func (r *Router) overShare(now time.Time, p *pool, l lane) (inFlight, share float64, over bool) {
	if !l.long {
		return 0, 0, false
	}
	var load, slots float64
	for _, s := range p.all {
		if l.has(s) && !s.ejected(now) {
			inFlight += float64(s.inFlight)
			load += s.load(now, shareReportMaxAge)
			slots += float64(s.Slots)
		}
	}
	if load < busyLoad*slots {
		return inFlight, 0, false
	}
	share = max(1, longMaxLoad*slots*p.classes.ownShare(now, p.classes.longThreshold(now), r.vms))
	return inFlight, share, inFlight+1 > share
}
