package table

import (
	"net"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Table is one version of the configuration with its indexes.
type Table struct {
	document Document
	hosts    map[string][]*Route
	keys     map[string]*Team
	// ranks is one more than the greatest priority of a route.
	ranks int
}

// New returns the table of a document, which is not changed afterwards.
//
// Errors: NotValid with the route.
func New(d Document) (*Table, error) {
	t := &Table{
		document: d, hosts: map[string][]*Route{},
		keys: map[string]*Team{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.Validate(); err != nil {
			return nil, errors.Annotatef(err, "table.New: version %d", d.Version)
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
		t.ranks = max(t.ranks, r.Priority+1)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, longer)
	}
	for i := range d.Teams {
		for _, key := range d.Teams[i].Keys {
			t.keys[key] = &d.Teams[i]
		}
	}
	return t, nil
}

// Version returns the version; nil has version 0.
func (t *Table) Version() int64 {
	if t == nil {
		return 0
	}
	return t.document.Version
}

// Newer reports whether t replaces other.
func (t *Table) Newer(other *Table) bool { return t.Version() > other.Version() }

// MaxBodyBytes bounds the body of a request; zero is no bound.
func (t *Table) MaxBodyBytes() int64 { return t.document.MaxBodyBytes }

// Match returns the route with the longest prefix of the path. The host may have
// a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HostName returns a Host header's name without a port, in lower case.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// NeedsKey reports whether requests of the route need a team's key.
func (t *Table) NeedsKey(r *Route) bool { return !r.Public && len(t.document.Teams) > 0 }

// Team returns the team that holds a key.
func (t *Table) Team(key string) (*Team, bool) {
	team, ok := t.keys[key]
	return team, ok
}

// Rank returns the urgency of a team's requests on a route, 0 first: by the team's
// priority where it has one, else the route's; among equals the route's decides.
func (t *Table) Rank(team *Team, r *Route) int {
	first := r.Priority
	if team != nil && team.Priority != nil {
		first = *team.Priority
	}
	return first*t.ranks + r.Priority
}
