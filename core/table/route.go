package table

import (
	"cmp"
	"strings"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Kind says what may be repeated.
type Kind string

// The kinds. KindOnce is a request that must not run twice. KindStream is an
// answer in events, which must not run twice either unless Route.Resumes is set.
const (
	KindIdempotent Kind = "idempotent"
	KindOnce       Kind = "once"
	KindStream     Kind = "stream"
)

// Split is one service of a route and its part of the traffic.
type Split struct {
	Service call.Model
	Weight  float64
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name string
	// Host is without a port, in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Splits are the services that may run the request.
	Splits []Split
	// Timeout is the longest that a caller is kept waiting for the final answer.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between the events of a stream.
	GapTarget time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Attempts is how many replicas may run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumes is true where another replica can go on with a broken stream.
	Resumes bool
}

// Validate checks the route.
//
// Errors: NotValid.
func (r *Route) Validate() error {
	switch {
	case r.Host == "":
		return errors.NotValidf("route %q: empty host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.NotValidf("route %q: prefix %q", r.Name, r.Prefix)
	case r.Kind != KindIdempotent && r.Kind != KindOnce && r.Kind != KindStream:
		return errors.NotValidf("route %q: kind %q", r.Name, r.Kind)
	case len(r.Splits) == 0:
		return errors.NotValidf("route %q: no service", r.Name)
	case r.Timeout < 0 || r.LatencyTarget < 0 || r.GapTarget < 0:
		return errors.NotValidf("route %q: negative duration", r.Name)
	}
	for _, s := range r.Splits {
		if s.Service == "" || s.Weight < 0 {
			return errors.NotValidf("route %q: service %q with weight %g", r.Name, s.Service, s.Weight)
		}
	}
	return nil
}

// Repeatable reports whether running the request again does no harm.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumes
}

// MaxAttempts is how many replicas may run one request, at least one.
func (r *Route) MaxAttempts() int { return max(1, r.Attempts) }

// Choose returns the service for a draw between 0 and 1.
func (r *Route) Choose(draw float64) call.Model {
	var sum float64
	for _, s := range r.Splits {
		sum += s.Weight
	}
	at := draw * sum
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// longer orders routes by descending length of their prefixes.
func longer(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) }
