package model

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
)

func newTestEngine(byTier bool) (*engine, *clock) {
	c := &clock{now: origin}
	return &engine{clock: c, slowFactor: 1, byTier: byTier, preempts: byTier, figures: &Figures{}}, c
}

func testRequest(tier call.Tier, answer int, ended *int) *request {
	r := &request{answerTokens: answer, class: &classes()[0], state: stateWaiting, onEnd: func(_ *request, ok bool) {
		if ok {
			*ended++
		}
	}}
	r.call.Tier = tier
	return r
}

func TestEngineBatches(t *testing.T) {
	e, c := newTestEngine(false)
	ended := 0
	for range 10 {
		assert.Assert(t, e.send(testRequest(0, 5, &ended)))
	}
	c.run()
	assert.Equal(t, ended, 10)
	assert.Equal(t, e.figures.Tokens, 50)
	// The first request runs alone in the first step, the others join it in the second.
	one, ten := stepBase+stepPerRequest, stepBase+10*stepPerRequest
	nine := stepBase + 9*stepPerRequest
	assert.Equal(t, c.now.Sub(origin), one+4*ten+nine)
}

func TestEnginePausesLowerTier(t *testing.T) {
	e, c := newTestEngine(true)
	ended, urgent := 0, 0
	for range slots {
		e.send(testRequest(7, 100, &ended))
	}
	c.after(time.Second, func() { e.send(testRequest(0, 1, &urgent)) })
	c.after(1200*time.Millisecond, func() { assert.Equal(t, urgent, 1) })
	c.run()
	assert.Equal(t, ended, slots)
	assert.Equal(t, e.figures.Wasted, 0)
	assert.Equal(t, e.figures.Tokens, slots*100+1)
}

func TestEngineCrashWastes(t *testing.T) {
	e, c := newTestEngine(false)
	ended := 0
	e.send(testRequest(0, 100, &ended))
	c.after(100*time.Millisecond, func() { e.crash(time.Second) })
	c.run()
	assert.Equal(t, ended, 0)
	assert.Assert(t, e.figures.Wasted > 0 && e.figures.Wasted == e.figures.Tokens)
}

// TestRunIsReproducible checks that the same config gives the same figures and that
// every request is counted once.
func TestRunIsReproducible(t *testing.T) {
	w, err := WorkloadByName("burst")
	assert.NilError(t, err)
	w.Length = 12 * time.Second
	for _, p := range AllPolicies() {
		c := RunConfig{Workload: w, Site: Association, Policy: p, Seed: gwtest.Seed(), ExtraFraction: DefaultExtraFraction, Preempts: true}
		a, err := Run(c)
		assert.NilError(t, err)
		b, err := Run(c)
		assert.NilError(t, err)
		assert.Equal(t, a.Goodput(), b.Goodput())
		assert.Equal(t, a.Tokens, b.Tokens)
		for _, class := range a.Classes {
			assert.Assert(t, class.Offered > 0)
			assert.Equal(t, class.Offered, class.Done+class.Refused+class.Abandoned+class.Failed)
		}
	}
}

// TestTiersAtOverload checks in a shorter run that PolicyTiers reaches what the
// experiment has measured, and a higher goodput than the other policies.
func TestTiersAtOverload(t *testing.T) {
	w, err := WorkloadByName("overload")
	assert.NilError(t, err)
	w.Length = 20 * time.Second
	for _, site := range (Sites{Lindqvist, Association}) {
		c := RunConfig{Workload: w, Site: site, Seed: gwtest.Seed(), ExtraFraction: DefaultExtraFraction, Preempts: true, ReservedFraction: 0.1}
		c.Policy = PolicyTiers
		tiers, err := Run(c)
		assert.NilError(t, err)
		assert.Assert(t, tiers.Classes[0].Attainment() >= 0.98, "%s: tier 0 %g", site.Name, tiers.Classes[0].Attainment())
		assert.Assert(t, tiers.WastedShare() < 0.005)
		for _, p := range (Policies{PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices}) {
			c.Policy = p
			plain, err := Run(c)
			assert.NilError(t, err)
			assert.Assert(t, tiers.Goodput() > plain.Goodput(), "%s, %s: %d, %d", site.Name, p, tiers.Goodput(), plain.Goodput())
		}
	}
}

func TestUnknownNames(t *testing.T) {
	_, err := WorkloadByName("none")
	assert.ErrorContains(t, err, `workload "none"`)
	_, err = Run(RunConfig{Policy: "none", Site: Association, Workload: AllWorkloads()[0]})
	assert.ErrorContains(t, err, `policy "none"`)
}
