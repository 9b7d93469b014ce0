package route

import (
	"time"

	"gentianwell/core/call"
)

const (
	// zoneEjectMin is the number of replicas of another zone that must be unreachable,
	// with no success in that zone in between, for the whole zone to be ejected.
	zoneEjectMin = 2
	// zoneEjectTime is how long a zone is ejected before its replicas are tried again.
	zoneEjectTime = time.Second
)

// zoneState records the unreachable replicas of another zone.
type zoneState struct {
	unreachable  map[call.ReplicaID]bool
	ejectedUntil time.Time
}

// recordUnreachable records a failure to connect to a replica and ejects the replica's
// zone after failures at several replicas, unless it is the VM's own. A network
// partition cuts off a whole zone at once; detecting it replica by replica would make
// each caller wait for several failed connection attempts.
func (r *Router) recordUnreachable(now time.Time, s *state) {
	if s.Zone == r.cfg.Zone {
		return
	}
	z := r.zones[s.Zone]
	if z == nil {
		z = &zoneState{unreachable: map[call.ReplicaID]bool{}}
		r.zones[s.Zone] = z
	}
	z.unreachable[s.ID] = true
	if len(z.unreachable) >= zoneEjectMin {
		z.ejectedUntil = now.Add(zoneEjectTime)
	}
}

// zoneEjected reports whether a zone is ejected.
func (r *Router) zoneEjected(now time.Time, zone call.Zone) bool {
	z := r.zones[zone]
	return z != nil && now.Before(z.ejectedUntil)
}
