package route

import (
	"time"

	"gentianwell/core/call"
)

const (
	// zoneSuspects is how many replicas of another zone have to be unreachable,
	// with no answer from the zone since, for the whole zone to be left out.
	zoneSuspects = 2
	// zoneOutTime is how long it is left out before replicas there are tried again.
	zoneOutTime = time.Second
)

// outZone is a zone that seems cut off.
type outZone struct {
	suspects map[call.ReplicaID]bool
	until    time.Time
}

// noteUnreachable notes that no connection to a replica of another zone could be
// made: a cut takes a whole zone away at once, and to find that out replica by
// replica costs each caller the wait for several connections.
func (r *Router) noteUnreachable(now time.Time, s *state) {
	if s.Zone == r.c.Zone {
		return
	}
	z := r.outZones[s.Zone]
	if z == nil {
		z = &outZone{suspects: map[call.ReplicaID]bool{}}
		r.outZones[s.Zone] = z
	}
	z.suspects[s.ID] = true
	if len(z.suspects) >= zoneSuspects {
		z.until = now.Add(zoneOutTime)
	}
}

// zoneOut reports whether a zone is left out.
func (r *Router) zoneOut(now time.Time, zone call.Zone) bool {
	z := r.outZones[zone]
	return z != nil && now.Before(z.until)
}
