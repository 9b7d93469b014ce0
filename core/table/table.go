package table

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Table is one indexed version of the configuration.
type Table struct {
	document Document
	hosts    map[string][]*Route
	keys     map[string]*Team
	// resumed holds the services of routes whose streams may be resumed.
	resumed map[call.Model]bool
	// priorityLevels is one more than the highest priority number of a route.
	priorityLevels int
}

// New validates and indexes a document. The caller must not modify the document
// afterwards.
//
// Errors: NotValid, which names the invalid route.
func New(d Document) (*Table, error) {
	t := &Table{
		document: d, hosts: map[string][]*Route{},
		keys: map[string]*Team{}, resumed: map[call.Model]bool{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.Validate(); err != nil {
			return nil, errors.Annotatef(err, "table.New: version %d", d.Version)
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
		for _, split := range r.Splits {
			if r.Kind == KindStream && r.Resumes {
				t.resumed[split.Service] = true
			}
		}
		t.priorityLevels = max(t.priorityLevels, r.Priority+1)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, byPrefixLength)
	}
	for i := range d.Teams {
		for _, key := range d.Teams[i].Keys {
			t.keys[key] = &d.Teams[i]
		}
	}
	return t, nil
}

// Version returns the version of the document; 0 for a nil table.
func (t *Table) Version() int64 {
	if t == nil {
		return 0
	}
	return t.document.Version
}

// Resumed returns the services of routes whose streams may be resumed; none for a nil table. The
// caller must not modify the result.
func (t *Table) Resumed() map[call.Model]bool {
	if t == nil {
		return nil
	}
	return t.resumed
}

// Newer reports whether t has a higher version than other. Any table is newer than nil.
func (t *Table) Newer(other *Table) bool { return other == nil || t.Version() > other.Version() }

// MaxBodyBytes returns the limit for the body of a request; zero means no limit.
func (t *Table) MaxBodyBytes() int64 { return t.document.MaxBodyBytes }

// MaxHeaderBytes returns the limit for the header of a request; zero means none is set.
func (t *Table) MaxHeaderBytes() int64 { return t.document.MaxHeaderBytes }

// HeaderTimeout returns the limit for the time that a header takes; zero means none is
// set.
func (t *Table) HeaderTimeout() time.Duration { return t.document.HeaderTimeout }

// IdleTimeout returns how long a caller's connection may be idle; zero means that no limit
// is set.
func (t *Table) IdleTimeout() time.Duration { return t.document.IdleTimeout }

// Match returns the host's route whose prefix is the longest match for the path.
// The host may have a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HostName returns the name in a Host header in lower case, without the port.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// NeedsKey reports whether requests of the route need a team's key.
func (t *Table) NeedsKey(r *Route) bool { return !r.Public && len(t.document.Teams) > 0 }

// Team returns the team that a key belongs to.
func (t *Table) Team(key string) (*Team, bool) {
	team, ok := t.keys[key]
	return team, ok
}

// Rank returns the rank of a team's requests on a route; lower ranks are more
// urgent. The priority of the team decides, or that of the route if the team has
// none; ties are broken by the priority of the route.
func (t *Table) Rank(team *Team, r *Route) int {
	priority := r.Priority
	if team != nil && team.Priority != nil {
		priority = *team.Priority
	}
	return priority*t.priorityLevels + r.Priority
}
