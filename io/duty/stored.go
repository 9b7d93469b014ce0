package duty

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/usage"
)

// usagePrefix is the prefix of the keys of fixed windows.
const usagePrefix = "gentianwell/usage/"

// stored is the value of the key of a fixed window. It never changes.
type stored struct {
	Counts map[call.Team]int64 `json:"counts"`
	// AcceptedUntil is the last window up to which nothing was left to report when this one
	// was fixed.
	AcceptedUntil int64 `json:"acceptedUntil"`
}

func usageKey(window int64) string { return usagePrefix + strconv.FormatInt(window, 10) }

// encodeStored returns the value for a report; equal reports have equal values.
func encodeStored(r usage.Report, acceptedUntil int64) ([]byte, error) {
	raw, err := json.Marshal(stored{Counts: r.Requests, AcceptedUntil: acceptedUntil})
	return raw, errors.Trace(err)
}

// parseStored returns the report of a key and its value, and the window up to which nothing was
// left to report.
//
// Errors: NotValid with the key.
func parseStored(key string, value []byte) (usage.Report, int64, error) {
	window, err := strconv.ParseInt(strings.TrimPrefix(key, usagePrefix), 10, 64)
	if err != nil {
		return usage.Report{}, 0, errors.NotValidf("key %q (must be %sNUMBER)", key, usagePrefix)
	}
	var s stored
	if err := json.Unmarshal(value, &s); err != nil || s.Counts == nil {
		return usage.Report{}, 0, errors.NotValidf("value of %q: %q (must be an object with counts)", key, value)
	}
	return usage.Report{Window: window, Requests: s.Counts}, s.AcceptedUntil, nil
}
