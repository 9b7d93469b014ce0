package route

import (
	"slices"
	"time"

	"gentianwell/core/call"
)

// EjectReason says why a replica is ejected.
type EjectReason string

// Reasons for an ejection.
const (
	EjectFailing     EjectReason = "failing"
	EjectUnreachable EjectReason = "unreachable"
	EjectSlow        EjectReason = "slow"
)

// medianSamplesMin is the minimum number of measured replicas for a median.
const medianSamplesMin = 3

// Ejection is a replica that gets no new calls for a limited time.
type Ejection struct {
	ID     call.ReplicaID
	Reason EjectReason
	Until  time.Time
}

// Ejections is a list of ejected replicas, sorted by id.
type Ejections []Ejection

// Ejected returns the replicas that are ejected at now.
func (r *Router) Ejected(now time.Time) Ejections {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out Ejections
	for _, s := range r.byID {
		if s.ejected(now) {
			out = append(out, Ejection{ID: s.ID, Reason: s.ejectedFor, Until: s.ejectedUntil})
		}
	}
	slices.SortFunc(out, func(a, b Ejection) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// recordResult updates the replica's health from the result of a call and ejects the
// replica if necessary.
func (r *Router) recordResult(now time.Time, s *state, result Result) EjectReason {
	switch result.Status {
	case StatusCanceled:
		return ""
	case StatusOK:
		return r.recordSuccess(now, s, result)
	}
	s.failures++
	s.lastFailure = now
	s.successes = 0
	if result.Status == StatusUnreachable {
		s.unreachable++
		r.recordUnreachable(now, s)
	}
	switch {
	case s.unreachable >= r.cfg.UnreachableToEject:
		return r.eject(now, s, EjectUnreachable)
	case s.failures >= r.cfg.FailuresToEject:
		return r.eject(now, s, EjectFailing)
	}
	return ""
}

func (r *Router) recordSuccess(now time.Time, s *state, result Result) EjectReason {
	s.failures, s.unreachable = 0, 0
	s.successes++
	delete(r.zones, s.Zone)
	if result.FirstToken > 0 {
		s.addFirstToken(result.FirstToken)
	}
	if r.isSlow(s) {
		return r.eject(now, s, EjectSlow)
	}
	if s.successes >= r.cfg.SlowSamples {
		s.ejections = 0
	}
	return ""
}

func (s *state) addFirstToken(firstToken time.Duration) {
	s.samples++
	if s.samples == 1 {
		s.firstToken = firstToken.Seconds()
		return
	}
	s.firstToken += firstTokenWeight * (firstToken.Seconds() - s.firstToken)
}

// isSlow reports whether the replica is much slower than the median replica of its
// first model.
func (r *Router) isSlow(s *state) bool {
	if s.samples < r.cfg.SlowSamples || s.firstToken < r.cfg.SlowFloor.Seconds() || len(s.Models) == 0 {
		return false
	}
	p := r.pools[s.Models[0]]
	if p == nil {
		return false
	}
	median, ok := p.medianFirstToken(r.cfg.SlowSamples)
	return ok && s.firstToken > r.cfg.SlowFactor*median
}

func (p *pool) medianFirstToken(minSamples int) (float64, bool) {
	var times []float64
	for _, s := range p.all {
		if s.samples >= minSamples {
			times = append(times, s.firstToken)
		}
	}
	if len(times) < medianSamplesMin {
		return 0, false
	}
	slices.Sort(times)
	return times[(len(times)-1)/2], true
}

// eject ejects the replica for a time, unless too many replicas are ejected already. It
// returns the reason if it did.
func (r *Router) eject(now time.Time, s *state, reason EjectReason) EjectReason {
	if s.ejected(now) || !r.mayEject(now, s, reason) {
		return ""
	}
	s.ejectedUntil = now.Add(r.ejectTime(s.ejections, reason))
	s.ejectedFor = reason
	s.ejections++
	// The replica returns with a slow start, and a single failure ejects it again.
	s.slowStartSince = s.ejectedUntil
	s.failures, s.unreachable = r.cfg.FailuresToEject-1, r.cfg.UnreachableToEject-1
	s.successes = 0
	s.samples = 0
	return reason
}

func (r *Router) ejectTime(previous int, reason EjectReason) time.Duration {
	d := r.cfg.EjectTime
	if reason == EjectUnreachable {
		d = r.cfg.UnreachableTime
	}
	for range previous {
		if d *= 2; d >= r.cfg.EjectTimeMax {
			return r.cfg.EjectTimeMax
		}
	}
	return d
}

// mayEject reports whether ejecting the replica keeps the ejected share of each of its
// models within the limit. Unreachable replicas of another zone do not count while the
// own zone has a usable replica, since a partition cuts off a whole zone.
func (r *Router) mayEject(now time.Time, s *state, reason EjectReason) bool {
	for _, model := range s.Models {
		p := r.pools[model]
		if p == nil {
			continue
		}
		if reason == EjectUnreachable && r.cfg.UnreachableToEject < r.cfg.FailuresToEject {
			// Ejecting an unreachable replica loses no capacity, and if only ejected
			// replicas are left they are tried anyway.
			continue
		}
		if r.remoteUnreachable(s, reason) && p.usableIn(now, r.cfg.Zone) {
			continue
		}
		if p.ejectedCount(now, r)+1 > r.ejectedMax(len(p.all)) {
			return false
		}
	}
	return true
}

func (r *Router) remoteUnreachable(s *state, reason EjectReason) bool {
	return reason == EjectUnreachable && s.Zone != r.cfg.Zone
}

// ejectedMax returns the maximum number of ejected replicas. At least one may be
// ejected, unless there is only one.
func (r *Router) ejectedMax(replicas int) int {
	if replicas < 2 {
		return 0
	}
	return max(1, int(r.cfg.EjectedShareMax*float64(replicas)))
}

func (p *pool) usableIn(now time.Time, zone call.Zone) bool {
	for _, s := range p.all {
		if s.Zone == zone && !s.ejected(now) {
			return true
		}
	}
	return false
}

func (p *pool) ejectedCount(now time.Time, r *Router) int {
	n := 0
	for _, s := range p.all {
		if s.ejected(now) && !r.remoteUnreachable(s, s.ejectedFor) {
			n++
		}
	}
	return n
}
