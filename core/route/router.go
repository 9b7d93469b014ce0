package route

import (
	"cmp"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/hint"
)

// meanCostWeight is the weight of a new call in the mean cost.
const meanCostWeight = 0.05

// Router chooses replicas for the calls of one VM.
type Router struct {
	cfg     Config
	mu    sync.Mutex
	byID  map[call.ReplicaID]*state
	pools map[call.Model]*pool
	// list is the last list.
	list Replicas
	// vms is how many VMs route, for the size of the subsets.
	vms      int
	initialized  bool
	meanCost float64
	scratch  []*state
	// zones holds the zones in which replicas were found unreachable and none
	// has answered since.
	zones map[call.Zone]*zoneState
}

// New returns a Router without replicas. Unset fields of the config get their
// defaults.
//
// Errors: NotValid.
func New(c Config) (*Router, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "route.New")
	}
	if c.Hints == nil {
		c.Hints = hint.New(hint.Config{})
	}
	return &Router{cfg: c, vms: 1, byID: map[call.ReplicaID]*state{}, pools: map[call.Model]*pool{}, zones: map[call.Zone]*zoneState{}}, nil
}

// Hints returns the table of prefix hints, which Pick reads.
func (r *Router) Hints() *hint.Table { return r.cfg.Hints }

// SetReplicas replaces the list. What is known about the replicas that stay is
// kept. A replica that is new, or that has come back under another address, has
// a slow start, but for those of the first list. The list is not changed
// afterwards by the caller.
func (r *Router) SetReplicas(now time.Time, list Replicas) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list.equal(list) {
		return
	}
	r.list = list
	for _, s := range r.byID {
		s.listed = false
	}
	for _, replica := range list {
		r.setReplica(now, replica)
	}
	for id, s := range r.byID {
		if !s.listed && s.inFlight == 0 {
			delete(r.byID, id)
			r.cfg.Hints.Forget(id)
		}
	}
	r.initialized = r.initialized || len(list) > 0
	r.rebuild()
}

func (r *Router) setReplica(now time.Time, replica Replica) {
	s := r.byID[replica.ID]
	if s == nil || s.Address != replica.Address {
		s = r.newState(now, s)
		r.byID[replica.ID] = s
	}
	s.Replica = replica
	s.Slots = cmp.Or(s.reportedSlots, replica.Slots, r.cfg.Slots)
	s.listed = true
}

// newState returns the state of a new replica. Work that is still in flight on the
// replica's former address stays counted, so that its end is matched.
func (r *Router) newState(now time.Time, former *state) *state {
	s := &state{}
	if former != nil {
		s.setInFlight(now, former.inFlight)
		s.costInFlight = former.costInFlight
		r.cfg.Hints.Forget(former.ID)
	}
	if r.initialized {
		s.slowStartSince = now
	}
	return s
}

// SetVMs tells how many VMs route, from which the size of the subsets follows.
func (r *Router) SetVMs(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n = max(n, 1); n != r.vms {
		r.vms = n
		r.rebuild()
	}
}

// FleetSize returns the number of replicas of the model and the number of routing VMs.
func (r *Router) FleetSize(model call.Model) (replicas, vms int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[model]; p != nil {
		replicas = len(p.all)
	}
	return replicas, r.vms
}

// Started tells that a call of the cost was sent to the replica. Cost is in
// estimated tokens, or in any unit that is the same for all calls.
func (r *Router) Started(now time.Time, id call.ReplicaID, cost float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byID[id]; s != nil {
		r.start(now, s, cost)
	}
}

func (r *Router) start(now time.Time, s *state, cost float64) {
	s.setInFlight(now, s.inFlight+1)
	s.costInFlight += cost
	if r.meanCost == 0 {
		r.meanCost = cost
		return
	}
	r.meanCost += meanCostWeight * (cost - r.meanCost)
}

// Finished tells that the call ended, with the cost given to Started. It may
// eject the replica; the reason is returned, empty if it did not.
func (r *Router) Finished(now time.Time, id call.ReplicaID, cost float64, result Result) EjectReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byID[id]
	if s == nil {
		return ""
	}
	s.setInFlight(now, s.inFlight-1)
	s.costInFlight = max(0, s.costInFlight-cost)
	if s.inFlight == 0 {
		s.costInFlight = 0
	}
	if !s.listed && s.inFlight == 0 {
		delete(r.byID, id)
		return ""
	}
	return r.recordResult(now, s, result)
}

// Report takes a replica's load report. It returns false for a report that is
// not newer than the last one, or of an unknown replica.
func (r *Router) Report(now time.Time, id call.ReplicaID, l Load) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byID[id]
	return s != nil && s.report(now, l)
}

// Reports returns the load reports that are younger than an age, those of replicas
// that are not listed left out, for other VMs: each sees only some of the answers
// that carry them.
func (r *Router) Reports(now time.Time, younger time.Duration) map[call.ReplicaID]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[call.ReplicaID]Load{}
	for id, s := range r.byID {
		if s.listed && !s.lastReport.MeasuredAt.IsZero() && now.Sub(s.lastReport.MeasuredAt) < younger {
			out[id] = s.lastReport
		}
	}
	return out
}
