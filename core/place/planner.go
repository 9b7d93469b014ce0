package place

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"gentianwell/core/call"
)

// orderKey identifies a pending order.
type orderKey struct {
	replica  call.ReplicaID
	artifact Artifact
}

// pendingOrder is an order whose effect no report has shown yet.
type pendingOrder struct {
	action    Action
	plannedAt time.Time
	// roomFor is the artifact that an unload makes room for.
	roomFor Artifact
}

// Planner plans orders and remembers those whose effect is not yet reported.
type Planner struct {
	config      Config
	loadLimiter *rate.Limiter
	pending     map[orderKey]pendingOrder
}

// NewPlanner returns a planner whose limiter for the weight store starts empty,
// because an earlier lease holder may just have used up the whole burst.
func NewPlanner(c Config) *Planner {
	c = c.Defaults()
	return &Planner{config: c, pending: map[orderKey]pendingOrder{}}
}

// Plan returns the next orders. It assumes that each of them is sent at once;
// NotSent corrects it for an order that was not.
func (p *Planner) Plan(now time.Time, needs Needs, replicas Replicas) Orders {
	if p.loadLimiter == nil {
		p.loadLimiter = rate.NewLimiter(rate.Limit(p.config.ReadRate), p.config.ReadBurst)
		p.loadLimiter.AllowN(now, p.config.ReadBurst)
	}
	p.dropSettled(now, replicas)
	v := newView(p, now, needs, replicas)
	byUrgency := slices.Clone(needs)
	slices.SortStableFunc(byUrgency, func(a, b Need) int { return cmp.Compare(a.Tier, b.Tier) })
	// Every model gets its first copy before any model gets a second one.
	for _, need := range byUrgency {
		v.fill(need, min(1, need.Copies))
	}
	for _, need := range byUrgency {
		v.fill(need, need.Copies)
	}
	return v.orders
}

// NotSent forgets an order that has had no effect and certainly never will.
func (p *Planner) NotSent(o Order) { delete(p.pending, orderKey{o.Replica, o.Artifact}) }

// dropSettled forgets the orders to replicas that are no longer listed, and those
// that settled says are done.
func (p *Planner) dropSettled(now time.Time, replicas Replicas) {
	byID := make(map[call.ReplicaID]*Replica, len(replicas))
	for i := range replicas {
		byID[replicas[i].ID] = &replicas[i]
	}
	for key, order := range p.pending {
		r, ok := byID[key.replica]
		if !ok || p.settled(now, order, r, slices.Contains(r.Loaded, key.artifact)) {
			delete(p.pending, key)
		}
	}
}

// settled reports whether an order need not be remembered any more: a report is
// certain to show its effect, or it has timed out.
func (p *Planner) settled(now time.Time, o pendingOrder, r *Replica, loaded bool) bool {
	ended := r.Reported.After(o.plannedAt.Add(p.config.OrderTimeout))
	if o.action == ActionUnload {
		// An earlier report may precede an unload that is still to take effect.
		return ended
	}
	return loaded && r.Reported.After(o.plannedAt) || now.After(o.plannedAt.Add(p.config.LoadTimeout))
}
