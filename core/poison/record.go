package poison

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Kind is the kind of the records' items in gossip.
const Kind = "suspect"

// maxItemBytes bounds what ParseRecord reads.
const maxItemBytes = 4096

// Fingerprint identifies a request's body.
type Fingerprint uint64

// Record is what one VM has seen of a fingerprint.
type Record struct {
	Crashes Crashes `json:"crashes"`
	// Finishes counts the runs that ended well since the first crash.
	Finishes int `json:"finishes,omitempty"`
}

// ParseRecord reads a record from JSON.
//
// Errors: NotValid.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if len(value) > maxItemBytes {
		return Record{}, errors.NotValidf("ParseRecord: %d bytes, at most %d", len(value), maxItemBytes)
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.NewNotValid(err, "ParseRecord")
	}
	if r.Finishes < 0 {
		return Record{}, errors.NotValidf("ParseRecord: finishes %d", r.Finishes)
	}
	return r, nil
}

// Merge joins two records of the same VM. It is commutative, associative and
// idempotent.
func (r Record) Merge(other Record) Record {
	return Record{Crashes: r.Crashes.merge(other.Crashes), Finishes: max(r.Finishes, other.Finishes)}
}

// Item is a record in the form in which it spreads. Each key has one writer.
type Item struct {
	Key     string
	Version uint64
	Value   []byte
	Expires time.Time
}

// Items is a list of items in the order of their keys.
type Items []Item

func itemKey(fp Fingerprint, by call.VMID) string {
	return strconv.FormatUint(uint64(fp), 16) + "/" + string(by)
}

func parseItemKey(key string) (Fingerprint, call.VMID, error) {
	hex, by, found := strings.Cut(key, "/")
	fp, err := strconv.ParseUint(hex, 16, 64)
	if err != nil || !found || by == "" {
		return 0, "", errors.NotValidf("item key %q", key)
	}
	return Fingerprint(fp), call.VMID(by), nil
}
