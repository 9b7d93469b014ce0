package table

import (
	"testing"

	"gotest.tools/v3/assert"

	_ "gentianwell/core/gwtest"
)

func testDocument() Document {
	priority := 3
	return Document{
		Version: 7,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: KindIdempotent, Splits: []Split{{Service: "web", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Kind: KindOnce, Splits: []Split{{Service: "pay", Weight: 1}}},
			{Name: "mid", Host: "a.example", Prefix: "/x/", Kind: KindStream, Public: true, Splits: []Split{{Service: "llm", Weight: 90}, {Service: "web", Weight: 10}}},
		},
		Teams: []Team{{Name: "judges", Keys: []string{"k1", "k2"}, Priority: &priority}},
	}
}

func TestMatch(t *testing.T) {
	table, err := New(testDocument())
	assert.NilError(t, err)
	for _, test := range []struct {
		host, path, want string
	}{
		{"a.example", "/x/y/z", "deep"},
		{"A.Example:8080", "/x/y", "mid"},
		{"a.example", "/x", "all"},
		{"a.example", "/x/%79/z", "mid"},
		{"b.example", "/x/", ""},
		{"a.example", "", ""},
	} {
		r, ok := table.Match(test.host, test.path)
		assert.Equal(t, ok, test.want != "", test.path)
		if ok {
			assert.Equal(t, r.Name, test.want, test.path)
		}
	}
}

func TestTeamKeys(t *testing.T) {
	table, err := New(testDocument())
	assert.NilError(t, err)
	team, ok := table.Team("k2")
	assert.Assert(t, ok && team.Name == "judges")
	_, ok = table.Team("")
	assert.Assert(t, !ok)
	deep, _ := table.Match("a.example", "/x/y/")
	mid, _ := table.Match("a.example", "/x/")
	assert.Assert(t, table.NeedsKey(deep) && !table.NeedsKey(mid))
}

// The priority of the team takes precedence, and the priority of the route orders
// requests of equal team priority, so that an engine that has to preempt picks
// the least urgent of them.
func TestRank(t *testing.T) {
	zero, one := 0, 1
	d := testDocument()
	d.Routes[0].Priority, d.Routes[1].Priority, d.Routes[2].Priority = 0, 1, 2
	table, err := New(d)
	assert.NilError(t, err)
	urgent, lessUrgent := &table.document.Routes[0], &table.document.Routes[2]
	priority0, priority1, noPriority := &Team{Priority: &zero}, &Team{Priority: &one}, &Team{}
	for i, pair := range [][2]int{
		{table.Rank(priority0, urgent), table.Rank(priority0, lessUrgent)},
		{table.Rank(priority0, lessUrgent), table.Rank(priority1, urgent)},
		{table.Rank(priority1, urgent), table.Rank(priority1, lessUrgent)},
		{table.Rank(noPriority, urgent), table.Rank(noPriority, lessUrgent)},
		{table.Rank(nil, urgent), table.Rank(priority1, urgent)},
	} {
		assert.Assert(t, pair[0] < pair[1], "pair %d: %v", i, pair)
	}
}

func TestChoose(t *testing.T) {
	table, err := New(testDocument())
	assert.NilError(t, err)
	mid, _ := table.Match("a.example", "/x/")
	assert.Equal(t, string(mid.Choose(0.89)), "llm")
	assert.Equal(t, string(mid.Choose(0.91)), "web")
	assert.Equal(t, string(mid.Choose(1)), "web")
}

func TestNewRejectsInvalidRoutes(t *testing.T) {
	for name, change := range map[string]func(*Route){
		"no host":     func(r *Route) { r.Host = "" },
		"prefix":      func(r *Route) { r.Prefix = "/x" },
		"kind":        func(r *Route) { r.Kind = "sometimes" },
		"no service":  func(r *Route) { r.Splits = nil },
		"bad weight":  func(r *Route) { r.Splits = []Split{{Service: "web", Weight: -1}} },
		"bad timeout": func(r *Route) { r.Timeout = -1 },
	} {
		d := testDocument()
		change(&d.Routes[0])
		_, err := New(d)
		assert.ErrorContains(t, err, "not valid", name)

		// Closed or removed, it keeps no other route from being in force.
		bad, n := d.Routes[0], len(d.Routes)
		invalid := d.CloseInvalid()
		assert.Equal(t, len(invalid), 1, name)
		assert.ErrorContains(t, invalid[0], "not valid", name)
		in, err := New(d)
		assert.NilError(t, err, name)
		found, ok := in.Match(bad.Host, bad.Prefix)
		matches := name != "no host" && name != "prefix"
		assert.Assert(t, !matches || ok && found.Closed, name)
		assert.Assert(t, matches && len(d.Routes) == n || !matches && len(d.Routes) == n-1, name)
	}
}

func TestRepeatable(t *testing.T) {
	for _, test := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindIdempotent}, true},
		{Route{Kind: KindOnce}, false},
		{Route{Kind: KindOnce, Resumes: true}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumes: true}, true},
	} {
		assert.Equal(t, test.route.Repeatable(), test.want)
	}
}

func TestNewer(t *testing.T) {
	older, err := New(Document{Version: 3})
	assert.NilError(t, err)
	newer, err := New(Document{Version: 9})
	assert.NilError(t, err)
	assert.Assert(t, newer.Newer(older) && !older.Newer(newer) && older.Newer(nil) && !older.Newer(older))
}

// A first version of 0 was never newer than none, so that it did not get in force.
func TestFirstVersionMayBeZero(t *testing.T) {
	first, err := New(Document{Version: 0})
	assert.NilError(t, err)
	assert.Assert(t, first.Newer(nil) && !first.Newer(first))
}
