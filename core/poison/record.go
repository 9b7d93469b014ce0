package poison

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Kind is the kind of gossip items that hold records.
const Kind = "suspect"

// maxItemBytes bounds the size of a record that ParseRecord accepts.
const maxItemBytes = 4096

// Fingerprint is a hash that identifies a request, or a part of the prompts of many.
type Fingerprint uint64

// Record holds what one VM has observed of a fingerprint.
type Record struct {
	Crashes Crashes `json:"crashes"`
	// Finishes counts the runs that succeeded since the first crash.
	Finishes int `json:"finishes,omitempty"`
	// FinishedAt is when the latest run finished, of those that were counted.
	FinishedAt time.Time `json:"finishedAt,omitzero"`
	// Trials are the times of the VM's trials, ordered; see Registry.TrialDue.
	Trials []time.Time `json:"trials,omitempty"`
}

// ParseRecord reads a record from JSON.
//
// Errors: NotValid.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if len(value) > maxItemBytes {
		return Record{}, errors.NotValidf("ParseRecord: size of %d bytes (must be at most %d)", len(value), maxItemBytes)
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.NewNotValid(err, "ParseRecord: cannot decode the JSON")
	}
	if r.Finishes < 0 {
		return Record{}, errors.NotValidf("ParseRecord: finishes %d (must not be negative)", r.Finishes)
	}
	return r, nil
}

// Merge combines two records of the same VM. It is commutative, associative and
// idempotent.
func (r Record) Merge(other Record) Record {
	return Record{
		Crashes: r.Crashes.merge(other.Crashes), Finishes: max(r.Finishes, other.Finishes),
		FinishedAt: later(r.FinishedAt, other.FinishedAt), Trials: mergeTrials(r.Trials, other.Trials),
	}
}

// version grows with each change of a record, also of one whose list of crashes is full. It
// counts microseconds, so that the sum over the records of some thousand VMs fits.
func (r Record) version() uint64 {
	n := uint64(len(r.Crashes) + r.Finishes)
	for _, at := range r.Trials {
		n += uint64(max(0, at.UnixMicro()))
	}
	for _, crash := range r.Crashes {
		n += uint64(max(0, crash.At.UnixMicro()))
	}
	if !r.FinishedAt.IsZero() {
		n += uint64(max(0, r.FinishedAt.UnixMicro()))
	}
	return n
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Item is a record encoded for gossip. Each key has a single writer.
type Item struct {
	Key     string
	Version uint64
	Value   []byte
	Expires time.Time
}

// Items is a list of items, ordered by key.
type Items []Item

// String returns the fingerprint in hexadecimal.
func (fp Fingerprint) String() string { return strconv.FormatUint(uint64(fp), 16) }

// ParseFingerprint parses what Fingerprint.String returns.
//
// Errors: NotValid.
func ParseFingerprint(text string) (Fingerprint, error) {
	fp, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.NotValidf("fingerprint %q (must be hexadecimal, at most 16 digits)", text)
	}
	return Fingerprint(fp), nil
}

func itemKey(fp Fingerprint, by call.VMID) string { return fp.String() + "/" + string(by) }

func parseItemKey(key string) (Fingerprint, call.VMID, error) {
	hex, by, found := strings.Cut(key, "/")
	fp, err := strconv.ParseUint(hex, 16, 64)
	if err != nil || !found || by == "" {
		return 0, "", errors.NotValidf("item key %q (must be a hexadecimal fingerprint, a slash and a VM id)", key)
	}
	return Fingerprint(fp), call.VMID(by), nil
}
