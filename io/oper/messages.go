package oper

import (
	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/conf"
)

// The paths of the routes.
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
	// Version is the last known version; Error says why the VM cannot be reached.
	Version int64  `json:"version"`
	Error   string `json:"error,omitempty"`
}

// VMVersions are the versions of all entry VMs.
type VMVersions []VMVersion

// Missing returns the VMs that are not known to have the version in force: those
// that were reached and have an older one, and those that were not reached.
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

// ChangeRequest is the body of a request to make a change.
type ChangeRequest struct {
	conf.Change
	// Wait is the maximum time to wait until all VMs have the change in force; it
	// is limited to maxWait, and 0 means not to wait.
	Wait tree.Duration `json:"wait,omitempty"`
}

// UndoRequest is the body of a request to undo an earlier change.
type UndoRequest struct {
	// ID identifies the undo when it is submitted again.
	ID string `json:"id,omitempty"`
	// Version is the version of the change to undo.
	Version int64  `json:"version"`
	Author  string `json:"author"`
	// Wait is as in ChangeRequest.
	Wait tree.Duration `json:"wait,omitempty"`
}

// ChangeResponse is the response to a change or an undo that was accepted.
type ChangeResponse struct {
	Version  int64  `json:"version"`
	ChangeID string `json:"changeId"`
	// Unchanged is true if the edits would not have changed the tree;
	// AlreadyAccepted if an earlier attempt had been accepted, for example because
	// the platform's reply to it was lost.
	Unchanged       bool `json:"unchanged,omitempty"`
	AlreadyAccepted bool `json:"settled,omitempty"`
	// VMs is set only if the request asked to wait.
	VMs VMVersions `json:"vms,omitempty"`
}

// Effective holds the values in effect for a class of a team.
type Effective struct {
	Version int64        `json:"version"`
	Team    call.Team    `json:"team,omitempty"`
	Class   call.Class   `json:"class,omitempty"`
	Values  tree.Sources `json:"values"`
}

// History is the response with the changes that the history holds.
type History struct {
	Records tree.Records `json:"records"`
}

// FailureKind says why a request failed.
type FailureKind string

// The kinds of failure.
const (
	// FailureInvalid means that the request or a value in it is not allowed;
	// nothing was stored.
	FailureInvalid FailureKind = "invalid"
	// FailureConflict means that another change came first; nothing was stored.
	FailureConflict FailureKind = "conflict"
	// FailureBehind means that the platform lacks changes that are in force;
	// nothing was stored. The request can be sent again after the restore.
	FailureBehind FailureKind = "behind"
	// FailureUnavailable means that the platform cannot be reached; nothing was
	// stored.
	FailureUnavailable FailureKind = "unavailable"
	// FailureOutcomeUnknown means that it is not known whether the change was stored.
	FailureOutcomeUnknown FailureKind = "unsettled"
	// FailureNotFound means that there is no such team, class or version.
	FailureNotFound FailureKind = "notFound"
	// FailureInternal means any other error.
	FailureInternal FailureKind = "internal"
)

// Failure is the body of an error response.
type Failure struct {
	Kind     FailureKind    `json:"kind"`
	Message  string         `json:"message"`
	Problems tree.Problems  `json:"problems,omitempty"`
	Conflict *conf.Conflict `json:"conflict,omitempty"`
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message }
