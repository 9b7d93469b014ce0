package claim

import (
	"net/url"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// MaxKey is the largest allowed length of the caller's key, in bytes.
const MaxKey = 256

// Request identifies a non-idempotent call.
type Request struct {
	// ID is the request's ID; each repeat has its own.
	ID string
	// Team, Service and Key identify the call: a key is used once for each team
	// and service.
	Team    call.Team
	Service call.Model
	Key     string
	// Fingerprint is a hash that identifies the body.
	Fingerprint uint64
	// ServiceDeduplicates is true if the settings say that the service itself
	// removes duplicates by the key.
	ServiceDeduplicates bool
	// Retention is the minimum time for which the claim and its outcome are kept.
	Retention time.Duration
}

// Validate checks the request.
//
// Errors: NotValid, with the name of the field.
func (r Request) Validate() error {
	switch {
	case r.Team == "" || r.Service == "":
		return errors.NotValidf("Request.Validate: empty Team or Service")
	case r.Key == "" || len(r.Key) > MaxKey:
		return errors.NotValidf("Request.Validate: Key of %d bytes, allowed 1 to %d", len(r.Key), MaxKey)
	}
	return nil
}

// Path returns the record's key, relative to the prefix of all claims. Its parts
// are escaped, so that different calls never share a path.
func (r Request) Path() string {
	return url.PathEscape(string(r.Service)) + "/" + url.PathEscape(string(r.Team)) + "/" + url.PathEscape(r.Key)
}
