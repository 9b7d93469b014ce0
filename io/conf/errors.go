package conf

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"gentianwell/core/tree"
)

// The errors of a change, besides Conflict and tree.Problems.
const (
	// ErrBehind means that the platform lacks changes that are in force; the
	// change was not made. It can be submitted again after the restore.
	ErrBehind = errors.ConstError("the platform's settings are older than those in force")
	// ErrOutcomeUnknown means that the platform's replies were lost: the change
	// may have been accepted. Submitting it again with the same ID resolves the
	// outcome.
	ErrOutcomeUnknown = errors.ConstError("no reply from the platform: the change may be accepted")
	// ErrDamaged means that the platform's keys cannot be parsed as settings.
	ErrDamaged = errors.ConstError("the platform's settings are damaged")
	// ErrTooLarge means that the change has to be split into smaller ones.
	ErrTooLarge = errors.ConstError("the change is too large for one transaction")
)

// Conflict means that another change was accepted first; this one was not made.
type Conflict struct {
	// Base is the version that the rejected change was based on.
	Base int64 `json:"base"`
	// Mine are the rejected edits.
	Mine tree.Edits `json:"mine"`
	// Head is the latest change of the tree; Theirs are the changes since Base
	// that the history still holds. For an undo, Theirs are only those that overlap
	// with the change to undo.
	Head   tree.ChangeRef `json:"head"`
	Theirs tree.Records   `json:"theirs"`
}

// Error lists the accepted changes and the rejected edits.
func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: the settings went from version %d to %d meanwhile", c.Base, c.Head.Version)
	for _, r := range c.Theirs {
		fmt.Fprintf(&b, "\n  accepted: version %d by %s: %s", r.Version, r.Author, editsText(r.Edits))
	}
	fmt.Fprintf(&b, "\n  not made: %s", editsText(c.Mine))
	return b.String()
}

func editsText(edits tree.Edits) string {
	parts := make([]string, len(edits))
	for i, e := range edits {
		parts[i] = e.String()
	}
	return strings.Join(parts, ", ")
}
