package route

import (
	"cmp"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/hint"
	"gentianwell/core/quota"
)

// meanCostWeight is the weight of a new call in the moving average of the cost.
const meanCostWeight = 0.05

// Router chooses replicas for the calls of one VM.
type Router struct {
	cfg   Config
	mu    sync.Mutex
	byID  map[call.ReplicaID]*state
	pools map[call.Model]*pool
	// list is the argument of the last SetReplicas that changed something.
	list Replicas
	// vms is the number of routing VMs, from which the subset size follows.
	vms int
	// initialized is true once SetReplicas was called with a non-empty list.
	initialized bool
	meanCost    float64
	// scratch is the reused memory of filter's lists.
	scratch []*state
	// zones holds the zones in which replicas were unreachable and no replica has
	// answered since.
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

// Hints returns the table of prefix hints that Pick reads.
func (r *Router) Hints() *hint.Table { return r.cfg.Hints }

// SetReplicas replaces the list of replicas and keeps the state of those that are
// on both lists. A replica that is new, or has a new address, gets a slow start,
// except those of the first non-empty list. The caller must not modify the list
// afterwards.
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
	if r.cfg.Limits != nil {
		limited := make([]quota.Replica, 0, len(list))
		for _, replica := range list {
			limited = append(limited, quota.Replica{ID: replica.ID, Zone: replica.Zone})
		}
		r.cfg.Limits.SetReplicas(limited)
	}
	r.rebuild()
}

func (r *Router) setReplica(now time.Time, replica Replica) {
	s := r.byID[replica.ID]
	if s == nil || s.Address != replica.Address {
		s = r.newState(now, s)
		r.byID[replica.ID] = s
	}
	if s.Started.Before(replica.Started) {
		s.leaving, s.pausedUntil = false, time.Time{}
	}
	s.Replica = replica
	s.idHash = xxhash.Sum64String(string(replica.ID))
	s.Slots = cmp.Or(s.reportedSlots, replica.Slots, r.cfg.Slots)
	s.listed = true
}

// newState returns the state of a new replica. Calls that are still in flight on the
// replica's former address stay counted, since Finished subtracts them later.
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

// SetVMs sets the number of routing VMs, from which the subset size follows.
func (r *Router) SetVMs(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n = max(n, 1); n != r.vms {
		r.vms = n
		r.rebuild()
	}
}

// LimitsChanged is to be called after a change of Config.Limits: the subset has the replicas
// of whose limits this VM holds a part.
func (r *Router) LimitsChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rebuild()
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

// Started records that a call was sent to the replica. The cost is in estimated
// tokens, or in any other unit that is the same for all calls.
func (r *Router) Started(now time.Time, id call.ReplicaID, cost float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byID[id]; s != nil {
		r.start(now, s, cost)
	}
}

func (r *Router) start(now time.Time, s *state, cost float64) {
	if r.cfg.Limits != nil {
		r.cfg.Limits.Sent(now, s.ID)
	}
	s.setInFlight(now, s.inFlight+1)
	s.costInFlight += cost
	if r.meanCost == 0 {
		r.meanCost = cost
		return
	}
	r.meanCost += meanCostWeight * (cost - r.meanCost)
}

// Finished records that a call ended; the cost is the one given to Started. It may
// eject the replica and returns the reason, which is empty if it did not.
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
	if !r.cfg.IgnoreSpeeds {
		r.learn(now, s, result)
	}
	return r.recordResult(now, s, result)
}

// Silent records a failure of a replica that is silent during a call that goes on. It
// may eject the replica and returns the reason, which is empty if it did not.
func (r *Router) Silent(now time.Time, id call.ReplicaID) EjectReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byID[id]
	if s == nil {
		return ""
	}
	return r.recordResult(now, s, Result{Status: StatusFailed})
}

// Report records a replica's load report. It ignores a report that is not newer
// than the last one, or of an unknown replica, and returns false then.
func (r *Router) Report(now time.Time, id call.ReplicaID, l Load) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byID[id]
	if s == nil || !s.report(now, l) {
		return false
	}
	if l.WorkPercent > 0 {
		for _, model := range s.Models {
			if p := r.pools[model]; p != nil && s.reportedAt.After(p.expect.workAt) {
				p.expect.workAt = s.reportedAt
			}
		}
	}
	return true
}

// Reports returns the load reports of listed replicas that are younger than maxAge.
// VMs exchange them, since reports arrive with responses and each VM receives only
// some of these.
func (r *Router) Reports(now time.Time, maxAge time.Duration) map[call.ReplicaID]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[call.ReplicaID]Load{}
	for id, s := range r.byID {
		if s.listed && !s.lastReport.MeasuredAt.IsZero() && now.Sub(s.lastReport.MeasuredAt) < maxAge {
			out[id] = s.lastReport
		}
	}
	return out
}
