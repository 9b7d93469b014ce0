package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Kind says whether the requests of a route may run more than once.
type Kind string

// The kinds of route. Requests of KindIdempotent may run more than once, those of
// KindOnce must not. KindStream is answered by a stream of events; its requests
// must not run more than once either, unless Route.Resumes is set.
const (
	KindIdempotent Kind = "idempotent"
	KindOnce       Kind = "once"
	KindStream     Kind = "stream"
)

// Split is one service of a route with its weight in the traffic split.
type Split struct {
	Service call.Model
	Weight  float64
}

// Route configures how requests for one host and path prefix are served.
type Route struct {
	Name string
	// Host is a host name in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Splits are the services that may run the request.
	Splits []Split
	// Timeout is the maximum time that a caller waits for the final answer.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the answer, or to the first event
	// of a stream.
	LatencyTarget time.Duration
	// GapTarget is the target for the longest pause between the events of a stream.
	GapTarget time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of replicas that run one request; see MaxAttempts.
	Attempts int
	// Public routes need no key.
	Public bool
	// Closed routes are not valid otherwise and run nothing: their requests are refused.
	Closed bool
	// Resumes is true if another replica can resume an interrupted stream.
	Resumes bool
}

// Validate checks the fields of the route.
//
// Errors: NotValid.
func (r *Route) Validate() error {
	switch {
	case r.Host == "":
		return errors.NotValidf("route %q: host \"\" (must not be empty)", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.NotValidf("route %q: prefix %q (must begin and end with /)", r.Name, r.Prefix)
	case r.Closed:
		return nil
	case r.Kind != KindIdempotent && r.Kind != KindOnce && r.Kind != KindStream:
		return errors.NotValidf("route %q: kind %q (allowed: %s, %s, %s)", r.Name, r.Kind, KindIdempotent, KindOnce, KindStream)
	case len(r.Splits) == 0:
		return errors.NotValidf("route %q: splits without a service (at least one is required)", r.Name)
	case r.Timeout < 0 || r.LatencyTarget < 0 || r.GapTarget < 0:
		return errors.NotValidf("route %q: timeout %s, latency target %s, gap target %s (must not be negative)", r.Name, r.Timeout, r.LatencyTarget, r.GapTarget)
	}
	for _, s := range r.Splits {
		if s.Service == "" || s.Weight < 0 {
			return errors.NotValidf("route %q: service %q with weight %g (the name must not be empty, the weight not negative)", r.Name, s.Service, s.Weight)
		}
	}
	return nil
}

// Repeatable reports whether a request may safely run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumes
}

// Runs reports whether a service may run requests of the route.
func (r *Route) Runs(service call.Model) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// MaxAttempts returns the maximum number of replicas that run one request, at
// least 1.
func (r *Route) MaxAttempts() int { return max(1, r.Attempts) }

// Choose selects a service in proportion to the weights. draw is a random number
// between 0 and 1.
func (r *Route) Choose(draw float64) call.Model {
	var sum float64
	for _, s := range r.Splits {
		sum += s.Weight
	}
	remaining := draw * sum
	for _, s := range r.Splits {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// byPrefixLength compares routes by descending length of their prefixes.
func byPrefixLength(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) }
