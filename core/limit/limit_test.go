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

func newTestHome(t testing.TB, now time.Time, keptBack float64, capacity func(time.Time, Key) (float64, time.Time)) *Allocator {
	t.Helper()
	c := AllocatorDefaults()
	c.ReservedFraction, c.Capacity = keptBack, capacity
	h, err := NewAllocator(now, c)
	assert.NilError(t, err)
	return h
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
	// What was not foreseen is paid off later.
	l.Settle(start, Charge{ClassTokens("c"), 50})
	assert.Assert(t, !l.Allow(start.Add(5*time.Second), Charge{ClassTokens("c"), 1}).Allowed)
	assert.Assert(t, l.Allow(start.Add(6*time.Second), Charge{ClassTokens("c"), 1}).Allowed)
}

func TestDemandsOnlyWhereWorthTelling(t *testing.T) {
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
	got = l.Demands(start) // What did not fit comes next, the rest has not changed.
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Key, Key("0"))
	assert.Equal(t, len(l.Demands(start)), 0)
	l.Demands(start.Add(10 * time.Minute))
	assert.Equal(t, l.Len(), 0)
}

func TestHomeSplitsByDemand(t *testing.T) {
	h := newTestHome(t, start, 0.1, fixed(testLimit))
	assert.Equal(t, len(h.Report(start, "a", Demands{{testKey, 10}})), 0) // Quiet.
	now := start.Add(testTTL)
	var a, b Shares
	for range 5 {
		a = h.Report(now, "a", Demands{{testKey, 20}})
		b = h.Report(now, "b", Demands{{testKey, 200}})
		now = now.Add(testTTL / 2)
	}
	assert.Equal(t, a[0].Rate, 20.0)
	assert.Equal(t, b[0].Rate, 70.0)
	assert.DeepEqual(t, h.Demands(now), Demands{{testKey, 220}})
	h.Demands(now.Add(time.Minute))
	assert.Equal(t, h.Len(), 0)
}

// TestOnlyMovedKeysAreQuiet: VMs that come and go do not hold up the keys that
// stay.
func TestOnlyMovedKeysAreQuiet(t *testing.T) {
	const stays, comes = Key("stays"), Key("comes")
	h := newTestHome(t, start, 0, fixed(testLimit))
	now := start.Add(testTTL)
	wanted := Demands{{stays, 10}, {comes, 10}}
	assert.Equal(t, len(h.Report(now, "a", wanted)), 2)
	for range 5 {
		h.OwnersChanged(now, func(key Key) bool { return key == stays })
		got := h.Report(now, "a", wanted)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Key, stays)
		now = now.Add(testTTL / 2)
	}
	assert.Equal(t, len(h.Report(now.Add(testTTL), "a", wanted)), 2)
	assert.Assert(t, len(h.moves) <= 3)
}

func TestHomeOfMovesLittle(t *testing.T) {
	var vms []call.VMID
	for i := range 10 {
		vms = append(vms, call.VMID(fmt.Sprint("e", i)))
	}
	moved, gone := 0, vms[3]
	for i := range 1000 {
		key := TeamRequests(call.Team(fmt.Sprint(i)))
		before := Owner(key, vms)
		after := Owner(key, append(append([]call.VMID{}, vms[:3]...), vms[4:]...))
		if before != after {
			moved++
			assert.Equal(t, before, gone)
		}
	}
	assert.Assert(t, moved > 50 && moved < 150, "%d", moved)
	assert.Equal(t, Owner(testKey, nil), call.VMID(""))
}

func TestValidate(t *testing.T) {
	_, err := NewAllocator(start, AllocatorDefaults())
	assert.ErrorContains(t, err, "no Capacity")
	_, err = NewLocal(LocalDefaults())
	assert.ErrorContains(t, err, "no Limit")
}

// TestSharesEndWithCapacity: a zone's VMs hold nothing beyond the zone's own share.
func TestSharesEndWithCapacity(t *testing.T) {
	now := start.Add(testTTL)
	until := now.Add(3 * time.Second)
	h := newTestHome(t, start, 0, func(time.Time, Key) (float64, time.Time) { return testLimit, until })
	got := h.Report(now, "a", Demands{{testKey, 10}})
	assert.Equal(t, got[0].TTL, 3*time.Second)
	assert.Equal(t, len(h.Report(until, "a", Demands{{testKey, 10}})), 0)
}
