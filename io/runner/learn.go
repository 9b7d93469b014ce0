package runner

import (
	"gentianwell/core/estim"
)

// learn passes on what a whole answer showed, and charges what it took beyond
// its estimate.
func (n *run) learn(a Answer) {
	if a.Failed || a.Reason != ReasonDone || n.tokens == 0 {
		return
	}
	c := &n.job.Call
	sample := estim.Sample{Class: c.Class, Model: c.Model, AnswerTokens: n.tokens, PerToken: n.watch.meanGap()}
	if !n.watch.first.IsZero() {
		sample.FirstToken = n.watch.first.Sub(n.watch.granted)
	}
	n.r.c.Learn(sample)
	n.r.learnWindow(n)
	if over := c.PromptTokens + n.tokens - n.cost; over > 0 {
		n.r.c.ChargeExcess(n.r.c.Now(), c, over)
	}
}
