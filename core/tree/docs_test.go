package tree

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

const docsDir = "../../docs/"

func TestExampleSettings(t *testing.T) {
	tests := []struct {
		file              string
		team              call.Team
		urgent            call.Class
		lessUrgent        []call.Class
		service           string
		removesDuplicates bool
		firstTokenTarget  time.Duration
	}{
		{"lindqvist.json", "matchSecretaries", "plotAssignment", []call.Class{"scoringSummary", "ruleQuestion"}, "/ledger/book", false, 370 * time.Millisecond},
		{"bookplate.json", "kigaliCentral", "proof", []call.Class{"inkQuery", "catalogue"}, "/payments/book", true, 370 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			raw, err := os.ReadFile(docsDir + "examples/" + test.file)
			assert.NilError(t, err)
			snap := NewSnapshot(Document{Tree: mustParse(t, string(raw))})
			team, ok := snap.TeamByKey("example-" + string(test.team))
			assert.Assert(t, ok)
			assert.Equal(t, team, test.team)
			assert.Assert(t, snap.IsOperator("example-operator"))
			assert.Equal(t, snap.DefaultClass(team), test.urgent)
			urgent, err := snap.Effective(team, test.urgent)
			assert.NilError(t, err)
			assert.Equal(t, urgent.Tier, call.Tier(0))
			assert.Equal(t, urgent.FirstTokenTarget, test.firstTokenTarget)
			for _, class := range test.lessUrgent {
				policy, err := snap.Effective(team, class)
				assert.NilError(t, err)
				assert.Assert(t, policy.Tier > urgent.Tier)
			}
			_, service, ok := snap.ServiceByPath(test.service)
			assert.Assert(t, ok)
			assert.Equal(t, service.RemovesDuplicates, test.removesDuplicates)
			assert.Assert(t, !slices.Contains(service.IdempotentMethods, "POST"))
		})
	}
}

// The settings page must have exactly one table row for each key, with the same
// texts as in the code.
func TestSettingsPageHasEveryKey(t *testing.T) {
	raw, err := os.ReadFile(docsDir + "SETTINGS.md")
	assert.NilError(t, err)
	var want []string
	for _, k := range Keys() {
		want = append(want, settingsTableRow(k))
	}
	var got []string
	for _, line := range strings.Split(string(raw), "\n") {
		if regexp.MustCompile("^\\| `[a-zA-Z]+` \\|").MatchString(line) {
			got = append(got, line)
		}
	}
	assert.DeepEqual(t, got, want)
}

func settingsTableRow(k Key) string {
	var kinds []string
	for _, kind := range k.Kinds {
		kinds = append(kinds, string(kind))
	}
	return fmt.Sprintf("| `%s` | %s | `%s` | %s | %s | %s |", k.Name, k.Type, k.Default, k.Allowed, strings.Join(kinds, ", "), k.Meaning)
}
