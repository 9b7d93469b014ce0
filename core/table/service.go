package table

import (
	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Service holds what the configuration says of one service beside its routes.
type Service struct {
	Name call.Model
	// Engine describes the replicas of the service.
	Engine Engine
	// Autoscale is nil if the number of replicas is not the router's to order.
	Autoscale *Autoscale
	// Unreadable is why Autoscale could not be read; nil if it could or is absent.
	Unreadable error
}

// Engine describes one replica of a service. Fields that the configuration does not state are zero.
type Engine struct {
	// Slots is the number of requests that a replica runs concurrently.
	Slots int
	// MemoryTokens is the number of tokens that a replica's memory holds.
	MemoryTokens int64
	// Stride is the number of tokens in a block of a prompt.
	Stride int
}

// Service returns what the configuration says of a service.
func (t *Table) Service(name call.Model) (Service, bool) {
	if t != nil {
		for _, s := range t.document.Services {
			if s.Name == name {
				return s, true
			}
		}
	}
	return Service{Name: name}, false
}

// Autoscaled returns the services whose number of replicas the router orders; none for a nil
// table.
func (t *Table) Autoscaled() []Service {
	if t == nil {
		return nil
	}
	var out []Service
	for _, s := range t.document.Services {
		if s.Autoscale != nil {
			out = append(out, s)
		}
	}
	return out
}

// Routes returns the routes that may send requests to a service.
func (t *Table) Routes(service call.Model) []Route {
	if t == nil {
		return nil
	}
	var out []Route
	for i := range t.document.Routes {
		if r := &t.document.Routes[i]; !r.Closed && r.Runs(service) {
			out = append(out, *r)
		}
	}
	return out
}

// CloseAutoscale removes the Autoscale of services where it is not valid, so that nothing is ordered
// for these, and returns what is wrong with them.
func (d *Document) CloseAutoscale() []error {
	var invalid []error
	for i := range d.Services {
		s := &d.Services[i]
		err := s.Unreadable
		if err == nil && s.Autoscale != nil {
			err = s.Autoscale.Validate()
		}
		if err != nil {
			invalid = append(invalid, errors.Annotatef(err, "service %q", s.Name))
			s.Autoscale = nil
		}
	}
	return invalid
}
