package limit

import (
	"time"

	"gentianwell/core/call"
)

// Key identifies one limit.
type Key string

// TeamRequests is the key of a team's limit on requests.
func TeamRequests(t call.Team) Key { return Key("team/" + string(t) + "/requests") }

// TeamTokens is the key of a team's limit on tokens.
func TeamTokens(t call.Team) Key { return Key("team/" + string(t) + "/tokens") }

// ClassRequests is the key of a class's limit on requests.
func ClassRequests(c call.Class) Key { return Key("class/" + string(c) + "/requests") }

// ClassTokens is the key of a class's limit on tokens.
func ClassTokens(c call.Class) Key { return Key("class/" + string(c) + "/tokens") }

// Member is a recipient of shares: a VM for a zone's allocator, a zone for the
// site's allocator.
type Member string

// Demand is the rate that a member wants of one limit.
type Demand struct {
	Key Key
	// Wanted is in units a second.
	Wanted float64
}

// Demands is a list of demands.
type Demands []Demand

// Share is the rate that a member may use of one limit.
type Share struct {
	Key Key
	// Rate is in units a second.
	Rate float64
	// TTL is how long the share is valid, from when the member sent its demand.
	TTL time.Duration
}

// Shares is a list of shares.
type Shares []Share

// Charge is the units that one call uses of one limit.
type Charge struct {
	Key   Key
	Units int
}

// Reason is why a call is allowed or refused.
type Reason string

// The reasons of Local.Allow.
const (
	ReasonWithin Reason = "withinLimit"
	ReasonOver   Reason = "overLimit"
)

// Decision is the result of Local.Allow.
type Decision struct {
	Allowed bool
	Reason  Reason
	// Key is the limit that refused the call.
	Key Key
	// RetryAfter is how long the caller of a refused call should wait before it
	// retries.
	RetryAfter time.Duration
}
