package table

import "time"

// Limits bound what a caller may send. Zero is no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the reading of a request's header, IdleTimeout how long
	// a connection may stay without a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the configuration in full.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Teams is empty where requests need no key.
	Teams  []Team
	Limits Limits
}
