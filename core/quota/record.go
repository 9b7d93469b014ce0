package quota

import (
	"encoding/json"
	"math"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Record is what VMs tell each other of a replica's limit.
type Record struct {
	Replica call.ReplicaID
	// Version orders the records of a replica; the greatest one holds.
	Version uint64
	// Limit is the number of requests a second that the replica takes from all VMs; nil if it
	// does not name a limit any more.
	Limit *float64
}

// recordValue is the encoding of a Record without its replica and version.
type recordValue struct {
	Limit *float64 `json:"limit,omitempty"`
}

// Value returns the record in JSON, without its replica and version.
func (r Record) Value() []byte {
	value, err := json.Marshal(recordValue{Limit: r.Limit})
	if err != nil {
		// Marshalling fails only for numbers that no valid record has.
		return []byte("{}")
	}
	return value
}

// ParseRecord reads what Record.Value returns.
//
// Errors: NotValid.
func ParseRecord(id call.ReplicaID, version uint64, value []byte) (Record, error) {
	var v recordValue
	if err := json.Unmarshal(value, &v); err != nil {
		return Record{}, errors.NewNotValid(err, "ParseRecord: cannot decode the JSON")
	}
	if v.Limit != nil && !valid(*v.Limit) {
		return Record{}, errors.NotValidf("ParseRecord: limit %g (must be at least 0 and finite)", *v.Limit)
	}
	return Record{Replica: id, Version: version, Limit: v.Limit}, nil
}

// valid reports whether a number may be a limit.
func valid(limit float64) bool { return limit >= 0 && !math.IsInf(limit, 0) }
