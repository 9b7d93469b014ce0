package tree

import (
	"time"

	"gentianwell/core/call"
)

// Policy is what holds for one class of one team, with all values filled.
type Policy struct {
	Tier             call.Tier
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// Deadline is the time for a whole answer where the caller gives none.
	Deadline time.Duration
	// MaxWait is the longest time in a queue.
	MaxWait time.Duration
	// RequestsPerSecond and TokensPerSecond limit this class of this team; 0 is none.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// TeamRequestsPerSecond and TeamTokensPerSecond limit the team over all its
	// classes; 0 is none.
	TeamRequestsPerSecond float64
	TeamTokensPerSecond   float64
	// Weight is the team's fair share against other teams in one queue.
	Weight float64
	// RetryShare is the greatest ratio of retries to first attempts.
	RetryShare float64
	// ProgressTimeout is how long a backend server may be silent.
	ProgressTimeout time.Duration
	DefaultClass    call.Class
	// QueueCapacity is the greatest number of requests waiting on one entry VM.
	QueueCapacity int
	// StopLimit is the longest planned stop; 0 waits for every request.
	StopLimit time.Duration
	// ClaimRetention is how long a call's claim and outcome are kept.
	ClaimRetention time.Duration
	// AtMostOnce is true where a completion must not run twice.
	AtMostOnce bool
}

// policy gives the typed form of values that are all set.
func (v *Values) policy() Policy {
	return Policy{
		Tier:                  *v.Tier,
		FirstTokenTarget:      time.Duration(*v.FirstTokenTarget),
		TokenGapTarget:        time.Duration(*v.TokenGapTarget),
		Deadline:              time.Duration(*v.Deadline),
		MaxWait:               time.Duration(*v.MaxWait),
		RequestsPerSecond:     *v.RequestsPerSecond,
		TokensPerSecond:       *v.TokensPerSecond,
		TeamRequestsPerSecond: *v.TeamRequestsPerSecond,
		TeamTokensPerSecond:   *v.TeamTokensPerSecond,
		Weight:                *v.Weight,
		RetryShare:            *v.RetryShare,
		ProgressTimeout:       time.Duration(*v.ProgressTimeout),
		DefaultClass:          *v.DefaultClass,
		QueueCapacity:         *v.QueueCapacity,
		StopLimit:             time.Duration(*v.StopLimit),
		ClaimRetention:        time.Duration(*v.ClaimRetention),
		AtMostOnce:            *v.AtMostOnce,
	}
}
