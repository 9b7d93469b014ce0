package table

import "gentianwell/core/call"

// Team is a customer with the API keys of its callers.
type Team struct {
	Name call.Team
	Keys []string
	// Priority, if not nil, takes precedence over the priority of the route.
	Priority *int
}
