package limit

import (
	"time"

	"github.com/juju/errors"
)

// Home grants shares of the limits that it is the home of.
type Home struct {
	config HomeConfig
	// quiet is until when shares of another home may be in force.
	quiet time.Time
	keys  map[Key]*keyState
}

// NewHome returns a home that grants nothing for its first TTL: it may have
// taken over from another home.
//
// Errors: NotValid where the config is.
func NewHome(now time.Time, c HomeConfig) (*Home, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	h := &Home{config: c, keys: map[Key]*keyState{}}
	h.Changed(now)
	return h, nil
}

// Changed tells that the set of VMs from which homes are chosen has changed, so
// that keys may have come here from another home.
func (h *Home) Changed(now time.Time) { h.quiet = now.Add(h.config.TTL) }

// Report takes in a member's demands and returns its shares. A key is left out
// where nothing can be granted now; what the member holds stays in force.
func (h *Home) Report(now time.Time, member Member, demands Demands) Shares {
	shares := make(Shares, 0, len(demands))
	for _, d := range demands {
		k, ok := h.keys[d.Key]
		if !ok {
			k = newKeyState()
			h.keys[d.Key] = k
		}
		k.demand(now.Add(h.config.TTL), member, d.Wanted)
		if s, ok := h.grant(now, k, member, d.Key); ok {
			shares = append(shares, s)
		}
	}
	return shares
}

func (h *Home) grant(now time.Time, k *keyState, member Member, key Key) (Share, bool) {
	if now.Before(h.quiet) {
		return Share{}, false
	}
	capacity, until := h.config.Capacity(now, key)
	ttl := h.config.TTL
	if !until.IsZero() {
		ttl = min(ttl, until.Sub(now))
	}
	if capacity <= 0 || ttl <= 0 {
		return Share{}, false
	}
	capacity *= 1 - h.config.KeptBack
	rate := min(k.fairRate(now, member, capacity), capacity-k.outstanding(now, member))
	if rate < 0 {
		return Share{}, false
	}
	k.granted(now, member, rate, now.Add(ttl))
	return Share{Key: key, Rate: rate, TTL: ttl}, true
}

// Demands returns the sum of the members' demands for each key, for the home
// that this home's capacity comes from.
func (h *Home) Demands(now time.Time) Demands {
	h.sweep(now)
	demands := make(Demands, 0, len(h.keys))
	for key, k := range h.keys {
		demands = append(demands, Demand{Key: key, Wanted: k.wanted(now)})
	}
	return demands
}

// Len returns how many keys have state.
func (h *Home) Len() int { return len(h.keys) }

func (h *Home) sweep(now time.Time) {
	for key, k := range h.keys {
		if k.sweep(now) == 0 {
			delete(h.keys, key)
		}
	}
}
