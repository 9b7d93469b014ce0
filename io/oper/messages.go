package oper

import (
	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/conf"
)

// The paths of the endpoint.
const (
	pathSettings  = "/settings"
	pathEffective = "/settings/effective"
	pathHistory   = "/settings/history"
	pathVersions  = "/settings/versions"
	pathChanges   = "/settings/changes"
	pathUndo      = "/settings/undo"
)

// VMVersion is the settings version that one entry VM has in force.
type VMVersion struct {
	VM   call.VMID `json:"vm"`
	Zone call.Zone `json:"zone,omitempty"`
	// Version is the last one known; Error says why the VM cannot be reached.
	Version int64  `json:"version"`
	Error   string `json:"error,omitempty"`
}

// VMVersions are the versions of all entry VMs.
type VMVersions []VMVersion

// Missing returns the VMs that have not got the version: those that were
// reached and are behind, and those that were not.
func (vs VMVersions) Missing(version int64) (behind, unreached VMVersions) {
	for _, v := range vs {
		switch {
		case v.Error != "":
			unreached = append(unreached, v)
		case v.Version < version:
			behind = append(behind, v)
		}
	}
	return behind, unreached
}

// ChangeRequest asks for a change.
type ChangeRequest struct {
	conf.Change
	// Wait is how long to wait until all VMs that can be reached apply it; 0
	// does not wait.
	Wait tree.Duration `json:"wait,omitempty"`
}

// UndoRequest asks for an earlier change to be undone.
type UndoRequest struct {
	// ID makes the undo recognisable when it is submitted again.
	ID      string        `json:"id,omitempty"`
	Version int64         `json:"version"`
	Author  string        `json:"author"`
	Wait    tree.Duration `json:"wait,omitempty"`
}

// ChangeResponse tells that a change was accepted.
type ChangeResponse struct {
	Version  int64  `json:"version"`
	ChangeID string `json:"changeId"`
	// Unchanged is true where the tree already was so; Settled where the
	// platform's reply was lost and the change was found.
	Unchanged       bool `json:"unchanged,omitempty"`
	AlreadyAccepted bool `json:"settled,omitempty"`
	// VMs is there where the request asked to wait.
	VMs VMVersions `json:"vms,omitempty"`
}

// Effective is what holds for a class of a team.
type Effective struct {
	Version int64        `json:"version"`
	Team    call.Team    `json:"team,omitempty"`
	Class   call.Class   `json:"class,omitempty"`
	Values  tree.Sources `json:"values"`
}

// History is the list of changes.
type History struct {
	Records tree.Records `json:"records"`
}

// FailureKind says why a request was refused.
type FailureKind string

// The kinds of failure.
const (
	// FailureInvalid: a value is not allowed; nothing was stored.
	FailureInvalid FailureKind = "invalid"
	// FailureConflict: another change came first; nothing was stored.
	FailureConflict FailureKind = "conflict"
	// FailureBehind: the platform came back older; nothing was stored, ask again.
	FailureBehind FailureKind = "behind"
	// FailureUnavailable: the platform cannot be reached; nothing was stored.
	FailureUnavailable FailureKind = "unavailable"
	// FailureOutcomeUnknown: it is not known whether the change was stored.
	FailureOutcomeUnknown FailureKind = "unsettled"
	// FailureNotFound: there is no such team, class or version.
	FailureNotFound FailureKind = "notFound"
	// FailureInternal: anything else.
	FailureInternal FailureKind = "internal"
)

// Failure is the body of a refusal.
type Failure struct {
	Kind     FailureKind    `json:"kind"`
	Message  string         `json:"message"`
	Problems tree.Problems  `json:"problems,omitempty"`
	Conflict *conf.Conflict `json:"conflict,omitempty"`
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message }
