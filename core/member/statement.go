package member

import (
	"encoding/json"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// sequenceBits is the number of low bits of a version that hold the sequence.
const sequenceBits = 24

// maxSequence is the largest sequence of an incarnation.
const maxSequence = 1<<sequenceBits - 1

// Statement is an entry VM's announcement of its own state, spread by gossip.
type Statement struct {
	// VM holds the VM's addresses and state.
	VM VM `json:"vm"`
	// Incarnation increases with each start of the VM's process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each statement of an incarnation.
	Sequence uint64 `json:"sequence"`
}

// ParseStatement reads a statement from JSON.
//
// Errors: NotValid.
func ParseStatement(value []byte) (Statement, error) {
	var s Statement
	if err := json.Unmarshal(value, &s); err != nil {
		return Statement{}, errors.NewNotValid(err, "ParseStatement")
	}
	if err := s.Validate(); err != nil {
		return Statement{}, errors.Annotate(err, "ParseStatement")
	}
	return s, nil
}

// Validate checks that the statement is complete.
//
// Errors: NotValid.
func (s Statement) Validate() error {
	if s.Incarnation == 0 || s.Sequence > maxSequence {
		return errors.NotValidf("Statement.Validate: %s: incarnation %d, at least 1; sequence %d, at most %d",
			s.VM.ID, s.Incarnation, s.Sequence, maxSequence)
	}
	return errors.Trace(s.VM.Validate())
}

// Version orders the statements of one VM; gossip keeps the highest.
func (s Statement) Version() uint64 { return s.Incarnation<<sequenceBits | s.Sequence }

// Opinion is one VM's report that another one does not answer it.
type Opinion struct {
	By    call.VMID `json:"by"`
	About call.VMID `json:"about"`
	// Version is the version of the last statement of About known to By; zero if
	// none is.
	Version uint64 `json:"version"`
}

// Opinions is a list of opinions.
type Opinions []Opinion
