package limit

import "time"

// Holder holds the shares that a member was granted.
type Holder struct {
	shares map[Key]heldShare
}

type heldShare struct {
	rate  float64
	until time.Time
}

// NewHolder returns an empty holder.
func NewHolder() *Holder { return &Holder{shares: map[Key]heldShare{}} }

// Grant stores the shares of a reply to demands that were sent at the given time.
func (h *Holder) Grant(sent time.Time, shares Shares) {
	for _, s := range shares {
		until := sent.Add(s.TTL)
		if s.TTL <= 0 || until.Before(h.shares[s.Key].until) {
			continue
		}
		h.shares[s.Key] = heldShare{rate: s.Rate, until: until}
	}
}

// Rate returns the valid share and when it expires; ok is false if there is none.
func (h *Holder) Rate(now time.Time, key Key) (rate float64, until time.Time, ok bool) {
	s, ok := h.shares[key]
	if !ok || !s.until.After(now) {
		return 0, time.Time{}, false
	}
	return s.rate, s.until, true
}

// Sweep deletes expired shares.
func (h *Holder) Sweep(now time.Time) {
	for key, s := range h.shares {
		if !s.until.After(now) {
			delete(h.shares, key)
		}
	}
}
