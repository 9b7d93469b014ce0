package route

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// minToKeepFree is the minimum number of replicas of a model for one of them to be kept
// free for a call that must run alone.
const minToKeepFree = 2

// PickAlone chooses a replica that, as far as is known, has no calls in flight from any
// VM. It searches all replicas of the model, not only the subset. The replica is kept
// free of this VM's other calls for AloneWait or until FinishedAlone; the caller must
// notify the other VMs. If no replica is idle, the least loaded one is kept free: the
// error is ErrBusy, the decision names the replica, and a later PickAlone returns it.
// At most one replica of a model is kept free or runs a call alone at a time, so that
// the others remain in service.
//
// Errors: ErrNoReplica, ErrBusy.
func (r *Router) PickAlone(now time.Time, c call.Call, exclude []call.ReplicaID) (Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[c.Model]
	if p == nil {
		return Decision{}, errors.Annotatef(ErrNoReplica, "Router.PickAlone: %s", c.Model)
	}
	d := Decision{Reason: ReasonAlone}
	usable := r.usableForAlone(now, p, exclude, &d)
	if len(usable) == 0 {
		return d, errors.Annotatef(ErrNoReplica, "Router.PickAlone: %s", c.Model)
	}
	s := r.replicaToKeepFree(now, p, usable)
	if s == nil {
		return d, errors.Annotatef(ErrBusy, "Router.PickAlone: %s", c.Model)
	}
	s.keptFreeUntil = now.Add(r.cfg.AloneWait)
	d.Replica = s.Replica
	d.Load = s.load(now, r.cfg.ReportMaxAge) / float64(s.Slots)
	d.Usable = len(usable)
	if d.Load > 0 {
		return d, errors.Annotatef(ErrBusy, "Router.PickAlone: %s", c.Model)
	}
	return d, nil
}

// usableForAlone returns the replicas that are neither excluded nor ejected.
func (r *Router) usableForAlone(now time.Time, p *pool, exclude []call.ReplicaID, d *Decision) []*state {
	var usable []*state
	for _, s := range p.all {
		switch {
		case slices.Contains(exclude, s.ID):
			d.skip(s.ID, SkipExcluded)
		case s.ejected(now):
			d.skip(s.ID, SkipEjected)
		default:
			usable = append(usable, s)
		}
	}
	return usable
}

// replicaToKeepFree returns the replica to keep free: an idle one, the one that is kept
// free already or, if the model has several replicas, the least loaded. It returns nil
// if none may be kept free.
func (r *Router) replicaToKeepFree(now time.Time, p *pool, usable []*state) *state {
	var kept *state
	for _, s := range p.all {
		if s.runsAlone() || now.Before(s.reservedUntil) {
			return nil
		}
		if s.keptFree(now) {
			kept = s
		}
	}
	s := r.leastLoaded(now, usable)
	switch {
	case s.load(now, r.cfg.ReportMaxAge) == 0:
		if kept != nil {
			kept.keptFreeUntil = time.Time{}
		}
		return s
	case slices.Contains(usable, kept):
		return kept
	case len(p.all) < minToKeepFree:
		return nil
	}
	return s
}

// leastLoaded returns the least loaded replica. It starts at a random one to break ties
// at random.
func (r *Router) leastLoaded(now time.Time, list []*state) *state {
	start := r.cfg.Rand.IntN(len(list))
	best := list[start]
	for _, s := range slices.Concat(list[start:], list[:start]) {
		if s.load(now, r.cfg.ReportMaxAge) < best.load(now, r.cfg.ReportMaxAge) {
			best = s
		}
	}
	return best
}

// StartedAlone is Started for a call that must run alone: until FinishedAlone, Pick and
// PickAlone do not choose the replica.
func (r *Router) StartedAlone(now time.Time, id call.ReplicaID, cost float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byID[id]; s != nil {
		s.aloneInFlight++
		s.keptFreeUntil = time.Time{}
		r.start(now, s, cost)
	}
}

// FinishedAlone is Finished for a call started by StartedAlone.
func (r *Router) FinishedAlone(now time.Time, id call.ReplicaID, cost float64, result Result) EjectReason {
	r.mu.Lock()
	if s := r.byID[id]; s != nil {
		s.aloneInFlight = max(0, s.aloneInFlight-1)
	}
	r.mu.Unlock()
	return r.Finished(now, id, cost, result)
}

// Reserve keeps this VM's calls off a replica until the given time, because another VM
// runs a call there that must run alone.
func (r *Router) Reserve(id call.ReplicaID, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byID[id]; s != nil {
		s.reservedUntil = until
	}
}
