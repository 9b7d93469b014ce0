// Package call holds the vocabulary that every part shares: what a caller asks
// for, which team and class it belongs to, and what the caller is told about it.
//
// # Usage
//
//	c := call.Call{ID: "r-1", Team: "judges", Class: "plot", Tier: 0, Model: "drafts"}
//	if err := c.Validate(); err != nil {
//		return call.OutcomeNotRun, err
//	}
//
// The package has no I/O and no state.
package call

import (
	"time"

	"github.com/juju/errors"
)

// Team names a caller's team, for example "judges".
type Team string

// Class names a request class, for example "plot".
type Class string

// Model names a model, adapter included, or a plain service.
type Model string

// ReplicaID names one backend server's replica.
type ReplicaID string

// VMID names one VM.
type VMID string

// Zone names an availability zone.
type Zone string

// Tier is a service tier; 0 is the most urgent and MaxTier the least.
type Tier int

// MaxTier is the least urgent tier: there are eight.
const MaxTier Tier = 7

// Valid reports whether the tier lies within 0 to MaxTier.
func (t Tier) Valid() bool { return t >= 0 && t <= MaxTier }

// Call is one request of one caller.
type Call struct {
	// ID is unique for each request and is returned to the caller.
	ID    string
	Team  Team
	Class Class
	Tier  Tier
	Model Model
	// Zone is the availability zone of the entry VM that took the request.
	Zone Zone
	// Key is the caller's idempotency key, empty if there is none.
	Key string
	// Idempotent is true where running the request twice does no harm.
	Idempotent bool
	// Fingerprint identifies the body, so that a resent body is recognised on any VM.
	Fingerprint uint64
	// Prefixes are hashes of the prompt's leading blocks, shortest prefix first.
	Prefixes []uint64
	// SharedTokens is the length of the longest of them in tokens; zero where
	// unknown.
	SharedTokens int
	// PromptTokens and MaxTokens are estimates of the prompt's length and the
	// caller's bound on the answer's; zero where unknown.
	PromptTokens int
	MaxTokens    int
	// Arrived is when the entry VM took the request, Deadline when its answer
	// is worth nothing any more (zero: none).
	Arrived  time.Time
	Deadline time.Time
}

// Validate checks that the call can be queued and routed.
//
// Errors: NotValid with the field's name.
func (c *Call) Validate() error {
	switch {
	case c.ID == "":
		return errors.NotValidf("Call.Validate: empty ID")
	case c.Team == "":
		return errors.NotValidf("Call.Validate: empty Team")
	case c.Model == "":
		return errors.NotValidf("Call.Validate: empty Model")
	case !c.Tier.Valid():
		return errors.NotValidf("Call.Validate: Tier %d, allowed 0 to %d", c.Tier, MaxTier)
	}
	return nil
}
