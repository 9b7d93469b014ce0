package model

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gentianwell/core/call"
)

const (
	// crowdTeam sends the CrowdFraction of the requests.
	crowdTeam call.Team = "crowd"
	// answerSigma is the standard deviation of the logarithm of answer lengths.
	answerSigma     = 0.8
	maxAnswerTokens = 2000
)

// newRequest draws a request of the workload, which arrives now.
func (run *policyRun) newRequest() *request {
	w := run.config.Workload
	class, team := run.drawClass(), call.Team(fmt.Sprint("team", run.rng.IntN(run.config.Site.Teams)))
	if run.rng.Float64() < w.CrowdFraction {
		class, team = &run.classes[w.CrowdClass], crowdTeam
	}
	run.lastID++
	now := run.clock.now
	r := &request{class: class, arrived: now, state: stateWaiting, answerTokens: drawAnswerTokens(run.rng, class.AnswerTokens)}
	r.call = call.Call{
		ID: fmt.Sprint("q", run.lastID), Team: team, Class: class.Name, Tier: class.Tier, Model: modelName,
		Idempotent: true, PromptTokens: class.PromptTokens, Arrived: now, Deadline: now.Add(class.Patience),
	}
	if w.Prefixes > 0 {
		r.call.Prefixes = []uint64{1 + uint64(run.rng.IntN(w.Prefixes))}
		r.call.PromptTokens += prefixTokens
	}
	return r
}

func (run *policyRun) drawClass() *Class {
	x := run.rng.Float64()
	for i := range run.classes {
		if x -= run.classes[i].Weight; x < 0 {
			return &run.classes[i]
		}
	}
	return &run.classes[0]
}

// drawAnswerTokens draws a length from a log-normal distribution with the given mean,
// limited to between 1 and maxAnswerTokens.
func drawAnswerTokens(rng *rand.Rand, mean int) int {
	shift := math.Log(float64(mean)) - answerSigma*answerSigma/2
	n := int(math.Exp(shift + answerSigma*rng.NormFloat64()))
	return min(max(n, 1), maxAnswerTokens)
}
