package tree

import (
	"time"

	"gentianwell/core/call"
)

// Policy is the set of values in effect for one class of one team.
type Policy struct {
	Tier             call.Tier
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	// Deadline is the time limit for a whole answer if the caller sets none.
	Deadline time.Duration
	// MaxWait is the maximum time in a queue.
	MaxWait time.Duration
	// RequestsPerSecond and TokensPerSecond limit this class of this team; 0
	// means no limit.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// TeamRequestsPerSecond and TeamTokensPerSecond limit the team over all its
	// classes; 0 means no limit.
	TeamRequestsPerSecond float64
	TeamTokensPerSecond   float64
	// Weight is the team's weight in the fair sharing of a queue between teams.
	Weight float64
	// RetryShare is the maximum ratio of retries to first attempts.
	RetryShare float64
	// ProgressTimeout is how long a backend server may send nothing.
	ProgressTimeout time.Duration
	// DefaultClass is the class of a request that names none; if it is empty, the
	// caller has to name one.
	DefaultClass call.Class
	// QueueCapacity is the maximum number of requests waiting on one entry VM.
	QueueCapacity int
	// StopLimit is the maximum duration of a planned stop; 0 means that the stop
	// waits for every request.
	StopLimit time.Duration
	// ClaimRetention is how long the claim and outcome of a call are kept.
	ClaimRetention time.Duration
	// AtMostOnce is true if a completion must not run twice.
	AtMostOnce bool
}

// policy converts values to a Policy. All of them must be set.
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
