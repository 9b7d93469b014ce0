package tree

import "gentianwell/core/call"

// Values are the inheritable values that one branch sets; nil means not set.
// valueFields defines in which kinds of branch each key is allowed.
type Values struct {
	Tier                  *call.Tier  `json:"tier,omitempty"`
	FirstTokenTarget      *Duration   `json:"firstTokenTarget,omitempty"`
	TokenGapTarget        *Duration   `json:"tokenGapTarget,omitempty"`
	Deadline              *Duration   `json:"deadline,omitempty"`
	MaxWait               *Duration   `json:"maxWait,omitempty"`
	RequestsPerSecond     *float64    `json:"requestsPerSecond,omitempty"`
	TokensPerSecond       *float64    `json:"tokensPerSecond,omitempty"`
	TeamRequestsPerSecond *float64    `json:"teamRequestsPerSecond,omitempty"`
	TeamTokensPerSecond   *float64    `json:"teamTokensPerSecond,omitempty"`
	Weight                *float64    `json:"weight,omitempty"`
	RetryShare            *float64    `json:"retryShare,omitempty"`
	ProgressTimeout       *Duration   `json:"progressTimeout,omitempty"`
	DefaultClass          *call.Class `json:"defaultClass,omitempty"`
	QueueCapacity         *int        `json:"queueCapacity,omitempty"`
	StopLimit             *Duration   `json:"stopLimit,omitempty"`
	ClaimRetention        *Duration   `json:"claimRetention,omitempty"`
	AtMostOnce            *bool       `json:"atMostOnce,omitempty"`
}

// inherit sets the values that are nil to those of the parent.
func (v *Values) inherit(parent *Values) {
	inheritOne(&v.Tier, parent.Tier)
	inheritOne(&v.FirstTokenTarget, parent.FirstTokenTarget)
	inheritOne(&v.TokenGapTarget, parent.TokenGapTarget)
	inheritOne(&v.Deadline, parent.Deadline)
	inheritOne(&v.MaxWait, parent.MaxWait)
	inheritOne(&v.RequestsPerSecond, parent.RequestsPerSecond)
	inheritOne(&v.TokensPerSecond, parent.TokensPerSecond)
	inheritOne(&v.TeamRequestsPerSecond, parent.TeamRequestsPerSecond)
	inheritOne(&v.TeamTokensPerSecond, parent.TeamTokensPerSecond)
	inheritOne(&v.Weight, parent.Weight)
	inheritOne(&v.RetryShare, parent.RetryShare)
	inheritOne(&v.ProgressTimeout, parent.ProgressTimeout)
	inheritOne(&v.DefaultClass, parent.DefaultClass)
	inheritOne(&v.QueueCapacity, parent.QueueCapacity)
	inheritOne(&v.StopLimit, parent.StopLimit)
	inheritOne(&v.ClaimRetention, parent.ClaimRetention)
	inheritOne(&v.AtMostOnce, parent.AtMostOnce)
}

func inheritOne[T any](own **T, parent *T) {
	if *own == nil {
		*own = parent
	}
}
