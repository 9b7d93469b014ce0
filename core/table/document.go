package table

import "time"

// Document is one complete version of the configuration.
type Document struct {
	Version int64
	Routes  []Route
	// Teams is empty if requests need no key.
	Teams []Team
	// Services holds what is configured for services beside their routes.
	Services []Service
	// MaxBodyBytes limits the body of a request; zero means no limit.
	MaxBodyBytes int64
	// MaxHeaderBytes is how large the header of a request may be, HeaderTimeout how long
	// it may take and IdleTimeout how long a caller's connection may be idle. Zero leaves
	// the limit to the router.
	MaxHeaderBytes             int64
	HeaderTimeout, IdleTimeout time.Duration
}

// CloseInvalid closes the routes that are not valid, so that they do not keep the others from being
// in force, and returns what is wrong with them. Those without a usable host and prefix are removed.
func (d *Document) CloseInvalid() []error {
	var invalid []error
	routes := make([]Route, 0, len(d.Routes))
	for _, r := range d.Routes {
		if err := r.Validate(); err != nil {
			invalid = append(invalid, err)
			r.Closed = true
		}
		if r.Validate() == nil {
			routes = append(routes, r)
		}
	}
	d.Routes = routes
	return invalid
}
