package limit

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// Allocator grants shares of the limits that it is the home of.
type Allocator struct {
	config AllocatorConfig
	keys   map[Key]*keyState
	moves  []move
}

// move is a change of the VMs that homes are chosen from. Until its end, shares
// of another home may be in force for the keys that were not here before it.
type move struct {
	until time.Time
	was   func(Key) bool
}

// NewAllocator returns a home that grants nothing for its first TTL: it may have
// taken over from another home.
//
// Errors: NotValid where the config is.
func NewAllocator(now time.Time, c AllocatorConfig) (*Allocator, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	h := &Allocator{config: c, keys: map[Key]*keyState{}}
	h.OwnersChanged(now, func(Key) bool { return false })
	return h, nil
}

// OwnersChanged tells that the set of VMs from which homes are chosen has changed; was
// reports whether a key was here before. For keys that were not, nothing is
// granted for a TTL.
func (h *Allocator) OwnersChanged(now time.Time, was func(Key) bool) {
	h.moves = slices.DeleteFunc(h.moves, func(m move) bool { return !m.until.After(now) })
	m := move{until: now.Add(h.config.TTL), was: was}
	h.moves = append(h.moves, m)
	for key, k := range h.keys {
		k.moved(key, m)
	}
}

// key returns the key's state.
func (h *Allocator) key(key Key) *keyState {
	k, ok := h.keys[key]
	if ok {
		return k
	}
	k = newKeyState()
	for _, m := range h.moves {
		k.moved(key, m)
	}
	h.keys[key] = k
	return k
}

// Report takes in a member's demands and returns its shares. A key is left out
// where nothing can be granted now; what the member holds stays in force.
func (h *Allocator) Report(now time.Time, member Member, demands Demands) Shares {
	shares := make(Shares, 0, len(demands))
	for _, d := range demands {
		k := h.key(d.Key)
		k.demand(now.Add(h.config.TTL), member, d.Wanted)
		if s, ok := h.grant(now, k, member, d.Key); ok {
			shares = append(shares, s)
		}
	}
	return shares
}

func (h *Allocator) grant(now time.Time, k *keyState, member Member, key Key) (Share, bool) {
	if now.Before(k.quiet) {
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
	capacity *= 1 - h.config.ReservedFraction
	rate := min(k.fairRate(now, member, capacity), capacity-k.outstanding(now, member))
	if rate < 0 {
		return Share{}, false
	}
	k.granted(now, member, rate, now.Add(ttl))
	return Share{Key: key, Rate: rate, TTL: ttl}, true
}

// Demands returns the sum of the members' demands for each key, for the home
// that this home's capacity comes from.
func (h *Allocator) Demands(now time.Time) Demands {
	h.sweep(now)
	demands := make(Demands, 0, len(h.keys))
	for key, k := range h.keys {
		demands = append(demands, Demand{Key: key, Wanted: k.wanted(now)})
	}
	return demands
}

// Len returns how many keys have state.
func (h *Allocator) Len() int { return len(h.keys) }

func (h *Allocator) sweep(now time.Time) {
	for key, k := range h.keys {
		if k.sweep(now) == 0 {
			delete(h.keys, key)
		}
	}
}
