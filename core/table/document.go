package table

// Document is one complete version of the configuration.
type Document struct {
	Version int64
	Routes  []Route
	// Teams is empty if requests need no key.
	Teams []Team
	// MaxBodyBytes limits the body of a request; zero means no limit.
	MaxBodyBytes int64
}
