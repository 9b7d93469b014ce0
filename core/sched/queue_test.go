package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
)

var start = time.Unix(1000, 0)

func newTestQueue(t testing.TB, change func(*Config)) *Queue {
	t.Helper()
	c := Defaults()
	c.Rand = rand.New(rand.NewPCG(gwtest.Seed(), 0))
	if change != nil {
		change(&c)
	}
	q, err := New(c)
	assert.NilError(t, err)
	return q
}

func item(id string, tier call.Tier, team call.Team, cost int) Item {
	c := call.Call{ID: id, Tier: tier, Team: team, Class: "c", Model: "m"}
	return Item{Call: c, Cost: cost}
}

func TestDisplacesNewestOfLowestTier(t *testing.T) {
	q := newTestQueue(t, func(c *Config) { c.SharedCapacity, c.TierCapacity = 4, 1 })
	for i := range 3 {
		assert.Assert(t, q.Offer(start, item(fmt.Sprint("low", i), 7, call.Team(fmt.Sprint(i)), 1)).Queued)
		assert.Assert(t, q.Offer(start, item(fmt.Sprint("mid", i), 5, call.Team(fmt.Sprint(i)), 1)).Queued)
	}
	v := q.Offer(start, item("top", 0, "a", 1))
	assert.Assert(t, v.Queued)
	assert.Equal(t, len(v.Displaced), 0) // Uses its tier's own capacity.
	v = q.Offer(start, item("top2", 0, "b", 1))
	assert.Assert(t, v.Queued)
	assert.Equal(t, v.Displaced[0].Item.Call.ID, "low2")
	assert.Equal(t, v.Displaced[0].Reason, ReasonDisplaced)
	assert.Assert(t, v.Displaced[0].RetryAfter > 0)
	v = q.Offer(start, item("low9", 7, "z", 1))
	assert.Equal(t, v.Reason, ReasonFull)
}

func TestTeamLeavesCapacityForOthers(t *testing.T) {
	q := newTestQueue(t, func(c *Config) { c.SharedCapacity, c.TierCapacity = 20, 4 })
	for i := range 100 {
		q.Offer(start, item(fmt.Sprint("burst", i), 2, "burst", 1))
	}
	for i := range 3 {
		v := q.Offer(start, item(fmt.Sprint("calm", i), 2, "calm", 1))
		assert.Equal(t, v.Reason, ReasonQueued)
	}
	v := q.Offer(start, item("burst", 2, "burst", 1))
	assert.Equal(t, v.Reason, ReasonTeamFull)
}

func TestDeadlines(t *testing.T) {
	q := newTestQueue(t, func(c *Config) { c.Rate = func(time.Time, call.Model) float64 { return 100 } })
	late := item("late", 3, "a", 10)
	late.Call.Deadline, late.Service = start.Add(time.Second), 2*time.Second
	assert.Equal(t, q.Offer(start, late).Reason, ReasonDeadline)

	assert.Assert(t, q.Offer(start, item("ahead", 0, "a", 500)).Queued)
	behind := item("behind", 3, "a", 10) // 5 seconds of tokens are ahead of it.
	behind.Call.Deadline, behind.Service = start.Add(6*time.Second), 2*time.Second
	assert.Equal(t, q.Offer(start, behind).Reason, ReasonDeadline)

	soon := item("soon", 3, "a", 10)
	soon.Call.Deadline, soon.Service = start.Add(9*time.Second), 2*time.Second
	assert.Assert(t, q.Offer(start, soon).Queued)
	at, ok := q.NextExpiry()
	assert.Assert(t, ok)
	assert.Equal(t, at, start.Add(7*time.Second))
	assert.Equal(t, len(q.Expire(at.Add(-1))), 0)
	got := q.Expire(at)
	assert.Equal(t, got[0].Item.Call.ID, "soon")
	assert.Equal(t, got[0].Reason, ReasonDeadline)
	got = q.Expire(start.Add(10 * time.Second))
	assert.Equal(t, got[0].Reason, ReasonMaxWait)
	assert.Equal(t, q.Len(), 0)
}

func TestRetryAfterSpreadsAndGrows(t *testing.T) {
	q := newTestQueue(t, func(c *Config) { c.Rate = func(time.Time, call.Model) float64 { return 100 } })
	m := q.model("m")
	few, many := map[time.Duration]bool{}, time.Duration(0)
	for range 100 {
		after := q.retryAfter(start, m, 3)
		assert.Assert(t, after >= time.Second && after <= 2*time.Second)
		few[after.Round(50*time.Millisecond)] = true
	}
	assert.Assert(t, len(few) > 10)
	q.Offer(start, item("big", 3, "a", 1000))
	for range 100 {
		many = max(many, q.retryAfter(start, q.model("m"), 3))
	}
	assert.Assert(t, many > 15*time.Second)
}

func TestConfigValidate(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Config)
		want   string
	}{
		{"shared capacity", func(c *Config) { c.SharedCapacity = 0 }, "SharedCapacity 0"},
		{"share", func(c *Config) { c.TurnShare = 1 }, "TurnShare 1"},
		{"protected", func(c *Config) { c.Protected = 9 }, "Protected 9"},
		{"rand", func(c *Config) { c.Rand = nil }, "nil Rate or nil Rand"},
		{"turn", func(c *Config) { c.Tiers[4].TurnEvery = time.Hour }, "tier 4"},
		{"retry", func(c *Config) { c.RetryMax = 0 }, "RetryMax 0s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := Defaults()
			c.Rand = rand.New(rand.NewPCG(1, 1))
			tt.change(&c)
			assert.ErrorContains(t, c.Validate(), tt.want)
		})
	}
}
