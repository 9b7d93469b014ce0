// Package call defines the types that all packages share: a caller's request, its
// team and class, and the outcome that is reported to the caller.
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

// Model names a model, including its adapter, or a plain service.
type Model string

// ReplicaID names one backend server's replica.
type ReplicaID string

// Version names the version of a backend server's software, for example "v1.2". Versions have
// no order.
type Version string

// VMID names one VM.
type VMID string

// Zone names an availability zone.
type Zone string

// Tier is a service tier, from 0 (most urgent) to MaxTier (least urgent).
type Tier int

// MaxTier is the least urgent of the eight tiers.
const MaxTier Tier = 7

// Valid reports whether the tier is between 0 and MaxTier.
func (t Tier) Valid() bool { return t >= 0 && t <= MaxTier }

// Call is one request of one caller.
type Call struct {
	// ID is unique to each request and is returned to the caller.
	ID    string
	Team  Team
	Class Class
	Tier  Tier
	Model Model
	// Zone is the availability zone of the entry VM that received the request.
	Zone Zone
	// Key is the caller's idempotency key, empty if there is none.
	Key string
	// Idempotent is true if the request can safely be run twice.
	Idempotent bool
	// Fingerprint is a hash by which any VM recognizes a resent body.
	Fingerprint uint64
	// Prefixes are hashes of the prompt's leading blocks, shortest prefix first.
	Prefixes []uint64
	// SharedTokens is the length of the longest of Prefixes in tokens; zero if
	// unknown.
	SharedTokens int
	// Version is the only version of a backend server that may run the call; empty if any may.
	Version Version
	// PromptTokens is an estimate of the prompt's length, MaxTokens the caller's
	// limit on the length of the response; zero if unknown.
	PromptTokens int
	MaxTokens    int
	// Arrived is when the entry VM received the request. Deadline is when its
	// response is no longer of use; zero for none.
	Arrived  time.Time
	Deadline time.Time
	// LatencyTarget is the longest time from Arrived to the first token, GapTarget that between
	// tokens, of an answer in time; zero if unknown.
	LatencyTarget time.Duration
	GapTarget     time.Duration
}

// Validate checks that the call can be queued and routed.
//
// Errors: NotValid, with the name of the field.
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
