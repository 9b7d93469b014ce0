package origin

import (
	"cmp"
	"time"

	"gentianwell/core/call"
)

// service is what is known of a service's versions.
type service struct {
	// listed holds the number of replicas of each version that has any, lastListed when each
	// version had some last, since when the list has been known without a gap.
	listed     map[call.Version]int
	lastListed map[call.Version]time.Time
	since      time.Time
	// read is true once the base in the store is known, of a revision; base is empty if there
	// is none. inForce is true if the base has been listed all the time since it was read.
	read     bool
	base     call.Version
	revision int64
	inForce  bool
}

func (s *service) setListed(now time.Time, listed map[call.Version]int) {
	if s.since.IsZero() {
		s.since = now
	}
	for version := range s.listed {
		s.lastListed[version] = now
	}
	for version := range listed {
		s.lastListed[version] = now
	}
	s.listed = listed
	s.inForce = s.inForce && listed[s.base] > 0
}

// mayBe reports whether a version has been listed within keep.
func (s *service) mayBe(now time.Time, version call.Version, keep time.Duration) bool {
	return s.listed[version] > 0 || !s.lastListed[version].IsZero() && now.Sub(s.lastListed[version]) < keep
}

// only reports whether no other version has been listed within keep.
func (s *service) only(now time.Time, version call.Version, keep time.Duration) bool {
	for other := range s.lastListed {
		if other != version && s.mayBe(now, other, keep) {
			return false
		}
	}
	return true
}

// most returns the version with the most replicas, of several the first by name.
func (s *service) most() call.Version {
	var out call.Version
	for version, n := range s.listed {
		if more := cmp.Compare(n, s.listed[out]); out == "" || more > 0 || more == 0 && version < out {
			out = version
		}
	}
	return out
}

// task returns what has to be done with the base.
func (s *service) task(now time.Time, keep time.Duration) Task {
	gone := now.Sub(s.since) >= keep && !s.mayBe(now, s.base, keep)
	switch {
	case len(s.listed) == 0:
		return Task{Kind: TaskNone}
	case !s.read || !s.inForce && s.listed[s.base] > 0:
		return Task{Kind: TaskRead}
	case s.base == "" || gone:
		return Task{Kind: TaskWrite, Version: s.most(), Revision: s.revision}
	}
	return Task{Kind: TaskNone}
}
