package proxy

import (
	"sync"

	"gentianwell/core/call"
	"gentianwell/core/event"
)

// sequences knows of each service whether the ids of its streams' events have gaps. Where they have
// none, a run that skips an event is broken.
type sequences struct {
	mu       sync.Mutex
	services map[call.Model]*sequenceCount
}

// sequenceCount counts the streams of a service by their first two events.
type sequenceCount struct{ dense, sparse int }

// observe counts a stream.
func (s *sequences) observe(service call.Model, dense bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = map[call.Model]*sequenceCount{}
	}
	c := s.services[service]
	if c == nil {
		c = &sequenceCount{}
		s.services[service] = c
	}
	if dense {
		c.dense++
	} else {
		c.sparse++
	}
}

// areDense reports whether the ids of a service's streams have no gaps, as most of them show.
func (s *sequences) areDense(service call.Model) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.services[service]
	return c == nil || c.dense >= c.sparse
}

// order returns what the ids of the next events have to be. Whether they have gaps follows from
// the events that were forwarded, and for a run that goes on after a single one, or after those that
// the caller has, from other streams.
func (p *proxyRequest) order(e *attemptResult) event.Order {
	o := event.Order{Last: p.lastEvent, Resumed: e.resumed && e.events == 0, Dense: p.steps > 0 && p.gaps == 0}
	if o.Resumed && p.steps+p.gaps == 0 {
		o.Dense = p.s.sequences.areDense(p.call.Model)
	}
	return o
}

// countSteps counts the steps between the ids of forwarded events.
func (p *proxyRequest) countSteps(prefix event.Prefix, e *attemptResult) {
	if !e.resumed && p.steps+p.gaps == 0 && prefix.Steps+prefix.Gaps > 0 {
		p.s.sequences.observe(p.call.Model, prefix.Gaps == 0)
	}
	p.steps += prefix.Steps
	p.gaps += prefix.Gaps
}
