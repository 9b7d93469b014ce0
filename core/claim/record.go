package claim

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// State is the state of a record.
type State string

// The states. The call of a claimed record may be running or may have been run.
// The record becomes finished once the outcome is known, or released if the call
// was certainly not run.
const (
	StateClaimed  State = "claimed"
	StateFinished State = "finished"
	StateReleased State = "released"
)

// Record is the value stored under a call's key.
type Record struct {
	State State `json:"state"`
	// Nonce is unique to each attempt to create a record.
	Nonce string `json:"nonce"`
	// Attempt is the ID of the request for which the record was created.
	Attempt     string    `json:"attempt"`
	VM          call.VMID `json:"vm"`
	Fingerprint uint64    `json:"fingerprint,string"`
	Claimed     time.Time `json:"claimed"`
	// Outcome is set in the state "finished".
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Annotate(err, "Record.Encode")
	}
	return data, nil
}

// DecodeRecord reads a record from JSON.
//
// Errors: NotValid if data isn't a valid record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.NewNotValid(err, "DecodeRecord")
	}
	if err := r.Validate(); err != nil {
		return Record{}, errors.Trace(err)
	}
	return r, nil
}

// Validate checks the record.
//
// Errors: NotValid, with the name of the field.
func (r Record) Validate() error {
	switch {
	case r.State != StateClaimed && r.State != StateFinished && r.State != StateReleased:
		return errors.NotValidf("Record.Validate: state %q, allowed %q, %q or %q", r.State, StateClaimed, StateFinished, StateReleased)
	case r.Nonce == "":
		return errors.NotValidf("Record.Validate: empty nonce")
	case r.State == StateFinished && r.Outcome == nil:
		return errors.NotValidf("Record.Validate: state %q without an outcome", r.State)
	}
	return nil
}
