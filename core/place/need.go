package place

import (
	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Artifact is a model or adapter in one version.
type Artifact struct {
	Model   call.Model `json:"model"`
	Version string     `json:"version,omitempty"`
}

// String returns the artifact's name as engines know it: "model" or
// "model@version".
func (a Artifact) String() string {
	if a.Version == "" {
		return string(a.Model)
	}
	return string(a.Model) + "@" + a.Version
}

// Need is what one model needs.
type Need struct {
	Artifact
	// Base is the model that an adapter is loaded onto, empty for a model.
	Base call.Model
	// Tier is the most urgent tier that uses the model.
	Tier call.Tier
	// Copies is how many replicas the demand calls for.
	Copies int
	// MinCopies is below which no order may bring the model.
	MinCopies int
	// Megabytes is how much is read from the weight store to load it.
	Megabytes int
}

// Needs are the needs of all models.
type Needs []Need

// Validate checks that each model is needed once, and each adapter's base.
//
// Errors: NotValid with the model.
func (n Needs) Validate() error {
	seen := map[call.Model]bool{}
	for _, need := range n {
		if need.Model == "" || seen[need.Model] {
			return errors.NotValidf("Needs.Validate: model %q, empty or twice", need.Model)
		}
		seen[need.Model] = true
	}
	for _, need := range n {
		if need.Base != "" && !seen[need.Base] {
			return errors.NotValidf("Needs.Validate: %s: base %q", need.Model, need.Base)
		}
	}
	return nil
}
