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

func settingsQueue(t *testing.T) *Queue {
	t.Helper()
	c := Defaults()
	c.Rand = rand.New(rand.NewPCG(gwtest.Seed(), 5))
	q, err := New(c)
	assert.NilError(t, err)
	return q
}

func settingsItem(team string, n int) Item {
	return Item{Call: call.Call{ID: fmt.Sprint(team, n), Team: call.Team(team), Class: "c", Tier: 4, Model: "m"}, Cost: 10}
}

// TestWeightOfTeams checks that a team of weight 3 is served three times as often as
// one of weight 1.
func TestWeightOfTeams(t *testing.T) {
	q := settingsQueue(t)
	now := time.Unix(1000, 0)
	for i := range 60 {
		heavy := settingsItem("heavy", i)
		heavy.Weight = 3
		assert.Assert(t, q.Offer(now, heavy).Queued)
		assert.Assert(t, q.Offer(now, settingsItem("light", i)).Queued)
	}
	served := map[call.Team]int{}
	for range 40 {
		item, _, ok := q.Next(now, "m")
		assert.Assert(t, ok)
		served[item.Call.Team]++
	}
	assert.Assert(t, served["heavy"] >= 29 && served["heavy"] <= 31, "%v", served)
}

// TestMaxWaitOfItem checks that an item's MaxWait overrides its tier's.
func TestMaxWaitOfItem(t *testing.T) {
	q := settingsQueue(t)
	now := time.Unix(1000, 0)
	item := settingsItem("t", 1)
	item.MaxWait = 2 * time.Second
	assert.Assert(t, q.Offer(now, item).Queued)
	assert.Equal(t, len(q.Expire(now.Add(1999*time.Millisecond))), 0)
	got := q.Expire(now.Add(2 * time.Second))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Reason, ReasonMaxWait)
}

// TestSetSharedCapacity checks that a smaller capacity refuses new items and keeps the
// waiting ones.
func TestSetSharedCapacity(t *testing.T) {
	q := settingsQueue(t)
	now := time.Unix(1000, 0)
	waiting := 0
	for i := range 100 {
		if q.Offer(now, settingsItem(fmt.Sprint(i%20), i)).Queued {
			waiting++
		}
	}
	q.SetSharedCapacity(1)
	assert.Equal(t, q.Len(), waiting)
	assert.Assert(t, !q.Offer(now, settingsItem("late", 1)).Queued)
}
