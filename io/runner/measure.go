package runner

import (
	"time"

	"gentianwell/core/call"
)

// Measure is what a job's run showed, for metrics.
type Measure struct {
	Call    call.Call
	Kind    Kind
	Outcome call.Outcome
	Reason  Reason
	Failed  bool
	// Waited is the time in the queue, FirstToken from arrival to the answer's
	// first part, Total to its end. FirstToken is zero where nothing was answered.
	Waited     time.Duration
	FirstToken time.Duration
	Total      time.Duration
	// MeanGap and MaxGap are the times between the parts of a stream.
	MeanGap time.Duration
	MaxGap  time.Duration
	Parts   int
	// WastedTokens were generated and then discarded or generated again.
	WastedTokens int
	// FirstTokenTarget and TokenGapTarget are the class's targets; zero is none.
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
}

// MetFirstToken reports whether the first token came within its target.
func (m *Measure) MetFirstToken() bool {
	return m.FirstToken > 0 && (m.FirstTokenTarget == 0 || m.FirstToken <= m.FirstTokenTarget)
}

// MetTokenGap reports whether the tokens came within their target on average.
func (m *Measure) MetTokenGap() bool {
	return m.TokenGapTarget == 0 || m.MeanGap <= m.TokenGapTarget
}

// Good reports whether the job counts for goodput: whole and within its targets.
func (m *Measure) Good() bool {
	return m.Outcome == call.OutcomeRan && !m.Failed && m.MetFirstToken() && m.MetTokenGap()
}

// stopwatch takes the times of a job's parts.
type stopwatch struct {
	granted, first, last time.Time
	maxGap               time.Duration
	parts, wasted        int
}

func (s *stopwatch) part(now time.Time) {
	if s.parts == 0 {
		s.first = now
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.last))
	}
	s.last = now
	s.parts++
}

func (s *stopwatch) meanGap() time.Duration {
	if s.parts < 2 {
		return 0
	}
	return s.last.Sub(s.first) / time.Duration(s.parts-1)
}

func (n *run) measure(now time.Time, a Answer) Measure {
	c := n.job.Call
	m := Measure{
		Call: c, Kind: n.job.Kind, Outcome: a.Outcome, Reason: a.Reason, Failed: a.Failed || a.Status != 0,
		Total: now.Sub(c.Arrived), MeanGap: n.watch.meanGap(), MaxGap: n.watch.maxGap,
		Parts: n.watch.parts, WastedTokens: n.watch.wasted,
		FirstTokenTarget: n.job.FirstTokenTarget, TokenGapTarget: n.job.TokenGapTarget,
	}
	if !n.watch.granted.IsZero() {
		m.Waited = n.watch.granted.Sub(c.Arrived)
	}
	if !n.watch.first.IsZero() {
		m.FirstToken = n.watch.first.Sub(c.Arrived)
	}
	return m
}
