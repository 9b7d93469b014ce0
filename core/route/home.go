package route

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
)

// home returns the replica for a call whose prompt has a long shared prefix:
// consistent hashing with bounded loads. All VMs rank the replicas of the model in
// the same order by rendezvous hashing of the prefix, and each takes the first
// that is usable and not overloaded, so that the prefix is read on few replicas
// without a word between the VMs, and one hot prefix overloads none. It returns
// false for calls without such a prefix, or where no replica is within the bound.
func (r *Router) home(now time.Time, c call.Call, p *pool, exclude []call.ReplicaID, f filtered) (candidate, bool) {
	if c.SharedTokens < r.c.HomeTokens || len(c.Prefixes) == 0 {
		return candidate{}, false
	}
	bound := max(r.c.HomeFloor, r.c.HomeBound*f.mean)
	from, to, laned := r.laneOf(now, c, p)
	prefix := c.Prefixes[len(c.Prefixes)-1]
	var first *state
	var least uint64
	for _, s := range p.all {
		if slices.Contains(exclude, s.ID) || s.ejected(now) || r.zoneOut(now, s.Zone) || s.reserved(now) || r.full(now, s, &f) {
			continue
		}
		if laned && (s.lane < from || s.lane >= to) {
			continue
		}
		if r.perSlot(now, s) > bound {
			continue
		}
		if hash := homeHash(prefix, s.ID); first == nil || hash < least {
			first, least = s, hash
		}
	}
	if first == nil {
		return candidate{}, false
	}
	best := r.candidate(now, first, f.warm)
	best.cached = len(c.Prefixes)
	return best, true
}

func homeHash(prefix uint64, id call.ReplicaID) uint64 {
	key := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), prefix)
	return xxhash.Sum64(append(key, id...))
}
