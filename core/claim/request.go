package claim

import (
	"net/url"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// MaxKey bounds the caller's key, in bytes.
const MaxKey = 256

// Request identifies a non-idempotent call.
type Request struct {
	// ID is the request's id, another one for each repeat.
	ID string
	// Team, Service and Key make up the scope in which a key is used once.
	Team    call.Team
	Service call.Model
	Key     string
	// Fingerprint identifies the body.
	Fingerprint uint64
	// ServiceDeduplicates is true where the settings say that the service removes duplicates
	// by the key itself.
	ServiceDeduplicates bool
	// Retention is for how long the claim and its outcome are kept at least.
	Retention time.Duration
}

// Validate checks the request.
//
// Errors: NotValid with the field's name.
func (r Request) Validate() error {
	switch {
	case r.Team == "" || r.Service == "":
		return errors.NotValidf("Request.Validate: empty Team or Service")
	case r.Key == "" || len(r.Key) > MaxKey:
		return errors.NotValidf("Request.Validate: Key of %d bytes, allowed 1 to %d", len(r.Key), MaxKey)
	}
	return nil
}

// Path returns the record's key below the prefix of all claims. Its parts are
// escaped, so that two scopes never share a path.
func (r Request) Path() string {
	return url.PathEscape(string(r.Service)) + "/" + url.PathEscape(string(r.Team)) + "/" + url.PathEscape(r.Key)
}
