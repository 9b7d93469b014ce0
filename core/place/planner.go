package place

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"gentianwell/core/call"
)

// target is what an order is about.
type target struct {
	replica  call.ReplicaID
	artifact Artifact
}

// pending is an order whose effect no report has shown yet.
type pending struct {
	action Action
	at     time.Time
	// room is what an unload makes room for.
	room Artifact
}

// Planner plans orders and remembers them.
type Planner struct {
	config  Config
	weights *rate.Limiter
	pending map[target]pending
}

// NewPlanner returns a planner without any allowance of the weight store left:
// a holder before it may just have used that up.
func NewPlanner(c Config) *Planner {
	c = c.Defaults()
	return &Planner{config: c, pending: map[target]pending{}}
}

// Plan returns the next orders. It counts on every order being tried at once;
// Failed takes one back that surely wasn't given.
func (p *Planner) Plan(now time.Time, needs Needs, replicas Replicas) Orders {
	if p.weights == nil {
		p.weights = rate.NewLimiter(rate.Limit(p.config.Rate), p.config.Burst)
		p.weights.AllowN(now, p.config.Burst)
	}
	p.forget(now, replicas)
	v := newView(p, now, needs, replicas)
	byUrgency := slices.Clone(needs)
	slices.SortStableFunc(byUrgency, func(a, b Need) int { return cmp.Compare(a.Tier, b.Tier) })
	// One copy for every model goes before more for any.
	for _, need := range byUrgency {
		v.fill(need, min(1, need.Copies))
	}
	for _, need := range byUrgency {
		v.fill(need, need.Copies)
	}
	return v.orders
}

// NotSent takes an order back that surely has had no effect nor will.
func (p *Planner) NotSent(o Order) { delete(p.pending, target{o.Replica, o.Artifact}) }

// forget drops the orders whose effect the reports show, and those that have
// ended without one.
func (p *Planner) forget(now time.Time, replicas Replicas) {
	byID := make(map[call.ReplicaID]*Replica, len(replicas))
	for i := range replicas {
		byID[replicas[i].ID] = &replicas[i]
	}
	for t, order := range p.pending {
		r, ok := byID[t.replica]
		if !ok || p.settled(now, order, r, slices.Contains(r.Loaded, t.artifact)) {
			delete(p.pending, t)
		}
	}
}

func (p *Planner) settled(now time.Time, o pending, r *Replica, loaded bool) bool {
	ended := r.Reported.After(o.at.Add(p.config.OrderTimeout))
	if o.action == ActionUnload {
		// A report from before the order's end may miss an unload yet to come.
		return ended
	}
	return loaded && r.Reported.After(o.at) || now.After(o.at.Add(p.config.LoadTimeout))
}
