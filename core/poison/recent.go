package poison

import "time"

// maxRecentFinishes is the greatest number of finishes counted for one request: fewer than
// the crashes that a record holds, so that a request can always be convicted.
const maxRecentFinishes = maxCrashes - 1

// recentFinishes counts the finished runs of the requests that have finished most
// recently, by fingerprint. When it is full, the requests that finished longest ago are
// removed first.
type recentFinishes struct {
	// ring holds the fingerprints in the order in which they finished; next is where the
	// next one goes.
	ring   []Fingerprint
	next   int
	counts map[Fingerprint]finishCount
}

type finishCount struct {
	// latest is the position in the ring of the latest finish.
	latest   int
	finishes int
	// at is when the latest run finished.
	at time.Time
}

func newRecentFinishes(size int) recentFinishes {
	return recentFinishes{ring: make([]Fingerprint, size), counts: make(map[Fingerprint]finishCount, size)}
}

func (r *recentFinishes) add(now time.Time, fp Fingerprint) {
	if len(r.ring) == 0 {
		return
	}
	if oldest := r.ring[r.next]; r.counts[oldest].latest == r.next {
		delete(r.counts, oldest)
	}
	r.ring[r.next] = fp
	r.counts[fp] = finishCount{latest: r.next, finishes: min(r.counts[fp].finishes+1, maxRecentFinishes), at: now}
	r.next = (r.next + 1) % len(r.ring)
}

// remove removes a fingerprint and returns the number of its finished runs.
func (r *recentFinishes) remove(fp Fingerprint) int {
	n := r.counts[fp].finishes
	delete(r.counts, fp)
	return n
}

// touch records a finish like add, but keeps the place of a fingerprint that is known
// already: many finishes of a few fingerprints do not remove the others.
func (r *recentFinishes) touch(now time.Time, fp Fingerprint) {
	if known, ok := r.counts[fp]; ok {
		known.at = now
		r.counts[fp] = known
		return
	}
	r.add(now, fp)
}

// latest returns when the latest run finished, zero if none is remembered.
func (r *recentFinishes) latest(fp Fingerprint) time.Time { return r.counts[fp].at }
