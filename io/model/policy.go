package model

// Policy names a way to order and to route requests.
type Policy string

// The policies: the project's own, and three plain ones that send each request
// on at once, to engines that serve first come, first served.
const (
	PolicyTiers      Policy = "tiers"
	PolicyRoundRobin Policy = "roundRobinFIFO"
	PolicyLeastOutstanding      Policy = "leastOutstanding"
	PolicyTwoChoices Policy = "twoRandomChoices"
)

// Policies is a list of policies.
type Policies []Policy

// AllPolicies returns the project's policy and the plain ones.
func AllPolicies() Policies {
	return Policies{PolicyTiers, PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices}
}

// entry is a VM's decisions.
type entry struct {
	// offer takes a request, left one whose caller has gone while it waited.
	offer func(r *request)
	left  func(r *request)
	// report takes an engine's load report, tick runs at intervals.
	report func(e *engine, l loadReport)
	tick   func()
}
