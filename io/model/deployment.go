package model

import (
	"time"

	"gentianwell/core/call"
)

// EngineSpec holds the figures of an engine of a deployment, from its data sheet. The
// engine runs a batch in steps, each of which generates one token of every answer and
// reads a chunk of prompts.
type EngineSpec struct {
	// Slots is the largest batch, MaxWaiting the number of calls that may wait for a
	// slot.
	Slots, MaxWaiting int
	// StepTime is the base time of a step. ContextTime is added for each 1,000 tokens
	// of context of the answers, PairsTime for each million pairs of a prompt token
	// that is read and a token before it.
	StepTime, ContextTime, PairsTime time.Duration
	// PrefillRate is the number of prompt tokens read per millisecond, PrefillChunk the
	// most that are read in one step.
	PrefillRate  float64
	PrefillChunk int
	// FirstEventDelay is added before the first event and before the end of the
	// answer. TokensPerEvent is the number of tokens in an event.
	FirstEventDelay time.Duration
	TokensPerEvent  int
	// MemoryTokens is the memory for running calls and cached shared parts, in tokens.
	MemoryTokens int
	// TimeFactors multiply the time of a step; they are assigned to the engines in
	// turn. If there are none, all engines are equally fast.
	TimeFactors []float64
	// Noise slows engines down for short times.
	Noise Noise
	// ReportsWork is true if reports state how long work takes at the moment.
	ReportsWork bool
	// ReportLag is the age of the load in a report when it is sent.
	ReportLag time.Duration
}

// Noise multiplies the time of the steps of an engine by Factor for a time of the mean length
// MeanLength, for Fraction of the time. Lengths are exponential, engines are independent.
type Noise struct {
	Factor, Fraction float64
	MeanLength       time.Duration
}

// Wave moves the calls between the zones: the share of a zone swings by Swing of the mean, with a
// phase of its own.
type Wave struct {
	Swing  float64
	Period time.Duration
}

// LogNormal is a log-normal distribution of a length. Greater values than Max are
// replaced by Max.
type LogNormal struct{ Mean, CoefficientOfVariation, Max float64 }

// SharedPart is a part of prompts that calls share. Each call has a random one of
// Count such parts.
type SharedPart struct {
	Tokens LogNormal
	Count  int
}

// Kind is one kind of call of a deployment.
type Kind struct {
	Name call.Class
	Tier call.Tier
	// Rate is in calls per second, outside bursts.
	Rate float64
	// FirstEventTarget is the longest time to the first event, MaxPause the longest
	// time between events, of an answer that is on time. The caller gives up at the
	// Deadline.
	FirstEventTarget, MaxPause, Deadline time.Duration
	// Worth is the worth of a call of mean length if it is answered on time, LateWorth
	// if it is answered late.
	Worth, LateWorth float64
	// OwnTokens is the length of the prompt without the shared parts, Events that of
	// the answer in events.
	OwnTokens, Events LogNormal
	Parts             []SharedPart
}

// Burst multiplies the rate of a kind, or of all kinds if Kind is empty, from At on for
// the time For.
type Burst struct {
	Kind   call.Class
	At     time.Duration
	For    time.Duration
	Factor float64
}

// Deployment is a fleet of entry VMs and engines with its load.
type Deployment struct {
	Name         string
	VMs, Engines int
	Zones        int
	Engine       EngineSpec
	Kinds        []Kind
	Bursts       []Burst
	Wave         Wave
	// Length is how long new calls arrive.
	Length time.Duration
}
