package tree

import "gentianwell/core/call"

// Site is the site's branch.
type Site struct {
	Values
	// OperatorKeyHashes are SHA-256 sums, in hex, of operators' bearer keys.
	OperatorKeyHashes []string `json:"operatorKeyHashes,omitempty"`
}

// Team is a team's branch with its classes.
type Team struct {
	Values
	// KeyHashes are SHA-256 sums, in hex, of the bearer keys of the team's callers.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Classes are classes as this team has them.
	Classes map[call.Class]Values `json:"classes,omitempty"`
}

// Model is a model's branch.
type Model struct {
	// MinReplicas is the least number of replicas that stay loaded.
	MinReplicas int `json:"minReplicas,omitempty"`
	// Adapters and Versions are those to keep loaded; the first version is the
	// one that calls get that name none.
	Adapters []string `json:"adapters,omitempty"`
	Versions []string `json:"versions,omitempty"`
	// Urgent is true for a model whose last replica is never taken away.
	Urgent bool `json:"urgent,omitempty"`
}

// Service is a plain service's branch.
type Service struct {
	// PathPrefix is the path below which its calls come, for example "/ledger/".
	PathPrefix string `json:"pathPrefix,omitempty"`
	// IdempotentMethods are the HTTP methods that may be sent twice.
	IdempotentMethods []string `json:"idempotentMethods"`
	// RemovesDuplicates is true where the service itself drops a call whose
	// idempotency key it has seen.
	RemovesDuplicates bool `json:"removesDuplicates,omitempty"`
}

// Tree is the whole of the settings.
type Tree struct {
	Site     Site                   `json:"site"`
	Classes  map[call.Class]Values  `json:"classes,omitempty"`
	Teams    map[call.Team]Team     `json:"teams,omitempty"`
	Models   map[call.Model]Model   `json:"models,omitempty"`
	Services map[call.Model]Service `json:"services,omitempty"`
}
