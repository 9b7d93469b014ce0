package route

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
)

// home returns the replica for a call whose prompt has a long shared prefix, by
// consistent hashing with the power of two choices. All VMs rank the replicas of the
// model in the same order, by rendezvous hashing of the prefix. The first replica is
// the prefix's home; the second takes the calls that would overload it. So at most two
// replicas compute a prefix while both work, and the VMs need no coordination.
//
// If the chosen one is full, the candidate has no replica: calls of the short lane may
// then use any replica of that lane, others only a nearly idle one; otherwise they
// wait. home returns false for calls without such a prefix.
func (r *Router) home(now time.Time, c call.Call, p *pool, exclude []call.ReplicaID, f filtered, lane lane) (candidate, bool) {
	if c.SharedTokens < r.cfg.HomeTokens || len(c.Prefixes) == 0 {
		return candidate{}, false
	}
	first, second := r.homes(now, c, p, exclude, lane)
	if first == nil && c.Version != "" {
		first, second = r.homes(now, c, p, exclude, lane.all(p))
	}
	if first == nil {
		return candidate{}, false
	}
	chosen := first
	if second != nil && r.loadPerSlot(now, first) > max(r.cfg.HomeFloor, r.loadPerSlot(now, second)+r.cfg.HomeBound) {
		chosen = second
	}
	if r.full(now, chosen, &f) {
		return candidate{}, true
	}
	best := r.candidate(now, chosen, f.warm)
	best.cached = len(c.Prefixes)
	return best, true
}

// homes returns the two replicas that rank first for the call's longest prefix among
// those of the lane that are not excluded, leaving, paused, ejected, reserved or limited.
func (r *Router) homes(now time.Time, c call.Call, p *pool, exclude []call.ReplicaID, lane lane) (first, second *state) {
	prefix := c.Prefixes[len(c.Prefixes)-1]
	least, next := uint64(math.MaxUint64), uint64(math.MaxUint64)
	for _, s := range p.all {
		// The hash comes first: few replicas have one of the two least so far.
		hash := homeHash(prefix, s.ID)
		if hash >= next || !r.canBeHome(now, c.Version, s, exclude, lane) {
			continue
		}
		if hash < least {
			second, next = first, least
			first, least = s, hash
		} else {
			second, next = s, hash
		}
	}
	return first, second
}

// canBeHome reports whether a replica can be a home of the call's prefix now.
func (r *Router) canBeHome(now time.Time, version call.Version, s *state, exclude []call.ReplicaID, lane lane) bool {
	return lane.has(s) && !slices.Contains(exclude, s.ID) && (version == "" || s.Version == version) && !s.leaving && !s.paused(now) && !s.ejected(now) &&
		!r.zoneEjected(now, s.Zone) && !s.reserved(now) && !r.limited(now, s)
}

func homeHash(prefix uint64, id call.ReplicaID) uint64 {
	key := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), prefix)
	return xxhash.Sum64(append(key, id...))
}
