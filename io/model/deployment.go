package model

import (
	"time"

	"gentianwell/core/call"
)

// EngineSpec is how an engine of a deployment works, as its data sheet gives it: a batch
// of slots moves on in steps, each of which makes a token of every answer and reads
// a chunk of prompts.
type EngineSpec struct {
	// Slots is the greatest batch, MaxWaiting how many calls may wait for a place in it.
	Slots, MaxWaiting int
	// StepTime is the time of a step without any work, ContextTime what 1,000 tokens of
	// context add, PairsTime what a million pairs of a token read with one before it do.
	StepTime, ContextTime, PairsTime time.Duration
	// PrefillRate is how many prompt tokens are read in a millisecond, Chunk how many
	// in one step.
	PrefillRate float64
	PrefillChunk    int
	// FirstEventDelay is added before the first event, Stride is the tokens of an event.
	FirstEventDelay time.Duration
	TokensPerEvent     int
	// MemoryTokens is in tokens: of running calls and of shared parts that are kept.
	MemoryTokens int
	// TimeFactors multiply the times, by turns over the engines; none: all alike.
	TimeFactors []float64
	// ReportLag is the age of a load report when it is sent.
	ReportLag time.Duration
}

// LogNormal is the distribution of a length.
type LogNormal struct{ Mean, CoefficientOfVariation, Max float64 }

// SharedPart is a part of prompts that calls share, one of Count.
type SharedPart struct {
	Tokens LogNormal
	Count  int
}

// Kind is one kind of call of a deployment.
type Kind struct {
	Name call.Class
	Tier call.Tier
	// Rate is in calls a second.
	Rate float64
	// FirstEventTarget is the time to the first event, MaxPause the longest between events, for
	// an answer that is on time.
	FirstEventTarget, MaxPause, Deadline time.Duration
	// Worth is what a call of mean size is worth on time, LateWorth late.
	Worth, LateWorth float64
	// OwnTokens is the prompt beyond the shared parts in tokens, Events the length of
	// the answer.
	OwnTokens, Events LogNormal
	Parts       []SharedPart
}

// Burst multiplies the rate of a kind, or of all where Kind is empty.
type Burst struct {
	Kind   call.Class
	At     time.Duration
	For    time.Duration
	Factor float64
}

// Deployment is a fleet of entry VMs before engines, with its load.
type Deployment struct {
	Name         string
	VMs, Engines int
	Zones        int
	Engine         EngineSpec
	Kinds        []Kind
	Bursts       []Burst
	// Length is how long callers send.
	Length time.Duration
}
