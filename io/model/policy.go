package model

// Policy is the name of a way to order and route requests.
type Policy string

// PolicyTiers is the project's policy. The others are plain ones to compare with: they
// send each request on at once, to engines that serve requests in order of arrival.
const (
	PolicyTiers            Policy = "tiers"
	PolicyRoundRobin       Policy = "roundRobinFIFO"
	PolicyLeastOutstanding Policy = "leastOutstanding"
	PolicyTwoChoices       Policy = "twoRandomChoices"
)

// Policies is a list of policies.
type Policies []Policy

// AllPolicies returns the project's policy and the plain ones.
func AllPolicies() Policies {
	return Policies{PolicyTiers, PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices}
}

// vmPolicy holds the functions of a VM with some policy.
type vmPolicy struct {
	// offer takes a new request. abandoned is called when the caller of a waiting
	// request has given up.
	offer     func(r *request)
	abandoned func(r *request)
	// report takes an engine's load report; tick is called every tickInterval.
	report func(e *engine, l loadReport)
	tick   func()
}
