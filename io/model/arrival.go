package model

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gentianwell/core/call"
)

const (
	// crowdTeam is the team that crowds in some workloads.
	crowdTeam call.Team = "crowd"
	// answerSpread is the standard deviation of the logarithm of answer lengths.
	answerSpread = 0.8
	maxAnswer    = 2000
)

// newRequest draws a request of the workload.
func (b *bench) newRequest() *request {
	w := b.config.Workload
	class, team := b.drawClass(), call.Team(fmt.Sprint("team", b.rng.IntN(b.config.Site.Teams)))
	if b.rng.Float64() < w.CrowdFraction {
		class, team = &b.classes[w.CrowdClass], crowdTeam
	}
	b.next++
	now := b.clock.now
	r := &request{class: class, arrived: now, state: stateWaiting, answer: answerTokens(b.rng, class.AnswerTokens)}
	r.call = call.Call{
		ID: fmt.Sprint("q", b.next), Team: team, Class: class.Name, Tier: class.Tier, Model: modelName,
		Idempotent: true, PromptTokens: class.PromptTokens, Arrived: now, Deadline: now.Add(class.Patience),
	}
	if w.Prefixes > 0 {
		r.call.Prefixes = []uint64{1 + uint64(b.rng.IntN(w.Prefixes))}
		r.call.PromptTokens += prefixTokens
	}
	return r
}

func (b *bench) drawClass() *Class {
	x := b.rng.Float64()
	for i := range b.classes {
		if x -= b.classes[i].Weight; x < 0 {
			return &b.classes[i]
		}
	}
	return &b.classes[0]
}

// answerTokens draws a length with a long tail and the given mean.
func answerTokens(rng *rand.Rand, mean int) int {
	shift := math.Log(float64(mean)) - answerSpread*answerSpread/2
	n := int(math.Exp(shift + answerSpread*rng.NormFloat64()))
	return min(max(n, 1), maxAnswer)
}
