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

// Reread makes the bases of all services be read again, as the store may have lost some.
func (r *Registry) Reread() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		s.read, s.revision, s.inForce = false, 0, false
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

// Sole returns the base of a service if no other version has been listed for as long as streams
// may be taken up. With recent, this VM need not have known the list for so long, and if there is
// no base yet the only version that it has seen will do: that is for streams that cannot be told
// apart, and for those without a record where all have one.
func (r *Registry) Sole(now time.Time, name call.Model, recent bool) (call.Version, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	sole := s.base
	if recent && sole == "" {
		sole = s.most()
	}
	if sole == "" || !recent && (!s.inForce || now.Sub(s.since) < r.keep) || s.listed[sole] == 0 {
		return "", false
	}
	for version := range s.lastListed {
		if version != sole && s.mayBe(now, version, r.keep) {
			return "", false
		}
	}
	return sole, true
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
