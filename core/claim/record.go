package claim

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// State is the state of a record.
type State string

// The states. A claimed record's call may be running or may have been run; it
// becomes finished with the outcome, or released where it surely was not run.
const (
	StateClaimed  State = "claimed"
	StateFinished State = "finished"
	StateReleased State = "released"
)

// Record is the value stored under a call's key.
type Record struct {
	State State `json:"state"`
	// Nonce is unique for each try to create a record.
	Nonce string `json:"nonce"`
	// Attempt is the id of the request on whose behalf the record was created.
	Attempt     string    `json:"attempt"`
	VM          call.VMID `json:"vm"`
	Fingerprint uint64    `json:"fingerprint,string"`
	Claimed     time.Time `json:"claimed"`
	// Outcome is set in state finished.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Encode returns the record in JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Annotate(err, "Record.Encode")
	}
	return data, nil
}

// DecodeRecord reads a record from JSON.
//
// Errors: NotValid where it isn't a record.
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
// Errors: NotValid with the field's name.
func (r Record) Validate() error {
	switch {
	case r.State != StateClaimed && r.State != StateFinished && r.State != StateReleased:
		return errors.NotValidf("Record.Validate: state %q", r.State)
	case r.Nonce == "":
		return errors.NotValidf("Record.Validate: empty nonce")
	case r.State == StateFinished && r.Outcome == nil:
		return errors.NotValidf("Record.Validate: finished without outcome")
	}
	return nil
}
