package route

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// PickAlone chooses a replica on which, as far as is known, nobody has anything
// in flight. It searches all replicas of the model, not only the subset.
//
// Errors: ErrNoReplica, ErrBusy where every replica has something in flight.
func (r *Router) PickAlone(now time.Time, c call.Call, exclude []call.ReplicaID) (Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[c.Model]
	if p == nil {
		return Decision{}, errors.Annotatef(ErrNoReplica, "Router.PickAlone: %s", c.Model)
	}
	var d Decision
	idle, busy := r.idle(now, p, exclude, &d)
	if len(idle) == 0 {
		if busy {
			return d, errors.Annotatef(ErrBusy, "Router.PickAlone: %s", c.Model)
		}
		return d, errors.Annotatef(ErrNoReplica, "Router.PickAlone: %s", c.Model)
	}
	d.Replica = idle[r.c.Rand.IntN(len(idle))].Replica
	d.Reason = ReasonAlone
	d.Usable = len(idle)
	return d, nil
}

func (r *Router) idle(now time.Time, p *pool, exclude []call.ReplicaID, d *Decision) (idle []*state, busy bool) {
	for _, s := range p.all {
		switch {
		case slices.Contains(exclude, s.ID):
			d.pass(s.ID, PassedExcluded)
		case s.ejected(now):
			d.pass(s.ID, PassedEjected)
		case s.reserved(now), s.load(now, r.c.ReportMaxAge) > 0:
			busy = true
			d.pass(s.ID, PassedInUse)
		default:
			idle = append(idle, s)
		}
	}
	return idle, busy
}

// StartedAlone is Started for a call that has to be alone: until FinishedAlone
// no other call is sent to the replica.
func (r *Router) StartedAlone(now time.Time, id call.ReplicaID, cost float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byID[id]; s != nil {
		s.reservedBy++
		r.start(now, s, cost)
	}
}

// FinishedAlone is Finished for a call started by StartedAlone.
func (r *Router) FinishedAlone(now time.Time, id call.ReplicaID, cost float64, result Result) EjectReason {
	r.mu.Lock()
	if s := r.byID[id]; s != nil {
		s.reservedBy = max(0, s.reservedBy-1)
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
