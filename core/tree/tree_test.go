package tree

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

const sampleTree = `{
  "site": {"deadline": "90s", "defaultClass": "question", "maxWait": "20s"},
  "classes": {"plot": {"tier": 0, "firstTokenTarget": "370ms"}, "question": {"tier": 5, "maxWait": "10s"}},
  "teams": {
    "judges": {"weight": 3, "maxWait": "15s", "deadline": "80s", "classes": {"plot": {"deadline": "30s"}}},
    "farmers": {}
  },
  "models": {"drafts-3.1": {"minReplicas": 2, "urgent": true}},
  "services": {"ledger": {"pathPrefix": "/ledger/"}}
}`

func mustParse(t *testing.T, document string) *Tree {
	t.Helper()
	parsed, err := Parse([]byte(document))
	assert.NilError(t, err)
	return parsed
}

func TestEffectiveInherits(t *testing.T) {
	settings := mustParse(t, sampleTree)
	tests := []struct {
		team         call.Team
		class        call.Class
		deadline     time.Duration
		maxWait      time.Duration
		deadlineFrom string
		maxWaitFrom  string
	}{
		{"judges", "plot", 30 * time.Second, 15 * time.Second, "teams.judges.classes.plot", "teams.judges"},
		{"judges", "question", 80 * time.Second, 10 * time.Second, "teams.judges", "classes.question"},
		{"farmers", "plot", 90 * time.Second, 20 * time.Second, "site", "site"},
	}
	for _, test := range tests {
		policy, err := NewSnapshot(Document{Tree: settings}).Effective(test.team, test.class)
		assert.NilError(t, err)
		assert.Equal(t, policy.Deadline, test.deadline)
		assert.Equal(t, policy.MaxWait, test.maxWait)
		sources, err := settings.Explain(test.team, test.class)
		assert.NilError(t, err)
		assert.Equal(t, sourceOf(sources, "deadline"), test.deadlineFrom)
		assert.Equal(t, sourceOf(sources, "maxWait"), test.maxWaitFrom)
		assert.Equal(t, sourceOf(sources, "retryShare"), "default")
	}
}

func sourceOf(sources Sources, key string) string {
	for _, s := range sources {
		if s.Key == key {
			return s.Branch
		}
	}
	return ""
}

func TestParseReportsEveryMistake(t *testing.T) {
	hash := HashKey("k")
	tests := []struct {
		name, document string
		want           []string
	}{
		{"unknown key", `{"classes": {"plot": {"teir": 1}}}`, []string{`classes.plot.teir: unknown key "teir"; nearest known key: "tier"`}},
		{"two mistakes", `{"site": {"tier": 9, "deadline": 5}}`, []string{
			`site.deadline: 5 is not allowed; allowed: duration, 10ms to 24h`,
			`site.tier: 9 is not allowed; allowed: integer, 0 to 7, 0 the most urgent`,
		}},
		{"site key in a class", `{"classes": {"plot": {"stopLimit": "1s"}}}`, []string{`classes.plot.stopLimit: unknown key`}},
		{"unknown default class", `{"classes": {"plot": {}}, "teams": {"a": {"defaultClass": "plots"}}}`, []string{`teams.a.defaultClass: "plots" is not allowed; allowed: a name from classes: plot`}},
		{"one key, two teams", `{"teams": {"a": {"keyHashes": ["` + hash + `"]}, "b": {"keyHashes": ["` + hash + `"]}}}`, []string{`teams.b.keyHashes`, `does not stand in teams.a.keyHashes`}},
		{"one path, two services", `{"services": {"a": {"pathPrefix": "/x/"}, "b": {"pathPrefix": "/x/"}}}`, []string{`services.b.pathPrefix: "/x/"`}},
		{"path reserved by the router", `{"services": {"a": {"pathPrefix": "/v1/x/"}}}`, []string{`services.a.pathPrefix: "/v1/x/" is not allowed`}},
		{"maxWait longer than deadline", `{"classes": {"plot": {"maxWait": "2m"}}, "site": {"deadline": "1m"}}`, []string{`classes.plot.maxWait: "2m0s" is not allowed; allowed: no longer than deadline "1m0s" for class "plot"`}},
		{"duplicate key", `{"teams": {"a": {}, "a": {}}}`, []string{`teams.a: the key stands twice`}},
		{"not JSON", `{`, []string{`tree: { is not allowed; allowed: a JSON object`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(test.document))
			assert.Assert(t, err != nil)
			for _, want := range test.want {
				assert.Assert(t, strings.Contains(err.Error(), want), "got %v, want %s", err, want)
			}
		})
	}
}

func TestApplyDoesNotModifyReceiver(t *testing.T) {
	before := mustParse(t, sampleTree)
	after, err := before.Apply(Edits{
		{Path: "classes.plot.tier", Value: []byte("1")},
		{Path: "teams.judges.classes.plot"},
		{Path: "models.drafts-3.1.minReplicas", Value: []byte("3")},
		{Path: "teams.clerks", Value: []byte(`{"weight": 2}`)},
	})
	assert.NilError(t, err)
	assert.Equal(t, *before.Classes["plot"].Tier, call.Tier(0))
	assert.Equal(t, *after.Classes["plot"].Tier, call.Tier(1))
	assert.Equal(t, len(before.Teams["judges"].Classes), 1)
	assert.Equal(t, len(after.Teams["judges"].Classes), 0)
	assert.Equal(t, after.Models["drafts-3.1"].MinReplicas, 3)

	again, err := before.Apply(before.Diff(after))
	assert.NilError(t, err)
	assert.Equal(t, len(again.Diff(after)), 0)
}

func TestSnapshotLookups(t *testing.T) {
	settings := mustParse(t, `{
		"site": {"operatorKeyHashes": ["`+HashKey("op")+`"]},
		"teams": {"judges": {"keyHashes": ["`+HashKey("k1")+`"]}},
		"services": {"a": {"pathPrefix": "/x/"}, "b": {"pathPrefix": "/x/y/", "idempotentMethods": []}}}`)
	snap := NewSnapshot(Document{Tree: settings})
	team, ok := snap.TeamByKey("k1")
	assert.Assert(t, ok)
	assert.Equal(t, team, call.Team("judges"))
	_, ok = snap.TeamByKey("op")
	assert.Assert(t, !ok)
	assert.Assert(t, snap.IsOperator("op"))
	name, service, ok := snap.ServiceByPath("/x/y/z")
	assert.Assert(t, ok)
	assert.Equal(t, name, call.Model("b"))
	assert.Equal(t, len(service.IdempotentMethods), 0)
}
