package table

import "gentianwell/core/call"

// Team is a customer and the keys by which its callers are known.
type Team struct {
	Name call.Team
	Keys []string
	// Priority goes before that of the route where it is not nil.
	Priority *int
}
