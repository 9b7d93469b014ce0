package limit

import (
	"slices"
	"time"
)

// keyState is what a home knows about one limit.
type keyState struct {
	members map[Member]*memberState
	// quiet is until when another home's shares may be in force.
	quiet time.Time
}

// memberState is one member's demand and what it may hold.
type memberState struct {
	wanted      float64
	wantedUntil time.Time
	// rate counts until rateUntil. After a lower share was granted, rate and
	// rateUntil are those of the greater one, as the answer may be lost; next
	// and nextUntil are those of the lower one.
	rate, next           float64
	rateUntil, nextUntil time.Time
}

func newKeyState() *keyState { return &keyState{members: map[Member]*memberState{}} }

// moved keeps the key quiet where it was not here before the move.
func (k *keyState) moved(key Key, m move) {
	if !m.was(key) {
		k.quiet = later(m.until, k.quiet)
	}
}

func (k *keyState) demand(until time.Time, member Member, wanted float64) {
	m, ok := k.members[member]
	if !ok {
		m = &memberState{}
		k.members[member] = m
	}
	m.wanted, m.wantedUntil = max(0, wanted), until
}

// granted notes a share. What was granted before counts until it has run out.
func (k *keyState) granted(now time.Time, member Member, rate float64, until time.Time) {
	m := k.members[member]
	m.settle(now)
	if rate >= m.rate {
		m.rate, m.rateUntil = rate, later(until, m.rateUntil)
		m.next = 0
		return
	}
	m.next, m.nextUntil = max(rate, m.liveNext(now)), later(until, m.nextUntil)
}

func (m *memberState) liveNext(now time.Time) float64 {
	if m.nextUntil.After(now) {
		return m.next
	}
	return 0
}

// settle drops what has run out.
func (m *memberState) settle(now time.Time) {
	if m.rateUntil.After(now) {
		return
	}
	m.rate, m.rateUntil = m.liveNext(now), m.nextUntil
	m.next = 0
}

// outstanding returns the sum of what all members but one may hold.
func (k *keyState) outstanding(now time.Time, but Member) float64 {
	sum := 0.0
	for name, m := range k.members {
		if name == but {
			continue
		}
		m.settle(now)
		sum += m.rate
	}
	return sum
}

// wanted returns the sum of the live demands.
func (k *keyState) wanted(now time.Time) float64 {
	sum := 0.0
	for _, m := range k.members {
		if m.wantedUntil.After(now) {
			sum += m.wanted
		}
	}
	return sum
}

// fairRate returns the member's max-min share of the capacity: nobody gets more
// than wanted while somebody lacks, and what is left over is split evenly.
func (k *keyState) fairRate(now time.Time, member Member, capacity float64) float64 {
	var wanted []float64
	for _, m := range k.members {
		if m.wantedUntil.After(now) {
			wanted = append(wanted, m.wanted)
		}
	}
	slices.Sort(wanted)
	own, left := k.members[member].wanted, capacity
	for i, w := range wanted {
		level := left / float64(len(wanted)-i)
		if w >= level {
			return min(own, level)
		}
		left -= w
	}
	return own + left/float64(len(wanted))
}

// sweep forgets members without demand or share and returns how many are left.
func (k *keyState) sweep(now time.Time) int {
	for name, m := range k.members {
		m.settle(now)
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
