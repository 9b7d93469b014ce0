package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	_ "gentianwell/core/gwtest"
)

const maxTestCost = 50

// queueModel is a reference model of Queue for the state machine test. It tracks the
// waiting items and checks every result of the queue against the documented rules.
type queueModel struct {
	q       *Queue
	now     time.Time
	lastID  int
	waiting map[string]waitingItem
	ended   map[string]int
	// overdueTokens counts the tokens dispatched since a tier's turn was due.
	overdueTokens [TierCount]int
	lastServed    [TierCount]time.Time
	// maxSharedCapacity is the largest shared capacity so far.
	maxSharedCapacity int
}

type waitingItem struct {
	item    Item
	arrived time.Time
	seq     int
}

func newQueueModel(rt *rapid.T) *queueModel {
	c := Defaults()
	c.Rand = rand.New(rand.NewPCG(1, 2))
	c.SharedCapacity = rapid.IntRange(1, 12).Draw(rt, "sharedCapacity")
	c.TierCapacity = rapid.IntRange(1, 4).Draw(rt, "tierCapacity")
	c.Protected = rapid.IntRange(0, 2).Draw(rt, "protected")
	c.TurnShare = rapid.Float64Range(0.05, 0.5).Draw(rt, "share")
	q, err := New(c)
	assert.NilError(rt, err)
	return &queueModel{q: q, now: start, waiting: map[string]waitingItem{}, ended: map[string]int{}, maxSharedCapacity: c.SharedCapacity}
}

func (m *queueModel) offer(rt *rapid.T) {
	m.offerTier(rt, call.Tier(rapid.IntRange(0, 7).Draw(rt, "tier")))
}

// burst offers several items of one tier.
func (m *queueModel) burst(rt *rapid.T) {
	tier := call.Tier(rapid.IntRange(0, 7).Draw(rt, "tier"))
	for range rapid.IntRange(2, 12).Draw(rt, "burst") {
		m.offerTier(rt, tier)
	}
}

func (m *queueModel) offerTier(rt *rapid.T, tier call.Tier) {
	m.lastID++
	id := fmt.Sprint(m.lastID)
	team := call.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team"))
	it := item(id, tier, team, rapid.IntRange(1, maxTestCost).Draw(rt, "cost"))
	it.Call.Class = call.Class(rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "class"))
	it.MaxWait = time.Duration(rapid.SampledFrom([]int{0, 0, 1, 7}).Draw(rt, "maxWait")) * time.Second
	it.Requeued = rapid.IntRange(0, 7).Draw(rt, "requeued") == 0
	if it.Call.Class == "y" {
		it.FreshFor = 2 * time.Second
	}
	if rapid.IntRange(0, 3).Draw(rt, "hasDeadline") == 0 {
		it.Service = time.Second
		it.Call.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "deadline")) * time.Second)
	}
	m.expire(rt)
	v := m.q.Offer(m.now, it)
	for _, r := range v.Displaced {
		m.checkDisplaced(rt, r, tier)
		m.recordEnd(rt, r.Item.Call.ID)
	}
	if v.Queued {
		m.recordQueued(it)
		return
	}
	assert.Equal(rt, len(v.Displaced), 0)
	assert.Assert(rt, !it.Requeued || v.Reason == ReasonDeadline, "requeued item refused: %s", v.Reason)
	m.ended[id]++
	if v.Reason == ReasonFull || v.Reason == ReasonDeadline {
		assert.Assert(rt, v.RetryAfter > 0)
	}
	if v.Reason == ReasonFull {
		m.checkFull(rt, tier)
	}
}

func (m *queueModel) recordQueued(it Item) {
	tier := it.Call.Tier
	if m.count(tier) == 0 {
		m.lastServed[tier], m.overdueTokens[tier] = m.now, 0
	}
	m.waiting[it.Call.ID] = waitingItem{item: it, arrived: m.now, seq: m.lastID}
}

