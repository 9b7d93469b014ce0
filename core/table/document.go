package table

import "time"

// Document is one complete version of the configuration.
type Document struct {
	Version int64
	Routes  []Route
	// Teams is empty if requests need no key.
	Teams []Team
	// MaxBodyBytes limits the body of a request; zero means no limit.
	MaxBodyBytes int64
	// MaxHeaderBytes is how large the header of a request may be, HeaderTimeout how long
	// it may take and IdleTimeout how long a caller's connection may be idle. Zero leaves
	// the limit to the router.
	MaxHeaderBytes             int64
	HeaderTimeout, IdleTimeout time.Duration
}
