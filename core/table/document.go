package table

// Document is one version of the configuration in full.
type Document struct {
	Version int64
	Routes  []Route
	// Teams is empty where requests need no key.
	Teams []Team
	// MaxBodyBytes bounds the body of a request; zero is no bound.
	MaxBodyBytes int64
}
