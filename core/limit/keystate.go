package limit

import (
	"slices"
	"time"
)

// keyState is an allocator's state of one limit.
type keyState struct {
	members map[Member]*memberState
	// noGrantsBefore is when the last share granted by another owner has expired.
	noGrantsBefore time.Time
}

// memberState is one member's demand and the share that it may hold.
type memberState struct {
	wanted      float64
	wantedUntil time.Time
	// rate counts until rateUntil. After a lower share was granted, rate and
	// rateUntil are still those of the greater one, as the reply may be lost;
	// lowerRate and lowerRateUntil are those of the lower one.
	rate, lowerRate           float64
	rateUntil, lowerRateUntil time.Time
}

func newKeyState() *keyState { return &keyState{members: map[Member]*memberState{}} }

// ownersChanged stops grants until the end of the change if this VM did not own
// the key before it.
func (k *keyState) ownersChanged(key Key, c ownerChange) {
	if !c.owned(key) {
		k.noGrantsBefore = later(c.until, k.noGrantsBefore)
	}
}

func (k *keyState) setDemand(until time.Time, member Member, wanted float64) {
	m, ok := k.members[member]
	if !ok {
		m = &memberState{}
		k.members[member] = m
	}
	m.wanted, m.wantedUntil = max(0, wanted), until
}

// recordGrant records a share. A greater share granted before counts until it
// has expired.
func (k *keyState) recordGrant(now time.Time, member Member, rate float64, until time.Time) {
	m := k.members[member]
	m.expire(now)
	if rate >= m.rate {
		m.rate, m.rateUntil = rate, later(until, m.rateUntil)
		m.lowerRate = 0
		return
	}
	m.lowerRate, m.lowerRateUntil = max(rate, m.validLowerRate(now)), later(until, m.lowerRateUntil)
}

func (m *memberState) validLowerRate(now time.Time) float64 {
	if m.lowerRateUntil.After(now) {
		return m.lowerRate
	}
	return 0
}

// expire drops a share that has expired; a lower one granted after it replaces it.
func (m *memberState) expire(now time.Time) {
	if m.rateUntil.After(now) {
		return
	}
	m.rate, m.rateUntil = m.validLowerRate(now), m.lowerRateUntil
	m.lowerRate = 0
}

// outstanding returns the sum of the shares that all members except one may hold.
func (k *keyState) outstanding(now time.Time, except Member) float64 {
	sum := 0.0
	for name, m := range k.members {
		if name == except {
			continue
		}
		m.expire(now)
		sum += m.rate
	}
	return sum
}

// wanted returns the sum of the demands that have not expired.
func (k *keyState) wanted(now time.Time) float64 {
	sum := 0.0
	for _, m := range k.members {
		if m.wantedUntil.After(now) {
			sum += m.wanted
		}
	}
	return sum
}

// fairRate returns the member's max-min fair share of the capacity: no member
// gets more than it wants while another lacks some of its demand, and the surplus
// is split evenly.
func (k *keyState) fairRate(now time.Time, member Member, capacity float64) float64 {
	var wanted []float64
	for _, m := range k.members {
		if m.wantedUntil.After(now) {
			wanted = append(wanted, m.wanted)
		}
	}
	slices.Sort(wanted)
	own, remaining := k.members[member].wanted, capacity
	for i, w := range wanted {
		level := remaining / float64(len(wanted)-i)
		if w >= level {
			return min(own, level)
		}
		remaining -= w
	}
	return own + remaining/float64(len(wanted))
}

// sweep deletes members without demand or share and returns how many remain.
func (k *keyState) sweep(now time.Time) int {
	for name, m := range k.members {
		m.expire(now)
		if m.rate == 0 && !m.wantedUntil.After(now) {
			delete(k.members, name)
		}
	}
	return len(k.members)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
