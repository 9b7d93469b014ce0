package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
)

const (
	testLimit = 100.0
	testKey   = Key("team/judges/requests")
	testTTL   = 10 * time.Second
)

var start = time.Unix(1000, 0)

func newTestLocal(t testing.TB, fallback float64) *Local {
	t.Helper()
	c := LocalDefaults()
	c.Limit = func(Key) float64 { return testLimit }
	c.Fallback = func() float64 { return fallback }
	c.Rand = rand.New(rand.NewPCG(gwtest.Seed(), 0))
	l, err := NewLocal(c)
	assert.NilError(t, err)
	return l
}

func newTestAllocator(t testing.TB, now time.Time, reserved float64, capacity func(time.Time, Key) (float64, time.Time)) *Allocator {
	t.Helper()
	c := AllocatorDefaults()
	c.ReservedFraction, c.Capacity = reserved, capacity
	a, err := NewAllocator(now, c)
	assert.NilError(t, err)
	return a
}

func fixed(rate float64) func(time.Time, Key) (float64, time.Time) {
	return func(time.Time, Key) (float64, time.Time) { return rate, time.Time{} }
}

func TestLocalFallsBack(t *testing.T) {
	l := newTestLocal(t, 0.05)
	assert.Equal(t, l.rate(start, testKey, testLimit), 5.0)
	l.Grant(start, start, Shares{{Key: testKey, Rate: 40, TTL: testTTL}})
	assert.Equal(t, l.rate(start.Add(testTTL-1), testKey, testLimit), 40.0)
	assert.Equal(t, l.rate(start.Add(testTTL), testKey, testLimit), 5.0)
}

func TestAllowChargesAllOrNone(t *testing.T) {
	l := newTestLocal(t, 0.1)
	other := TeamTokens("judges")
	for range 10 {
		assert.Assert(t, l.Allow(start, Charge{testKey, 1}, Charge{other, 1}).Allowed)
	}
	d := l.Allow(start, Charge{ClassTokens("c"), 5}, Charge{other, 1})
	assert.Equal(t, d.Reason, ReasonOver)
	assert.Equal(t, d.Key, other)
	assert.Assert(t, d.RetryAfter >= time.Second)
	// The refused call charged nothing.
	assert.Assert(t, l.Allow(start, Charge{ClassTokens("c"), 10}).Allowed)
	// Settle overdraws the bucket; calls are refused until it has refilled.
	l.Settle(start, Charge{ClassTokens("c"), 50})
	assert.Assert(t, !l.Allow(start.Add(5*time.Second), Charge{ClassTokens("c"), 1}).Allowed)
	assert.Assert(t, l.Allow(start.Add(6*time.Second), Charge{ClassTokens("c"), 1}).Allowed)
}

func TestDemandsOnlyIfDue(t *testing.T) {
	l := newTestLocal(t, 0.01)
	l.config.MaxDemands = 2
	for i := range 3 {
		for range 100 * (i + 1) {
			l.Allow(start, Charge{Key(fmt.Sprint(i)), 1})
		}
	}
	l.Allow(start, Charge{"small", 1})
	assert.Equal(t, l.Len(), 4)
	got := l.Demands(start)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Key, Key("2"))
	got = l.Demands(start) // The one beyond MaxDemands; the others have not changed.
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Key, Key("0"))
	assert.Equal(t, len(l.Demands(start)), 0)
	l.Demands(start.Add(10 * time.Minute))
	assert.Equal(t, l.Len(), 0)
}

func TestAllocatorSplitsByDemand(t *testing.T) {
	a := newTestAllocator(t, start, 0.1, fixed(testLimit))
	assert.Equal(t, len(a.Report(start, "a", Demands{{testKey, 10}})), 0) // A new allocator grants nothing for a TTL.
	now := start.Add(testTTL)
	var first, second Shares
	for range 5 {
		first = a.Report(now, "a", Demands{{testKey, 20}})
		second = a.Report(now, "b", Demands{{testKey, 200}})
		now = now.Add(testTTL / 2)
	}
	assert.Equal(t, first[0].Rate, 20.0)
	assert.Equal(t, second[0].Rate, 70.0)
	assert.DeepEqual(t, a.Demands(now), Demands{{testKey, 220}})
	a.Demands(now.Add(time.Minute))
	assert.Equal(t, a.Len(), 0)
}

// TestOnlyMovedKeysGetNoGrants checks that VMs that join and leave stop grants only
// for keys that change their owner.
func TestOnlyMovedKeysGetNoGrants(t *testing.T) {
	const kept, gained = Key("kept"), Key("gained")
	a := newTestAllocator(t, start, 0, fixed(testLimit))
	now := start.Add(testTTL)
	wanted := Demands{{kept, 10}, {gained, 10}}
	assert.Equal(t, len(a.Report(now, "a", wanted)), 2)
	for range 5 {
		a.OwnersChanged(now, func(key Key) bool { return key == kept })
		got := a.Report(now, "a", wanted)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Key, kept)
		now = now.Add(testTTL / 2)
	}
	assert.Equal(t, len(a.Report(now.Add(testTTL), "a", wanted)), 2)
	assert.Assert(t, len(a.ownerChanges) <= 3)
}

func TestOwnerMovesFewKeys(t *testing.T) {
	var vms []call.VMID
	for i := range 10 {
		vms = append(vms, call.VMID(fmt.Sprint("e", i)))
	}
	moved, removed := 0, vms[3]
	for i := range 1000 {
		key := TeamRequests(call.Team(fmt.Sprint(i)))
		before := Owner(key, vms)
		after := Owner(key, append(append([]call.VMID{}, vms[:3]...), vms[4:]...))
		if before != after {
			moved++
			assert.Equal(t, before, removed)
		}
	}
	assert.Assert(t, moved > 50 && moved < 150, "%d", moved)
	assert.Equal(t, Owner(testKey, nil), call.VMID(""))
}

func TestValidate(t *testing.T) {
	_, err := NewAllocator(start, AllocatorDefaults())
	assert.ErrorContains(t, err, "nil Capacity")
	_, err = NewLocal(LocalDefaults())
	assert.ErrorContains(t, err, "nil Limit")
}

// TestSharesEndWithCapacity checks that the shares of a zone's VMs expire no later
// than the zone's own share.
func TestSharesEndWithCapacity(t *testing.T) {
	now := start.Add(testTTL)
	until := now.Add(3 * time.Second)
	a := newTestAllocator(t, start, 0, func(time.Time, Key) (float64, time.Time) { return testLimit, until })
	got := a.Report(now, "a", Demands{{testKey, 10}})
	assert.Equal(t, got[0].TTL, 3*time.Second)
	assert.Equal(t, len(a.Report(until, "a", Demands{{testKey, 10}})), 0)
}
