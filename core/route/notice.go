package route

import (
	"time"

	"gentianwell/core/call"
)

// MaxPause is the longest pause that counts.
const MaxPause = time.Hour

// Leave records that a replica has said that it leaves. It gets no new calls until it is listed
// with a later start. Leave returns false if the replica is not listed or had said so before.
func (r *Router) Leave(id call.ReplicaID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byID[id]
	if s == nil || s.leaving {
		return false
	}
	s.leaving = true
	return true
}

// Pause records that a replica has asked for no calls for a time, of which MaxPause counts. It
// returns false if the replica is not listed or already has a pause until then.
func (r *Router) Pause(now time.Time, id call.ReplicaID, pause time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := now.Add(min(pause, MaxPause))
	s := r.byID[id]
	if s == nil || !until.After(s.pausedUntil) {
		return false
	}
	paused := s.paused(now)
	s.pausedUntil = until
	return !paused
}

// Unavailable returns how many listed replicas have said that they leave, and how many have a
// pause.
func (r *Router) Unavailable(now time.Time) (leaving, paused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.byID {
		switch {
		case !s.listed:
		case s.leaving:
			leaving++
		case s.paused(now):
			paused++
		}
	}
	return leaving, paused
}
