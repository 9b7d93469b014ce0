package sched

import (
	"time"

	"gentianwell/core/call"
)

// modelQueue holds the waiting items of one model.
type modelQueue struct {
	name   call.Model
	config *Config
	tiers  [TierCount]*tierQueue
	items  int
	// credit is how many tokens may go to turns; below zero while a turn's
	// tokens are being earned back.
	credit float64
}

func newModelQueue(name call.Model, c *Config) *modelQueue {
	return &modelQueue{name: name, config: c, credit: 1}
}

func (m *modelQueue) insert(now time.Time, e *entry) {
	n := e.item.Call.Tier
	if m.tiers[n] == nil {
		m.tiers[n] = newTierQueue()
	}
	m.tiers[n].insert(now, e)
	m.items++
}

func (m *modelQueue) remove(e *entry) {
	m.tiers[e.item.Call.Tier].remove(e)
	m.items--
}

// dispatched takes out the entry and keeps the account of turns.
func (m *modelQueue) dispatched(now time.Time, e *entry, reason Reason) {
	m.tiers[e.item.Call.Tier].dispatch(now, e)
	m.items--
	cost := float64(e.item.Cost)
	if reason == ReasonTurn {
		m.credit -= cost
		return
	}
	share := m.config.TurnShare
	m.credit = min(1, m.credit+cost*share/(1-share))
}

// count returns how many items of the tier wait.
func (m *modelQueue) count(t call.Tier) int {
	if m.tiers[t] == nil {
		return 0
	}
	return m.tiers[t].items
}

// placed returns how many items of the tier take a place.
func (m *modelQueue) placed(t call.Tier) int {
	if m.tiers[t] == nil {
		return 0
	}
	return m.tiers[t].items - m.tiers[t].again
}

// shared returns how many items of the tier are on shared places.
func (m *modelQueue) shared(t call.Tier) int {
	return max(0, m.placed(t)-m.config.TierCapacity)
}

// free returns how many shared places are free; none where
// SetSharedCapacity has left
// fewer than are taken.
func (m *modelQueue) free() int {
	free := m.config.SharedCapacity
	for t := range call.Tier(TierCount) {
		free -= m.shared(t)
	}
	return max(0, free)
}

// own returns how many of the tier's own places are free.
func (m *modelQueue) own(t call.Tier) int {
	return max(0, m.config.TierCapacity-m.placed(t))
}

// placeFor reports whether the tier has a free place, shared or its own.
func (m *modelQueue) placeFor(t call.Tier) bool {
	return m.own(t) > 0 || m.free() > 0
}

// obtainable returns how many more items of the tier could be queued, those that
// would displace lower tiers included.
func (m *modelQueue) obtainable(t call.Tier) int {
	places := m.own(t) + m.free()
	for low := t + 1; low <= call.MaxTier; low++ {
		places += m.shared(low)
	}
	return places
}

// teamItems returns how many items the team has in the tier.
func (m *modelQueue) teamItems(t call.Tier, team call.Team) int {
	if m.tiers[t] == nil {
		return 0
	}
	items, _ := m.tiers[t].team(string(team))
	return items
}

// victim returns the newest item of the lowest tier below t that is on shared
// places, or nil.
func (m *modelQueue) victim(t call.Tier) *entry {
	for low := call.MaxTier; low > t; low-- {
		if m.shared(low) > 0 {
			return m.tiers[low].newest()
		}
	}
	return nil
}
