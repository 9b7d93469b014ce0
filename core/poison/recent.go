package poison

import "time"

// recentFinishes knows when the latest run of the fingerprints that have finished most
// recently finished. When it is full, those that came first are removed first.
type recentFinishes struct {
	// ring holds the fingerprints in the order in which they came; next is where the next
	// one goes.
	ring []Fingerprint
	next int
	at   map[Fingerprint]time.Time
}

func newRecentFinishes(size int) recentFinishes {
	return recentFinishes{ring: make([]Fingerprint, 0, size), at: make(map[Fingerprint]time.Time, size)}
}

// add records a finish. A known fingerprint keeps its place: many finishes of a few
// fingerprints do not remove the others.
func (r *recentFinishes) add(now time.Time, fp Fingerprint) {
	_, known := r.at[fp]
	switch {
	case cap(r.ring) == 0:
		return
	case known:
	case len(r.ring) < cap(r.ring):
		r.ring = append(r.ring, fp)
	default:
		delete(r.at, r.ring[r.next])
		r.ring[r.next] = fp
		r.next = (r.next + 1) % len(r.ring)
	}
	r.at[fp] = now
}

// latest returns when the latest run finished, zero if none is remembered.
func (r *recentFinishes) latest(fp Fingerprint) time.Time { return r.at[fp] }
