package limit

import "time"

// Holder holds the shares that a member was granted.
type Holder struct {
	held map[Key]holding
}

type holding struct {
	rate  float64
	until time.Time
}

// NewHolder returns a holder of nothing.
func NewHolder() *Holder { return &Holder{held: map[Key]holding{}} }

// Grant takes in the answer to a demand that was sent at the given time.
func (h *Holder) Grant(sent time.Time, shares Shares) {
	for _, s := range shares {
		until := sent.Add(s.TTL)
		if s.TTL <= 0 || until.Before(h.held[s.Key].until) {
			continue
		}
		h.held[s.Key] = holding{rate: s.Rate, until: until}
	}
}

// Rate returns the share in force and when it runs out; false where there is none.
func (h *Holder) Rate(now time.Time, key Key) (rate float64, until time.Time, ok bool) {
	s, ok := h.held[key]
	if !ok || !s.until.After(now) {
		return 0, time.Time{}, false
	}
	return s.rate, s.until, true
}

// Sweep forgets shares that have run out.
func (h *Holder) Sweep(now time.Time) {
	for key, s := range h.held {
		if !s.until.After(now) {
			delete(h.held, key)
		}
	}
}
