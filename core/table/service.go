package table

import "gentianwell/core/call"

// Service is a set of replicas that run the same program.
type Service struct {
	Name call.Model
	// MaxConnections bounds the connections to one replica, those of all VMs
	// together; zero is no bound.
	MaxConnections int
	// Engine is set for a service that runs a model.
	Engine *Engine
}

// Engine is what is known of the replicas that run a model.
type Engine struct {
	// Slots is the size of a replica's batch.
	Slots int
	// CacheTokens is the memory of a replica, for running requests and cached
	// parts of prompts.
	CacheTokens int
	// EventTokens is how many tokens one event of a stream holds.
	EventTokens int
}
