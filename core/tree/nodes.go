package tree

import "gentianwell/core/call"

// Site is the site branch.
type Site struct {
	Values
	// OperatorKeyHashes are SHA-256 sums, in hex, of operators' bearer keys.
	OperatorKeyHashes []string `json:"operatorKeyHashes,omitempty"`
}

// Team is a team branch with the team's classes.
type Team struct {
	Values
	// KeyHashes are SHA-256 sums, in hex, of the bearer keys of the team's callers.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Classes are this team's overrides for classes.
	Classes map[call.Class]Values `json:"classes,omitempty"`
}

// Model is a model branch.
type Model struct {
	// MinReplicas is the minimum number of replicas that stay loaded.
	MinReplicas int `json:"minReplicas,omitempty"`
	// Adapters and Versions are kept loaded. Calls that name no version get the
	// first one.
	Adapters []string `json:"adapters,omitempty"`
	Versions []string `json:"versions,omitempty"`
	// Urgent is true for a model whose last replica is never removed.
	Urgent bool `json:"urgent,omitempty"`
}

// Service is the branch of a plain HTTP service.
type Service struct {
	// PathPrefix is the prefix of the paths of its calls, for example "/ledger/".
	PathPrefix string `json:"pathPrefix,omitempty"`
	// IdempotentMethods are the HTTP methods that may be sent twice.
	IdempotentMethods []string `json:"idempotentMethods"`
	// RemovesDuplicates is true if the service itself drops a call whose
	// idempotency key it has seen before.
	RemovesDuplicates bool `json:"removesDuplicates,omitempty"`
}

// Tree is the complete settings.
type Tree struct {
	Site     Site                   `json:"site"`
	Classes  map[call.Class]Values  `json:"classes,omitempty"`
	Teams    map[call.Team]Team     `json:"teams,omitempty"`
	Models   map[call.Model]Model   `json:"models,omitempty"`
	Services map[call.Model]Service `json:"services,omitempty"`
}
