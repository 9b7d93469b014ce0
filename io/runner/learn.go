package runner

import (
	"gentianwell/core/estim"
)

// learn passes the measurements of a complete answer to Learn and to the model's window,
// and charges the tokens by which it exceeded the estimated cost.
func (n *run) learn(a Answer) {
	if a.Failed || a.Reason != ReasonDone || n.tokens == 0 {
		return
	}
	c := &n.job.Call
	sample := estim.Sample{Class: c.Class, Model: c.Model, AnswerTokens: n.tokens, PerToken: n.timings.meanGap()}
	if !n.timings.firstPart.IsZero() {
		sample.FirstToken = n.timings.firstPart.Sub(n.timings.granted)
	}
	n.r.c.Learn(sample)
	n.r.learnWindow(n)
	if over := c.PromptTokens + n.tokens - n.cost; over > 0 {
		n.r.c.ChargeExcess(n.r.c.Now(), c, over)
	}
}