// checkDisplaced checks that the displaced item is the newest one of the lowest tier
// beyond its own capacity, and that this tier is below the displacing one.
func (m *queueModel) checkDisplaced(rt *rapid.T, r Refusal, by call.Tier) {
	victim := r.Item.Call.Tier
	assert.Assert(rt, !r.Item.Requeued, "requeued item displaced")
	assert.Assert(rt, victim > by, "tier %d displaced by tier %d", victim, by)
	assert.Equal(rt, r.Reason, ReasonDisplaced)
	for _, w := range m.waiting {
		if w.item.Call.Tier == victim && !w.item.Requeued {
			assert.Assert(rt, w.seq <= m.waiting[r.Item.Call.ID].seq, "displaced item is not the newest of its tier")
		}
		if w.item.Call.Tier > victim {
			assert.Assert(rt, m.capacityUsed(w.item.Call.Tier) <= m.q.config.TierCapacity, "displaced item is not of the lowest tier using shared capacity")
		}
	}
}

// checkFull checks that an item is refused only if no lower tier uses shared
// capacity and its tier's own capacity is used up.
func (m *queueModel) checkFull(rt *rapid.T, tier call.Tier) {
	for low := tier + 1; low <= call.MaxTier; low++ {
		assert.Assert(rt, m.capacityUsed(low) <= m.q.config.TierCapacity, "tier %d refused while tier %d uses shared capacity", tier, low)
	}
	assert.Assert(rt, m.capacityUsed(tier) >= m.q.config.TierCapacity, "tier %d refused while its own capacity is free", tier)
}

func (m *queueModel) dispatch(rt *rapid.T) {
	m.expire(rt)
	it, reason, ok := m.q.Next(m.now, "m")
	assert.Equal(rt, ok, len(m.waiting) > 0)
	if !ok {
		return
	}
	tier := it.Call.Tier
	for _, w := range m.waiting {
		other := w.item.Call.Tier
		if other < tier {
			assert.Equal(rt, reason, ReasonTurn)
			assert.Assert(rt, int(other) >= m.q.config.Protected, "tier %d went before protected tier %d", tier, other)
		}
		if other == tier && w.item.Call.Team == it.Call.Team && w.item.Call.Class == it.Call.Class {
			m.checkOrder(rt, m.waiting[it.Call.ID], w)
		}
	}
	m.recordEnd(rt, it.Call.ID)
	m.recordDispatch(rt, it)
}

// checkOrder checks that requeued items go first, then fresh items before stale ones,
// and otherwise first in, first out.
func (m *queueModel) checkOrder(rt *rapid.T, dispatched, kept waitingItem) {
	if dispatched.item.Requeued || kept.item.Requeued {
		assert.Assert(rt, dispatched.item.Requeued, "new item before a requeued one")
		return
	}
	if m.fresh(dispatched) != m.fresh(kept) {
		assert.Assert(rt, m.fresh(dispatched), "stale item before a fresh one")
		return
	}
	if !m.fresh(dispatched) && dispatched.item.FreshFor != kept.item.FreshFor {
		return // Stale items go in the order in which they were found stale.
	}
	assert.Assert(rt, dispatched.seq <= kept.seq, "not first in, first out")
}

func (m *queueModel) fresh(w waitingItem) bool {
	return w.item.FreshFor == 0 || m.now.Sub(w.arrived) < w.item.FreshFor
}

// recordDispatch updates the model and checks the documented bound on a tier's gap, in
// dispatched tokens.
func (m *queueModel) recordDispatch(rt *rapid.T, it Item) {
	tier := it.Call.Tier
	for t := range call.Tier(TierCount) {
		due := !m.now.Before(m.lastServed[t].Add(m.q.config.Tiers[t].TurnEvery))
		if t != tier && m.count(t) > 0 && due && int(tier) >= m.q.config.Protected {
			m.overdueTokens[t] += it.Cost
		}
		if int(t) >= m.q.config.Protected {
			assert.Assert(rt, m.overdueTokens[t] <= m.q.config.maxGapTokens(maxTestCost), "tier %d exceeds its gap in tokens", t)
		}
	}
	m.lastServed[tier], m.overdueTokens[tier] = m.now, 0
}

