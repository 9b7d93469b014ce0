package runner

import (
	"time"

	"gentianwell/core/call"
)

// Measure holds the measurements of one job, for metrics.
type Measure struct {
	Call    call.Call
	Kind    Kind
	Outcome call.Outcome
	Reason  Reason
	Failed  bool
	// Waited is the time from arrival until the last attempt got its replica,
	// FirstToken the time from arrival to the first part of the answer, Total the time
	// to its end. Waited is zero if no replica was chosen, FirstToken if nothing was
	// answered.
	Waited     time.Duration
	FirstToken time.Duration
	Total      time.Duration
	// MeanGap and MaxGap are the mean and maximum time between two parts of a stream.
	MeanGap time.Duration
	MaxGap  time.Duration
	// Parts is the number of parts written to the caller.
	Parts int
	// WastedTokens is the number of tokens that were generated and then discarded,
	// including those of a failed answer.
	WastedTokens int
	// FirstTokenTarget and TokenGapTarget are the latency targets of the class; zero
	// means none.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
}

// MetFirstToken reports whether the time to the first token met its target.
func (m *Measure) MetFirstToken() bool {
	return m.FirstToken > 0 && (m.FirstTokenTarget == 0 || m.FirstToken <= m.FirstTokenTarget)
}

// MetTokenGap reports whether the mean time between tokens met its target.
func (m *Measure) MetTokenGap() bool {
	return m.TokenGapTarget == 0 || m.MeanGap <= m.TokenGapTarget
}

// Good reports whether the job counts towards goodput: its answer was complete and met
// its latency targets.
func (m *Measure) Good() bool {
	return m.Outcome == call.OutcomeRan && !m.Failed && m.MetFirstToken() && m.MetTokenGap()
}

// timings records when a job got its replica and when the parts of its answer were
// written.
type timings struct {
	granted, firstPart, lastPart time.Time
	maxGap                       time.Duration
	parts, wastedTokens          int
}

func (t *timings) part(now time.Time) {
	if t.parts == 0 {
		t.firstPart = now
	} else {
		t.maxGap = max(t.maxGap, now.Sub(t.lastPart))
	}
	t.lastPart = now
	t.parts++
}

func (t *timings) meanGap() time.Duration {
	if t.parts < 2 {
		return 0
	}
	return t.lastPart.Sub(t.firstPart) / time.Duration(t.parts-1)
}

func (n *run) measure(now time.Time, a Answer) Measure {
	c := n.job.Call
	m := Measure{
		Call: c, Kind: n.job.Kind, Outcome: a.Outcome, Reason: a.Reason, Failed: a.Failed || a.Status != 0,
		Total: now.Sub(c.Arrived), MeanGap: n.timings.meanGap(), MaxGap: n.timings.maxGap,
		Parts: n.timings.parts, WastedTokens: n.timings.wastedTokens,
		FirstTokenTarget: n.job.FirstTokenTarget, TokenGapTarget: n.job.TokenGapTarget,
	}
	if !n.timings.granted.IsZero() {
		m.Waited = n.timings.granted.Sub(c.Arrived)
	}
	if !n.timings.firstPart.IsZero() {
		m.FirstToken = n.timings.firstPart.Sub(c.Arrived)
	}
	return m
}
