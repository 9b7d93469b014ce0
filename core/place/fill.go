package place

import (
	"fmt"

	"gentianwell/core/call"
)

// candidate is a replica that could load a model, and the artifact that has to be
// unloaded first; victim is nil if a slot is free.
type candidate struct {
	replica *Replica
	victim  *Artifact
}

// fill orders copies of a model until it has the wanted number.
func (v *view) fill(need Need, want int) {
	for v.expected[need.Model] < want && !v.full() {
		c, ok := v.bestCandidate(need)
		if !ok {
			return
		}
		if c.victim != nil {
			v.evict(c, need)
		} else if !v.load(c.replica, need) {
			return
		}
		// An eviction counts as well: the load follows in a later plan.
		v.expected[need.Model]++
		v.zones[need.Model][c.replica.Zone]++
	}
}

func (v *view) load(r *Replica, need Need) bool {
	if !v.planner.loadLimiter.AllowN(v.now, need.Megabytes) {
		return false
	}
	v.usedSlots[r.ID] += v.slots(need.Model)
	reason := fmt.Sprintf("%d of %d copies", v.expected[need.Model], need.Copies)
	v.order(r, need.Artifact, pendingOrder{action: ActionLoad}, reason)
	return true
}

func (v *view) evict(c candidate, need Need) {
	m := c.victim.Model
	if c.replica.confirmed() {
		v.confirmed[m]--
	}
	reason := fmt.Sprintf("room for %s, %d copies stay", need.Artifact, v.confirmed[m])
	v.order(c.replica, *c.victim, pendingOrder{action: ActionUnload, roomFor: need.Artifact}, reason)
	if v.needs[m].Artifact == *c.victim {
		v.expected[m]--
		v.zones[m][c.replica.Zone]--
	}
}

// bestCandidate prefers a free slot to an eviction, then the zone with the fewest
// copies of the model, then the replica with the fewest used slots, then the
// order of the list.
func (v *view) bestCandidate(need Need) (candidate, bool) {
	var best candidate
	for i := range v.replicas {
		r := &v.replicas[i]
		if !v.canLoad(r, need) {
			continue
		}
		c := candidate{replica: r}
		if v.usedSlots[r.ID]+v.slots(need.Model) > r.Slots {
			if c.victim = v.victim(r, need); c.victim == nil {
				continue
			}
		}
		if best.replica == nil || v.better(c, best, need.Model) {
			best = c
		}
	}
	return best, best.replica != nil
}

// canLoad reports whether the replica may be ordered to load the model, leaving
// aside whether it has a free slot.
func (v *view) canLoad(r *Replica, need Need) bool {
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

func (v *view) better(a, b candidate, m call.Model) bool {
	if (a.victim == nil) != (b.victim == nil) {
		return a.victim == nil
	}
	if x, y := v.zones[m][a.replica.Zone], v.zones[m][b.replica.Zone]; x != y {
		return x < y
	}
	return v.usedSlots[a.replica.ID] < v.usedSlots[b.replica.ID]
}

// victim returns the least urgent artifact that may be evicted for the need, or
// nil.
func (v *view) victim(r *Replica, need Need) *Artifact {
	var best *Artifact
	for i := range r.Loaded {
		a := &r.Loaded[i]
		if v.slots(a.Model) == 0 || v.baseInUse(r, a.Model) || !v.evictable(r, *a, need) {
			continue
		}
		if best == nil || v.needs[a.Model].Tier > v.needs[best.Model].Tier {
			best = a
		}
	}
	return best
}

// baseInUse reports whether an adapter on the replica is loaded onto the model.
func (v *view) baseInUse(r *Replica, m call.Model) bool {
	for _, a := range r.Loaded {
		if v.needs[a.Model].Base == m {
			return true
		}
	}
	return false
}

// evictable reports whether the copy may be unloaded for the need: no need names
// its model, it is not the wanted version, its model has more copies than needed,
// or the model to load has no copy and is more urgent. As long as its model is
// needed, the eviction must also keep MinCopies.
func (v *view) evictable(r *Replica, a Artifact, need Need) bool {
	own, needed := v.needs[a.Model]
	if !needed {
		return true
	}
	surplus := own.Artifact != a || v.expected[a.Model] > own.Copies
	urgentFirstCopy := v.expected[need.Model] == 0 && need.Tier < own.Tier
	return (surplus || urgentFirstCopy) && v.aboveFloor(r, own)
}

func (v *view) aboveFloor(r *Replica, own Need) bool {
	floor := own.MinCopies
	if floor > 0 && v.unfenced[own.Model] {
		floor++
	}
	remaining := v.confirmed[own.Model]
	if r.confirmed() {
		remaining--
	}
	return remaining >= floor
}