func (m *queueModel) expire(rt *rapid.T) {
	for _, r := range m.q.Expire(m.now) {
		w := m.waiting[r.Item.Call.ID]
		maxWait := m.maxWait(r.Item)
		deadline := r.Item.Call.Deadline
		deadlineMissed := !deadline.IsZero() && !m.now.Add(r.Item.Service).Before(deadline)
		assert.Assert(rt, deadlineMissed || m.now.Sub(w.arrived) >= maxWait, "expired too soon")
		assert.Assert(rt, r.RetryAfter > 0)
		m.recordEnd(rt, r.Item.Call.ID)
	}
	for id, w := range m.waiting {
		assert.Assert(rt, m.now.Sub(w.arrived) < m.maxWait(w.item), "%s waits too long", id)
	}
}

func (m *queueModel) maxWait(it Item) time.Duration {
	if it.MaxWait > 0 {
		return it.MaxWait
	}
	return m.q.config.Tiers[it.Call.Tier].MaxWait
}

// resize changes the shared capacity and checks that waiting items stay.
func (m *queueModel) resize(rt *rapid.T) {
	before := m.q.Len()
	m.q.SetSharedCapacity(rapid.IntRange(1, 12).Draw(rt, "sharedCapacity"))
	m.maxSharedCapacity = max(m.maxSharedCapacity, m.q.config.SharedCapacity)
	assert.Equal(rt, m.q.Len(), before)
}

func (m *queueModel) remove(rt *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(1, m.lastID+1).Draw(rt, "id"))
	m.expire(rt)
	_, ok := m.q.Remove(id)
	_, want := m.waiting[id]
	assert.Equal(rt, ok, want)
	if ok {
		m.recordEnd(rt, id)
	}
}

func (m *queueModel) recordEnd(rt *rapid.T, id string) {
	_, ok := m.waiting[id]
	assert.Assert(rt, ok, "%s ended but was not waiting", id)
	delete(m.waiting, id)
	m.ended[id]++
}

func (m *queueModel) count(tier call.Tier) (n int) {
	for _, w := range m.waiting {
		if w.item.Call.Tier == tier {
			n++
		}
	}
	return n
}

// capacityUsed counts the items of the tier that use queue capacity.
func (m *queueModel) capacityUsed(tier call.Tier) (n int) {
	for _, w := range m.waiting {
		if w.item.Call.Tier == tier && !w.item.Requeued {
			n++
		}
	}
	return n
}

// checkInvariants checks that each item is either waiting or has ended exactly once,
// and that the used capacity is bounded.
func (m *queueModel) checkInvariants(rt *rapid.T) {
	for i := 1; i <= m.lastID; i++ {
		id := fmt.Sprint(i)
		_, waits := m.waiting[id]
		assert.Assert(rt, waits != (m.ended[id] == 1) && m.ended[id] <= 1, "%s ended %d times", id, m.ended[id])
	}
	assert.Equal(rt, m.q.Len(), len(m.waiting))
	c := m.q.config
	used := 0
	for tier := range call.Tier(TierCount) {
		used += m.capacityUsed(tier)
	}
	assert.Assert(rt, used <= m.maxSharedCapacity+TierCount*c.TierCapacity)
}

func TestQueueStateMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newQueueModel(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"offer":    m.offer,
			"burst":    m.burst,
			"dispatch": m.dispatch,
			"expire":   m.expire,
			"remove":   m.remove,
			"resize":   m.resize,
			"wait": func(rt *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
				m.expire(rt)
			},
			"": m.checkInvariants,
		})
	})
}

