package route

import (
	"time"

	"gentianwell/core/call"
)

const (
	// zoneEjectMin is how many replicas of another zone have to be unreachable,
	// with no answer from the zone since, for the whole zone to be left out.
	zoneEjectMin = 2
	// zoneEjectTime is how long it is left out before replicas there are tried again.
	zoneEjectTime = time.Second
)

// zoneState is a zone that seems cut off.
type zoneState struct {
	unreachable map[call.ReplicaID]bool
	ejectedUntil    time.Time
}

// recordUnreachable notes that no connection to a replica of another zone could be
// made: a cut takes a whole zone away at once, and to find that out replica by
// replica costs each caller the wait for several connections.
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

// zoneEjected reports whether a zone is left out.
func (r *Router) zoneEjected(now time.Time, zone call.Zone) bool {
	z := r.zones[zone]
	return z != nil && now.Before(z.ejectedUntil)
}
