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

func play(t *testing.T, d Deployment, passing Passing) *Totals {
	t.Helper()
	passing.Router = vm.RouteConfig()
	totals, err := Play(d, passing, gwtest.Seed())
	assert.NilError(t, err)
	return totals
}

// A heavy day of a wide fleet: task assignment by size, consistent hashing of long
// prefixes and a concurrency limit for each VM serve callers better than the less
// loaded of two, and urgent short calls no worse than long ones.
func TestHeavyDayOfAWideFleet(t *testing.T) {
	d := Wide
	d.Length = 7 * time.Second
	plain, got := play(t, d, Passing{Plain: true}), play(t, d, Passing{})
	t.Logf("plain %sgot %s", plain, got)
	assert.Assert(t, got.Share() > plain.Share())
	for _, short := range []call.Class{"question", "plot"} {
		assert.Assert(t, got.Kinds[short].Share() >= got.Kinds["summary"].Share(), "%s", short)
		assert.Assert(t, got.Kinds[short].Share() > plain.Kinds[short].Share(), "%s", short)
	}
	assert.Assert(t, got.ReadAgain < plain.ReadAgain)
}

// With half of the usual load all kinds are answered on time: nine in ten at least.
func TestCalmDay(t *testing.T) {
	for _, d := range []Deployment{Wide, Lean} {
		d = d.Scaled(0.5)
		d.Length = 8 * time.Second
		for name, k := range play(t, d, Passing{}).Kinds {
			assert.Assert(t, k.OnTime*10 >= k.Asked*9, "%s, %s: %+v", d.Name, name, *k)
		}
	}
}

// Each call has one outcome, and the same seed gives the same ones.
func TestPlayCounts(t *testing.T) {
	d := Lean
	d.Length = 6 * time.Second
	one, two := play(t, d, Passing{}), play(t, d, Passing{})
	assert.DeepEqual(t, one, two)
	for name, k := range one.Kinds {
		assert.Equal(t, k.OnTime+k.Late+k.Refused+k.GivenUp, k.Asked, "%s", name)
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
	assert.Equal(t, totals.Read, 1300)
	assert.Equal(t, totals.ReadAgain, 0)
}
