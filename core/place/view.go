package place

import (
	"slices"
	"time"

	"gentianwell/core/call"
)

// view is the state of one call of Plan.
type view struct {
	planner  *Planner
	now      time.Time
	needs    map[call.Model]Need
	replicas Replicas
	orders   Orders
	// confirmed counts the copies that are certain to stay, in any version;
	// unfenced is true if any of them is on an engine that ignores fencing tokens.
	confirmed map[call.Model]int
	unfenced  map[call.Model]bool
	// expected counts the copies in the wanted version, including those ordered and
	// those that an unload makes room for.
	expected map[call.Model]int
	// zones counts the expected copies by zone.
	zones map[call.Model]map[call.Zone]int
	// usedSlots counts the slots in use or ordered; busy marks replicas that have a
	// pending order and get no other until it is settled.
	usedSlots map[call.ReplicaID]int
	busy      map[call.ReplicaID]bool
}

func newView(p *Planner, now time.Time, needs Needs, replicas Replicas) *view {
	v := &view{
		planner: p, now: now, replicas: replicas, needs: map[call.Model]Need{},
		confirmed: map[call.Model]int{}, unfenced: map[call.Model]bool{},
		expected: map[call.Model]int{}, zones: map[call.Model]map[call.Zone]int{},
		usedSlots: map[call.ReplicaID]int{}, busy: map[call.ReplicaID]bool{},
	}
	for _, need := range needs {
		v.needs[need.Model] = need
		v.zones[need.Model] = map[call.Zone]int{}
	}
	byID := map[call.ReplicaID]*Replica{}
	for i := range replicas {
		v.countReported(&replicas[i])
		byID[replicas[i].ID] = &replicas[i]
	}
	for key, order := range p.pending {
		v.busy[key.replica] = true
		v.countPending(byID[key.replica], key.artifact, order)
	}
	return v
}

// countPending counts the copy and the slots of a pending order.
func (v *view) countPending(r *Replica, a Artifact, order pendingOrder) {
	switch {
	case r.Leaving:
	case order.action == ActionUnload:
		v.countExpected(r, order.roomFor)
	default:
		v.countExpected(r, a)
		if !slices.Contains(r.Loaded, a) {
			v.usedSlots[r.ID] += v.slots(a.Model)
		}
	}
}

// countReported counts the copies and slots that a replica reports.
func (v *view) countReported(r *Replica) {
	for _, a := range r.Loaded {
		v.usedSlots[r.ID] += v.slots(a.Model)
		order, ordered := v.planner.pending[orderKey{r.ID, a}]
		leaving := r.Leaving || ordered && order.action == ActionUnload
		if leaving {
			continue
		}
		if !ordered {
			v.countExpected(r, a)
		}
		if r.confirmed() {
			v.confirmed[a.Model]++
			v.unfenced[a.Model] = v.unfenced[a.Model] || !r.ChecksOrders
		}
	}
}

// countExpected counts a copy as expected if it has the wanted version.
func (v *view) countExpected(r *Replica, a Artifact) {
	if need, ok := v.needs[a.Model]; ok && need.Artifact == a {
		v.expected[a.Model]++
		v.zones[a.Model][r.Zone]++
	}
}

// slots returns the number of slots that the model takes: none for an adapter. One
// without a need counts as a model.
func (v *view) slots(m call.Model) int {
	if v.needs[m].Base != "" {
		return 0
	}
	return 1
}

// order adds an order to the plan and marks the replica as busy.
func (v *view) order(r *Replica, a Artifact, p pendingOrder, reason string) {
	p.plannedAt = v.now
	v.orders = append(v.orders, Order{Replica: r.ID, Artifact: a, Action: p.action, Reason: reason})
	v.planner.pending[orderKey{r.ID, a}] = p
	v.busy[r.ID] = true
}

func (v *view) full() bool { return len(v.orders) >= v.planner.config.MaxOrders }
