package fair

import "time"

const (
	// maxReturns limits the refused requests that are remembered.
	maxReturns = 4096
	// returnGrace is how long after the told time a caller still counts as coming back. Callers
	// honour up to a third of the time that they have left, and the network delays them.
	returnGrace = 2 * time.Second
)

// returns remembers requests that were refused. The oldest give way.
type returns struct {
	until map[uint64]time.Time
	order []uint64
	next  int
}

func (r *returns) add(fingerprint uint64, until time.Time) {
	if r.until == nil {
		r.until = map[uint64]time.Time{}
	}
	if _, ok := r.until[fingerprint]; ok {
		r.until[fingerprint] = until
		return
	}
	if len(r.order) < maxReturns {
		r.order = append(r.order, fingerprint)
	} else {
		delete(r.until, r.order[r.next])
		r.order[r.next] = fingerprint
		r.next = (r.next + 1) % maxReturns
	}
	r.until[fingerprint] = until
}

// has reports whether the request was refused and its caller is expected back.
func (r *returns) has(now time.Time, fingerprint uint64) bool {
	until, ok := r.until[fingerprint]
	return ok && now.Before(until)
}
