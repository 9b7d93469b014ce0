package model

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
	"gentianwell/core/route"
	vm "gentianwell/io/entry"
)

func play(t *testing.T, d Deployment, passing VMConfig) *Totals {
	t.Helper()
	passing.Router = vm.Routing()
	totals, err := SimulateDeployment(d, passing, gwtest.Seed())
	assert.NilError(t, err)
	return totals
}

// A heavy day of a wide fleet: task assignment by size, consistent hashing of long
// prefixes and a concurrency limit for each VM serve callers better than the less
// loaded of two, and urgent short calls no worse than long ones.
func TestHeavyDayOfAWideFleet(t *testing.T) {
	d := Wide
	d.Length = 7 * time.Second
	plain, got := play(t, d, VMConfig{Plain: true}), play(t, d, VMConfig{})
	t.Logf("plain %sgot %s", plain, got)
	assert.Assert(t, got.EarnedShare() > plain.EarnedShare())
	for _, short := range []call.Class{"question", "plot"} {
		assert.Assert(t, got.Kinds[short].EarnedShare() >= got.Kinds["summary"].EarnedShare(), "%s", short)
		assert.Assert(t, got.Kinds[short].EarnedShare() > plain.Kinds[short].EarnedShare(), "%s", short)
	}
	assert.Assert(t, got.RereadTokens < plain.RereadTokens)
}

// With half of the usual load all kinds are answered on time: nine in ten at least.
func TestCalmDay(t *testing.T) {
	for _, d := range []Deployment{Wide, Lean} {
		d = d.WithSteadyLoad(0.5)
		d.Length = 8 * time.Second
		for name, k := range play(t, d, VMConfig{}).Kinds {
			assert.Assert(t, k.OnTime*10 >= k.Offered*9, "%s, %s: %+v", d.Name, name, *k)
		}
	}
}

// Each call has one outcome, and the same seed gives the same ones.
func TestPlayCounts(t *testing.T) {
	d := Lean
	d.Length = 6 * time.Second
	one, two := play(t, d, VMConfig{}), play(t, d, VMConfig{})
	assert.DeepEqual(t, one, two)
	for name, k := range one.Kinds {
		assert.Equal(t, k.OnTime+k.Late+k.Refused+k.Abandoned, k.Offered, "%s", name)
	}
}

// An engine reads a prompt once: the next call with the same part reads its own
// tokens only.
func TestBatchKeepsSharedParts(t *testing.T) {
	c := &clock{now: origin}
	totals := &Totals{}
	b := &batch{
		pace: fastPace, speed: 1, clock: c, totals: totals, kept: map[uint64]*keptPart{}, readOnce: map[uint64]time.Time{},
	}
	b.note()
	for range 2 {
		a := &ask{call: call.Call{PromptTokens: 1000}, parts: []part{{id: 1, tokens: 700}}, events: 1, memory: 312}
		a.event, a.end = func(route.Load) {}, func() {}
		assert.Assert(t, b.offer(a))
		c.run()
	}
	assert.Equal(t, totals.ReadTokens, 1300)
	assert.Equal(t, totals.RereadTokens, 0)
}
