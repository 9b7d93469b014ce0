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

// String returns the name by which engines know the artifact: "model" or
// "model@version".
func (a Artifact) String() string {
	if a.Version == "" {
		return string(a.Model)
	}
	return string(a.Model) + "@" + a.Version
}

// Need states how many copies of a model or adapter are to be loaded.
type Need struct {
	Artifact
	// Base is the model that an adapter is loaded onto; empty for a model.
	Base call.Model
	// Tier is the most urgent tier that uses the model.
	Tier call.Tier
	// Copies is the number of copies that the demand calls for.
	Copies int
	// MinCopies is the number of copies below which no order may take the model.
	MinCopies int
	// Megabytes is the amount read from the weight store for one load.
	Megabytes int
}

// Needs holds one Need for each model and adapter.
type Needs []Need

// Validate checks that no model is empty or listed twice, and that each adapter's
// base is listed.
//
// Errors: NotValid with the model's name.
func (n Needs) Validate() error {
	seen := map[call.Model]bool{}
	for _, need := range n {
		if need.Model == "" || seen[need.Model] {
			return errors.NotValidf("Needs.Validate: model %q (must not be empty or listed twice)", need.Model)
		}
		seen[need.Model] = true
	}
	for _, need := range n {
		if need.Base != "" && !seen[need.Base] {
			return errors.NotValidf("Needs.Validate: model %q: base %q (must be listed too)", need.Model, need.Base)
		}
	}
	return nil
}
