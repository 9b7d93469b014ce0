package place

import (
	"slices"
	"time"

	"gentianwell/core/call"
)

// view is the state of one planning step.
type view struct {
	planner  *Planner
	now      time.Time
	needs    map[call.Model]Need
	replicas Replicas
	orders   Orders
	// sure counts the copies that surely stay, in any version; unchecked tells
	// whether any of them is on an engine that ignores numbers.
	sure      map[call.Model]int
	unchecked map[call.Model]bool
	// expected counts the copies in the wanted version, ordered ones included.
	expected map[call.Model]int
	// zones counts the expected copies by zone.
	zones map[call.Model]map[call.Zone]int
	// used counts the slots in use or promised, and busy marks replicas that
	// have to finish something first.
	used map[call.ReplicaID]int
	busy map[call.ReplicaID]bool
}

func newView(p *Planner, now time.Time, needs Needs, replicas Replicas) *view {
	v := &view{
		planner: p, now: now, replicas: replicas, needs: map[call.Model]Need{},
		sure: map[call.Model]int{}, unchecked: map[call.Model]bool{},
		expected: map[call.Model]int{}, zones: map[call.Model]map[call.Zone]int{},
		used: map[call.ReplicaID]int{}, busy: map[call.ReplicaID]bool{},
	}
	for _, need := range needs {
		v.needs[need.Model] = need
		v.zones[need.Model] = map[call.Zone]int{}
	}
	byID := map[call.ReplicaID]*Replica{}
	for i := range replicas {
		v.count(&replicas[i])
		byID[replicas[i].ID] = &replicas[i]
	}
	for t, order := range p.pending {
		v.busy[t.replica] = true
		v.countPending(byID[t.replica], t.artifact, order)
	}
	return v
}

// countPending takes in an order whose effect no report shows yet.
func (v *view) countPending(r *Replica, a Artifact, order pending) {
	switch {
	case r.Leaving:
	case order.action == ActionUnload:
		v.expect(r, order.room)
	default:
		v.expect(r, a)
		if !slices.Contains(r.Loaded, a) {
			v.used[r.ID] += v.slots(a.Model)
		}
	}
}

// count takes in what a replica reports.
func (v *view) count(r *Replica) {
	for _, a := range r.Loaded {
		v.used[r.ID] += v.slots(a.Model)
		order, ordered := v.planner.pending[target{r.ID, a}]
		leaves := r.Leaving || ordered && order.action == ActionUnload
		if leaves {
			continue
		}
		if !ordered {
			v.expect(r, a)
		}
		if r.sure() {
			v.sure[a.Model]++
			v.unchecked[a.Model] = v.unchecked[a.Model] || !r.ChecksOrders
		}
	}
}

// expect counts a copy if it has the wanted version.
func (v *view) expect(r *Replica, a Artifact) {
	if need, ok := v.needs[a.Model]; ok && need.Artifact == a {
		v.expected[a.Model]++
		v.zones[a.Model][r.Zone]++
	}
}

// slots returns how many slots the model takes: none for an adapter.
func (v *view) slots(m call.Model) int {
	if v.needs[m].Base != "" {
		return 0
	}
	return 1
}

// order adds an order and what it changes.
func (v *view) order(r *Replica, a Artifact, p pending, reason string) {
	p.at = v.now
	v.orders = append(v.orders, Order{Replica: r.ID, Artifact: a, Action: p.action, Reason: reason})
	v.planner.pending[target{r.ID, a}] = p
	v.busy[r.ID] = true
}

func (v *view) full() bool { return len(v.orders) >= v.planner.config.MaxOrders }