// TestTurnsAreTaken keeps all tiers waiting and checks that each one is served
// within MaxGap, and that turns take no more than TurnShare.
func TestTurnsAreTaken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.Float64Range(0.05, 0.4).Draw(rt, "share")
		q := newTestQueue(t, func(c *Config) { c.TurnShare, c.Protected = share, 0 })
		pace := time.Duration(rapid.IntRange(5, 100).Draw(rt, "pace")) * time.Millisecond
		rate := 1 / pace.Seconds() // Tokens per second if each item costs at least 1.
		now, next := start, 0
		last := [TierCount]time.Time{}
		turns, tokens := 0, 0
		for range 1500 {
			for tier := range call.Tier(TierCount) {
				for q.models["m"] == nil || q.models["m"].count(tier) < 2 {
					next++
					assert.Assert(rt, q.Offer(now, item(fmt.Sprint(next), tier, "a", 1+next%5)).Queued)
				}
				if last[tier].IsZero() {
					last[tier] = now
				}
			}
			q.Expire(now)
			it, reason, ok := q.Next(now, "m")
			assert.Assert(rt, ok)
			tier := it.Call.Tier
			gap := now.Sub(last[tier])
			assert.Assert(rt, gap <= q.config.MaxGap(tier, 5, rate)+pace, "tier %d: gap %s", tier, gap)
			last[tier] = now
			tokens += it.Cost
			if reason == ReasonTurn {
				turns += it.Cost
			}
			now = now.Add(pace)
		}
		assert.Assert(rt, float64(turns) <= share*float64(tokens)+6, "turns %d of %d", turns, tokens)
		for tier, at := range last {
			assert.Assert(rt, now.Sub(at) <= q.config.MaxGap(call.Tier(tier), 5, rate)+pace, "tier %d", tier)
		}
	})
}

// TestFairShare keeps several teams waiting with items of different costs and weights
// and checks that their weighted service differs by no more than the costs of two
// items.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := newTestQueue(t, nil)
		teams := rapid.IntRange(2, 6).Draw(rt, "teams")
		weights := rapid.SliceOfN(rapid.IntRange(1, 4), teams, teams).Draw(rt, "weights")
		costs := rapid.SliceOfN(rapid.IntRange(1, maxTestCost), teams, teams).Draw(rt, "costs")
		served := make([]int, teams)
		next := 0
		offer := func(team int) {
			next++
			it := item(fmt.Sprint(next), 3, call.Team(fmt.Sprint(team)), costs[team])
			it.Call.Class = call.Class(fmt.Sprint(next % 2))
			it.Cost *= weights[team]
			it.Weight = float64(weights[team])
			assert.Assert(rt, q.Offer(start, it).Queued)
		}
		for team := range teams {
			// Earlier teams queue more items, which must not give them a larger share.
			for range 2 + (teams-team)*rapid.IntRange(0, 5).Draw(rt, "more") {
				offer(team)
			}
		}
		for range 200 {
			it, _, _ := q.Next(start, "m")
			var team int
			_, err := fmt.Sscan(string(it.Call.Team), &team)
			assert.NilError(rt, err)
			served[team] += it.Cost / weights[team]
			offer(team)
			for i := range served {
				for j := range served {
					assert.Assert(rt, served[i]-served[j] <= costs[i]+costs[j], "teams %d and %d: %v", i, j, served)
				}
			}
		}
	})
}

// TestFairShareOfTeamOfferingOneAtATime checks that a team that offers its next item
// when the last one is dispatched gets no more than a team that queues many.
func TestFairShareOfTeamOfferingOneAtATime(t *testing.T) {
	q := newTestQueue(t, nil)
	next, served := 0, map[call.Team]int{}
	offer := func(team call.Team, cost int) {
		next++
		assert.Assert(t, q.Offer(start, item(fmt.Sprint(next), 3, team, cost)).Queued)
	}
	for range 60 {
		offer("queues", 10)
	}
	offer("single", 40)
	for range 50 {
		it, _, _ := q.Next(start, "m")
		served[it.Call.Team] += it.Cost
		if it.Call.Team == "single" {
			offer("single", 40)
		}
	}
	assert.Assert(t, served["single"] <= served["queues"]+50, "%v", served)
}
