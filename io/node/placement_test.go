package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/place"
	"gentianwell/core/tree"
)

func TestModelNeeds(t *testing.T) {
	needs := modelNeeds("drafts", tree.Model{
		MinReplicas: 2, Versions: []string{"7", "6"}, Adapters: []string{"heraldry"}, Urgent: true,
	})
	assert.NilError(t, needs.Validate())
	want := place.Needs{
		{Artifact: place.Artifact{Model: "drafts", Version: "7"}, Copies: 2, MinCopies: 2, Megabytes: modelMegabytes},
		{Artifact: place.Artifact{Model: "drafts@6"}, Copies: 2, MinCopies: 2, Megabytes: modelMegabytes},
		{Artifact: place.Artifact{Model: "heraldry"}, Base: "drafts", Copies: 2, MinCopies: 2, Megabytes: modelMegabytes},
	}
	assert.DeepEqual(t, needs, want)
	plain := modelNeeds("rules", tree.Model{})
	assert.Equal(t, plain[0].Tier, call.MaxTier)
	assert.Equal(t, plain[0].MinCopies, 0)

	names := map[string]place.Artifact{
		"drafts@7": {Model: "drafts", Version: "7"}, "drafts@5": {Model: "drafts", Version: "5"},
		"drafts@6": {Model: "drafts@6"}, "drafts": {Model: "drafts"}, "heraldry": {Model: "heraldry"},
	}
	for name, want := range names {
		assert.DeepEqual(t, parseArtifact(name, needs), want)
		assert.Equal(t, parseArtifact(name, needs).String(), name)
	}
}
