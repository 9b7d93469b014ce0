package entry

import (
	"strings"

	"github.com/juju/errors"

	"gentianwell/core/poison"
	"gentianwell/core/spread"
)

// crashKind is the kind of what crashes replicas.
type crashKind string

// The kinds: a request that comes again as it is, or a part of the prompts of many.
const (
	crashRequest crashKind = "request"
	crashPart    crashKind = "part"
)

// gossipKind returns the kind of the gossip items for records of this kind.
func (k crashKind) gossipKind() spread.Kind {
	if k == crashPart {
		return kindPartCrash
	}
	return kindCrash
}

// partKeyPrefix distinguishes the keys of parts from those of requests.
const partKeyPrefix = "part-"

// crashID identifies the records of one request or part.
type crashID struct {
	kind        crashKind
	fingerprint poison.Fingerprint
}

// String returns the id as it is in keys of the store and of gossip items.
func (id crashID) String() string {
	if id.kind == crashPart {
		return partKeyPrefix + id.fingerprint.String()
	}
	return id.fingerprint.String()
}

// parseCrashID parses what crashID.String returns.
//
// Errors: NotValid.
func parseCrashID(key string) (crashID, error) {
	id := crashID{kind: crashRequest}
	hex, isPart := strings.CutPrefix(key, partKeyPrefix)
	if isPart {
		id.kind = crashPart
	}
	var err error
	id.fingerprint, err = poison.ParseFingerprint(hex)
	return id, errors.Annotatef(err, "key %q", key)
}

// crashRegistries holds the records of requests and those of parts.
type crashRegistries struct{ requests, parts *poison.Registry }

// of returns the registry for a kind.
func (r crashRegistries) of(kind crashKind) *poison.Registry {
	if kind == crashPart {
		return r.parts
	}
	return r.requests
}
