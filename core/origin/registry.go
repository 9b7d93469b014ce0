package origin

import (
	"maps"
	"sync"
	"time"

	"gentianwell/core/call"
)

// Registry knows the versions of services and where streams began.
type Registry struct {
	c        Config
	mu       sync.Mutex
	keep     time.Duration
	services map[call.Model]*service
	streams  streams
}

// New returns an empty registry.
func New(c Config) *Registry {
	c = c.Defaults()
	return &Registry{c: c, keep: c.Keep, services: map[call.Model]*service{}, streams: newStreams(c.MaxStreams)}
}

func (r *Registry) service(name call.Model) *service {
	s := r.services[name]
	if s == nil {
		s = &service{lastListed: map[call.Version]time.Time{}}
		r.services[name] = s
	}
	return s
}

// SetVersions sets the number of replicas of each version of a service that serve or leave.
// Replicas without a version do not count.
func (r *Registry) SetVersions(now time.Time, name call.Model, replicas map[call.Version]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := maps.Clone(replicas)
	delete(listed, "")
	r.service(name).setListed(now, listed)
}

// SetBase sets the base that is in the store, last changed at a revision; empty if there is
// none. Of several the latest revision counts.
func (r *Registry) SetBase(name call.Model, base call.Version, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	if s.read && revision < s.revision {
		return
	}
	s.read, s.base, s.revision = true, base, revision
	s.inForce = base != "" && s.listed[base] > 0
}

// Reread makes the bases of all services be read again, as the store may have lost some, or this
// VM has been out of touch. Versions may have come and gone meanwhile.
func (r *Registry) Reread(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		s.read, s.revision, s.inForce, s.since = false, 0, false, now
	}
}

// Task returns what has to be done with the base of a service.
func (r *Registry) Task(now time.Time, name call.Model) Task {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(name).task(now, r.keep)
}

// Base returns the base of a service as last read from the store, and whether it is known and
// certainly in force. If it is not, it has had no replica since and may have been replaced.
func (r *Registry) Base(name call.Model) (base call.Version, known, inForce bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	return s.base, s.read && s.base != "", s.inForce
}

// NeedsRecord reports whether a stream that begins at a version needs a record in the store.
func (r *Registry) NeedsRecord(name call.Model, version call.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	return version != "" && !(s.inForce && s.base == version)
}

// Sole returns the only version of a service that has been listed since this VM knows the list, or
// for as long as streams may be taken up; that is for streams that cannot be told apart.
func (r *Registry) Sole(now time.Time, name call.Model) (call.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	sole := s.most()
	return sole, sole != "" && s.only(now, sole, r.keep)
}

// settledKeeps is how long, in multiples of the time for which streams may be taken up, a version is
// the only one before a VM that is out of touch takes it that the others have made it the base. A
// longer outage of the store may have kept them from it.
const settledKeeps = 3

// BeginsUnrecorded reports whether a stream may begin at a version although its record has reached
// neither the store nor the other VMs: at the base, and at the only version that has been listed
// for so long that the base was replaced by it.
func (r *Registry) BeginsUnrecorded(now time.Time, name call.Model, version call.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	if version == "" || s.inForce && s.base == version {
		return true
	}
	settled := settledKeeps * r.keep
	return s.listed[version] > 0 && now.Sub(s.since) >= settled && s.only(now, version, settled)
}

// WithoutRecord returns the version at which a stream began of which this VM has found no record,
// by the store's answer or by what it knows of the other VMs. It returns false if that does not
// show where the stream began.
func (r *Registry) WithoutRecord(now time.Time, name call.Model, e Evidence) (call.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	switch {
	case e == EvidenceStore && s.read && s.base != "":
		return s.base, true
	case e == EvidenceStore:
		only := s.most()
		return only, only != "" && s.only(now, only, r.keep)
	case e == EvidenceOutage:
		known := s.inForce && now.Sub(s.since) >= r.keep && s.only(now, s.base, r.keep)
		return s.base, known
	}
	return "", false
}

// Began records where a stream began or, read from the store, has begun. Its caller may take it
// up within timeout.
func (r *Registry) Began(now time.Time, id string, s Stream, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keep = min(max(r.keep, timeout), r.c.MaxKeep)
	r.streams.add(now, id, s)
}

// Lookup returns where a stream began, if it is remembered.
func (r *Registry) Lookup(now time.Time, id string) (Stream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams.get(now, id, r.keep)
}

// Recorded returns the streams that are remembered and need a record.
func (r *Registry) Recorded(now time.Time) map[string]Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]Stream{}
	for id, at := range r.streams.byID {
		s := r.service(at.Service)
		if now.Sub(at.began) < r.keep && at.Version != "" && !(s.base == at.Version) {
			out[id] = at.Stream
		}
	}
	return out
}

// Unrecorded notes that the record of a stream was given up. Its next attempt, also at the same
// version, has to be recorded.
func (r *Registry) Unrecorded(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b, ok := r.streams.byID[id]; ok {
		b.unrecorded = true
		r.streams.byID[id] = b
	}
}

// IsUnrecorded reports whether the record of a stream was given up and has not been needed since.
func (r *Registry) IsUnrecorded(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams.byID[id].unrecorded
}
