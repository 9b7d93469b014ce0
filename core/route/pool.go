package route

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
)

// remoteRatio is the size of the subset's part in other zones relative to the size of
// the part in the own zone.
const remoteRatio = 0.5

// pool holds the replicas of one model, each list ordered by rank.
type pool struct {
	all []*state
	// classes holds the statistics of the model's classes, from which its lanes follow.
	classes classes
	window  window
	// expect holds what the model's answers have shown about their times, held which replicas
	// probably hold which prefixes.
	expect expect
	held   held
	// local and remote are the subset's replicas in the own zone and in other zones.
	local  []*state
	remote []*state
}

// rebuild creates the pools from the listed replicas.
func (r *Router) rebuild() {
	before := r.pools
	r.pools = map[call.Model]*pool{}
	for _, s := range r.byID {
		if s.listed {
			r.addToPools(s)
		}
	}
	for model, p := range r.pools {
		if old := before[model]; old != nil {
			p.classes, p.window, p.expect, p.held = old.classes, old.window, old.expect, old.held
		}
		r.chooseSubset(model, p)
	}
}

func (r *Router) addToPools(s *state) {
	for _, model := range s.Models {
		p := r.pools[model]
		if p == nil {
			p = &pool{}
			r.pools[model] = p
		}
		p.all = append(p.all, s)
	}
}

// chooseSubset selects the replicas that rank first by rendezvous hashing of the VM,
// the model and the replica, so that adding or removing a replica changes at most one
// place in the subset.
func (r *Router) chooseSubset(model call.Model, p *pool) {
	ranked := rank(r.cfg.Self, model, p.all)
	p.all = ranked
	rankForLanes(model, ranked)
	size := r.subsetSize(len(ranked))
	if len(ranked) <= size {
		p.local, p.remote = r.split(ranked)
		return
	}
	local, remote := r.split(ranked)
	p.local = local[:min(len(local), size)]
	rest := max(int(float64(size)*remoteRatio), size-len(p.local))
	p.remote = remote[:min(len(remote), rest)]
	p.local = r.withHeld(p.local, local[len(p.local):])
	p.remote = r.withHeld(p.remote, remote[len(p.remote):])
}

// withHeld adds those of the others of whose limits this VM holds a part: few VMs do.
func (r *Router) withHeld(subset, others []*state) []*state {
	if r.cfg.Limits == nil {
		return subset
	}
	subset = slices.Clip(subset)
	for _, s := range others {
		if r.cfg.Limits.Holds(s.ID) {
			subset = append(subset, s)
		}
	}
	return subset
}

// subsetSize returns the subset size for which each replica is in the subsets of
// SubsetCover VMs on average, but at least SubsetMin.
func (r *Router) subsetSize(replicas int) int {
	cover := (r.cfg.SubsetCover*replicas + r.vms - 1) / r.vms
	return max(r.cfg.SubsetMin, cover)
}

func (r *Router) split(ranked []*state) (local, remote []*state) {
	for _, s := range ranked {
		if s.Zone == r.cfg.Zone {
			local = append(local, s)
		} else {
			remote = append(remote, s)
		}
	}
	return local, remote
}

type ranked struct {
	hash uint64
	s    *state
}

func rank(self call.VMID, model call.Model, all []*state) []*state {
	order := make([]ranked, 0, len(all))
	for _, s := range all {
		order = append(order, ranked{hash: rendezvous(self, model, s.ID), s: s})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.s.ID, b.s.ID))
	})
	out := make([]*state, 0, len(order))
	for _, o := range order {
		out = append(out, o.s)
	}
	return out
}

func rendezvous(self call.VMID, model call.Model, id call.ReplicaID) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(model) + "\x00" + string(id))
}

// Subset returns the replicas of the model that the VM uses, those of its own zone
// first.
func (r *Router) Subset(model call.Model) []call.ReplicaID {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[model]
	if p == nil {
		return nil
	}
	var out []call.ReplicaID
	for _, s := range slices.Concat(p.local, p.remote) {
		out = append(out, s.ID)
	}
	return out
}

// Watched returns the replicas in the subsets of all models, sorted by id. These are
// the replicas whose load reports the VM needs.
func (r *Router) Watched() Replicas {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[call.ReplicaID]Replica{}
	for _, p := range r.pools {
		for _, s := range slices.Concat(p.local, p.remote) {
			seen[s.ID] = s.Replica
		}
	}
	return slices.SortedFunc(maps.Values(seen), func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
}
