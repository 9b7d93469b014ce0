package place

import (
	"fmt"

	"gentianwell/core/call"
)

// spot is where a copy could go, and what would have to make room for it.
type spot struct {
	replica *Replica
	victim  *Artifact
}

// fill orders copies of a model until it has as many as wanted.
func (v *view) fill(need Need, want int) {
	for v.expected[need.Model] < want && !v.full() {
		s, ok := v.spot(need)
		if !ok {
			return
		}
		if s.victim != nil {
			v.displace(s, need)
		} else if !v.load(s.replica, need) {
			return
		}
		// A displacement counts as well: its load follows in a later plan.
		v.expected[need.Model]++
		v.zones[need.Model][s.replica.Zone]++
	}
}

func (v *view) load(r *Replica, need Need) bool {
	if !v.planner.weights.AllowN(v.now, need.Megabytes) {
		return false
	}
	v.used[r.ID] += v.slots(need.Model)
	reason := fmt.Sprintf("%d of %d copies", v.expected[need.Model], need.Copies)
	v.order(r, need.Artifact, pending{action: ActionLoad}, reason)
	return true
}

func (v *view) displace(s spot, need Need) {
	m := s.victim.Model
	if s.replica.sure() {
		v.sure[m]--
	}
	reason := fmt.Sprintf("room for %s, %d copies stay", need.Artifact, v.sure[m])
	v.order(s.replica, *s.victim, pending{action: ActionUnload, room: need.Artifact}, reason)
	if v.needs[m].Artifact == *s.victim {
		v.expected[m]--
		v.zones[m][s.replica.Zone]--
	}
}

// spot returns the best place: a free slot before a displacement, then the zone
// with the fewest copies, then the least used replica, then the listed order.
func (v *view) spot(need Need) (spot, bool) {
	var best spot
	for i := range v.replicas {
		r := &v.replicas[i]
		if !v.open(r, need) {
			continue
		}
		s := spot{replica: r}
		if v.used[r.ID]+v.slots(need.Model) > r.Slots {
			if s.victim = v.victim(r, need); s.victim == nil {
				continue
			}
		}
		if best.replica == nil || v.better(s, best, need.Model) {
			best = s
		}
	}
	return best, best.replica != nil
}

// open reports whether the replica may get an order for the model at all.
func (v *view) open(r *Replica, need Need) bool {
	if !r.OrdersAllowed || r.Leaving || v.busy[r.ID] || !r.canServe(need.Model) {
		return false
	}
	for _, a := range r.Loaded {
		if a == need.Artifact {
			return false
		}
	}
	return need.Base == "" || r.holds(need.Base)
}

func (v *view) better(a, b spot, m call.Model) bool {
	if (a.victim == nil) != (b.victim == nil) {
		return a.victim == nil
	}
	if x, y := v.zones[m][a.replica.Zone], v.zones[m][b.replica.Zone]; x != y {
		return x < y
	}
	return v.used[a.replica.ID] < v.used[b.replica.ID]
}

// victim returns what may be unloaded for the need, the least urgent first.
func (v *view) victim(r *Replica, need Need) *Artifact {
	var best *Artifact
	for i := range r.Loaded {
		a := &r.Loaded[i]
		if v.slots(a.Model) == 0 || v.carries(r, a.Model) || !v.spare(r, *a, need) {
			continue
		}
		if best == nil || v.needs[a.Model].Tier > v.needs[best.Model].Tier {
			best = a
		}
	}
	return best
}

// carries reports whether an adapter on the replica needs the model.
func (v *view) carries(r *Replica, m call.Model) bool {
	for _, a := range r.Loaded {
		if v.needs[a.Model].Base == m {
			return true
		}
	}
	return false
}

// spare reports whether the copy may go: nobody needs its model, it is an old
// version or one copy too many, or the needed model has none and is more urgent.
// Whatever the reason, the floor is kept.
func (v *view) spare(r *Replica, a Artifact, need Need) bool {
	own, needed := v.needs[a.Model]
	if !needed {
		return true
	}
	surplus := own.Artifact != a || v.expected[a.Model] > own.Copies
	first := v.expected[need.Model] == 0 && need.Tier < own.Tier
	return (surplus || first) && v.aboveFloor(r, own)
}

func (v *view) aboveFloor(r *Replica, own Need) bool {
	floor := own.MinCopies
	if floor > 0 && v.unchecked[own.Model] {
		floor++
	}
	after := v.sure[own.Model]
	if r.sure() {
		after--
	}
	return after >= floor
}
