package limit

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// Allocator grants members shares of the limits that its VM owns.
type Allocator struct {
	config       AllocatorConfig
	keys         map[Key]*keyState
	ownerChanges []ownerChange
}

// ownerChange is a change of the VMs that owners are chosen from. Until its end,
// shares granted by another owner may be valid for the keys that this VM did not
// own before the change.
type ownerChange struct {
	until time.Time
	owned func(Key) bool
}

// NewAllocator returns an allocator that grants nothing for its first TTL, as
// shares granted by a previous owner may still be valid.
//
// Errors: NotValid if the config is not valid.
func NewAllocator(now time.Time, c AllocatorConfig) (*Allocator, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	a := &Allocator{config: c, keys: map[Key]*keyState{}}
	a.OwnersChanged(now, func(Key) bool { return false })
	return a, nil
}

// OwnersChanged records that the set of VMs from which owners are chosen has
// changed; owned reports whether this VM owned a key before. For the other keys
// nothing is granted for a TTL.
func (a *Allocator) OwnersChanged(now time.Time, owned func(Key) bool) {
	a.ownerChanges = slices.DeleteFunc(a.ownerChanges, func(c ownerChange) bool { return !c.until.After(now) })
	c := ownerChange{until: now.Add(a.config.TTL), owned: owned}
	a.ownerChanges = append(a.ownerChanges, c)
	for key, k := range a.keys {
		k.ownersChanged(key, c)
	}
}

// key returns the key's state, which it creates if there is none.
func (a *Allocator) key(key Key) *keyState {
	k, ok := a.keys[key]
	if ok {
		return k
	}
	k = newKeyState()
	for _, c := range a.ownerChanges {
		k.ownersChanged(key, c)
	}
	a.keys[key] = k
	return k
}

// Report records a member's demands and returns its shares. A key is left out
// if nothing can be granted now; a share that the member already holds stays
// valid.
func (a *Allocator) Report(now time.Time, member Member, demands Demands) Shares {
	shares := make(Shares, 0, len(demands))
	for _, d := range demands {
		k := a.key(d.Key)
		k.setDemand(now.Add(a.config.TTL), member, d.Wanted)
		if s, ok := a.grant(now, k, member, d.Key); ok {
			shares = append(shares, s)
		}
	}
	return shares
}

func (a *Allocator) grant(now time.Time, k *keyState, member Member, key Key) (Share, bool) {
	if now.Before(k.noGrantsBefore) {
		return Share{}, false
	}
	capacity, until := a.config.Capacity(now, key)
	ttl := a.config.TTL
	if !until.IsZero() {
		ttl = min(ttl, until.Sub(now))
	}
	if capacity <= 0 || ttl <= 0 {
		return Share{}, false
	}
	capacity *= 1 - a.config.ReservedFraction
	rate := min(k.fairRate(now, member, capacity), capacity-k.outstanding(now, member))
	if rate < 0 {
		return Share{}, false
	}
	k.recordGrant(now, member, rate, now.Add(ttl))
	return Share{Key: key, Rate: rate, TTL: ttl}, true
}

// Demands returns the sum of the members' demands for each key. A zone's
// allocator reports it to the site's owner, which grants the zone's capacity.
func (a *Allocator) Demands(now time.Time) Demands {
	a.sweep(now)
	demands := make(Demands, 0, len(a.keys))
	for key, k := range a.keys {
		demands = append(demands, Demand{Key: key, Wanted: k.wanted(now)})
	}
	return demands
}

// Len returns the number of keys that have state.
func (a *Allocator) Len() int { return len(a.keys) }

func (a *Allocator) sweep(now time.Time) {
	for key, k := range a.keys {
		if k.sweep(now) == 0 {
			delete(a.keys, key)
		}
	}
}
