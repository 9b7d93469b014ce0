package route

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// minToKeepFree is how many replicas a model needs for one of them to be kept
// free of other calls before a call that has to be alone.
const minToKeepFree = 2

// PickAlone chooses a replica on which, as far as is known, nobody has anything
// in flight. It searches all replicas of the model, not only the subset. The
// replica is kept free of this VM's other calls for AloneWait or until
// FinishedAlone; other VMs have to be told. Where none is idle, the least loaded
// one is kept free: the error is ErrBusy, the decision names the replica, and a
// later PickAlone returns it. At most one replica of a model is kept free or in
// use for this at a time, so that the others go on serving.
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
	left := r.notExcluded(now, p, exclude, &d)
	if len(left) == 0 {
		return d, errors.Annotatef(ErrNoReplica, "Router.PickAlone: %s", c.Model)
	}
	s := r.replicaToKeepFree(now, p, left)
	if s == nil {
		return d, errors.Annotatef(ErrBusy, "Router.PickAlone: %s", c.Model)
	}
	s.keptFreeUntil = now.Add(r.cfg.AloneWait)
	d.Replica = s.Replica
	d.Load = s.load(now, r.cfg.ReportMaxAge) / float64(s.Slots)
	d.Usable = len(left)
	if d.Load > 0 {
		return d, errors.Annotatef(ErrBusy, "Router.PickAlone: %s", c.Model)
	}
	return d, nil
}

// notExcluded returns the replicas that are neither excluded nor ejected.
func (r *Router) notExcluded(now time.Time, p *pool, exclude []call.ReplicaID, d *Decision) []*state {
	var left []*state
	for _, s := range p.all {
		switch {
		case slices.Contains(exclude, s.ID):
			d.pass(s.ID, SkipExcluded)
		case s.ejected(now):
			d.pass(s.ID, SkipEjected)
		default:
			left = append(left, s)
		}
	}
	return left
}

// replicaToKeepFree returns the replica to be kept free: an idle one, the one that is kept
// already or, where the model has several replicas, the least loaded. It returns
// nil where none may be.
func (r *Router) replicaToKeepFree(now time.Time, p *pool, left []*state) *state {
	var kept *state
	for _, s := range p.all {
		if s.runsAlone() || now.Before(s.reservedUntil) {
			return nil
		}
		if s.keptFree(now) {
			kept = s
		}
	}
	s := r.leastLoaded(now, left)
	switch {
	case s.load(now, r.cfg.ReportMaxAge) == 0:
		if kept != nil {
			kept.keptFreeUntil = time.Time{}
		}
		return s
	case slices.Contains(left, kept):
		return kept
	case len(p.all) < minToKeepFree:
		return nil
	}
	return s
}

// leastLoaded starts at a random replica, so that ties are broken at random.
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

// StartedAlone is Started for a call that has to be alone: until FinishedAlone
// no other call is sent to the replica.
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

// Reserve keeps calls of this VM off a replica until a time, because another VM
// runs a call there that has to be alone.
func (r *Router) Reserve(id call.ReplicaID, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byID[id]; s != nil {
		s.reservedUntil = until
	}
}
