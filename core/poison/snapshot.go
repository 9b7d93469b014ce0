package poison

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// maxSnapshotBytes bounds the size of a snapshot that MergeSnapshot accepts.
const maxSnapshotBytes = 256 << 10

// Snapshot is what a registry knows of one fingerprint: the records of all VMs. It is for
// stores in which a fingerprint has one key that any VM writes.
type Snapshot struct {
	// Version grows with the records: of two snapshots of which one was merged into the
	// other, the merged one has the greater version or the same records.
	Version uint64
	// Value holds the records in JSON, by VM.
	Value []byte
}

// Snapshot returns the records of a fingerprint; the zero Snapshot if there are none.
func (r *Registry) Snapshot(fp Fingerprint) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[fp]
	if e == nil {
		return Snapshot{}
	}
	return e.snapshot()
}

func (e *entry) snapshot() Snapshot {
	var s Snapshot
	for _, record := range e.records {
		s.Version += record.version()
	}
	value, err := json.Marshal(e.records)
	if err != nil {
		// Marshalling fails only for times after year 9999, which do not occur.
		value = []byte("{}")
	}
	s.Value = value
	return s
}

// MergeSnapshot adds the records of a snapshot. Snapshots may arrive in any order and
// more than once.
//
// Errors: NotValid; the registry is then unchanged.
func (r *Registry) MergeSnapshot(now time.Time, fp Fingerprint, value []byte) error {
	var records map[call.VMID]Record
	if len(value) > maxSnapshotBytes {
		return errors.NotValidf("Registry.MergeSnapshot: size of %d bytes (must be at most %d)", len(value), maxSnapshotBytes)
	}
	if err := json.Unmarshal(value, &records); err != nil {
		return errors.NewNotValid(err, "Registry.MergeSnapshot: cannot decode the JSON")
	}
	for by, record := range records {
		if by == "" || record.Finishes < 0 {
			return errors.NotValidf("Registry.MergeSnapshot: record of VM %q with finishes %d (must have a VM and not be negative)", by, record.Finishes)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(now, fp)
	for by, record := range records {
		e.records[by] = e.records[by].Merge(record)
	}
	if _, own := records[r.c.Self]; own {
		e.published = true
	}
	e.updated = now
	r.adoptFinish(now, fp, e)
	return nil
}

// LacksOwn reports whether a snapshot lacks crashes of this VM's published record that count
// still. With Config.Successive, crashes of which it has those of other VMs do not matter
// unless they change the judgement.
func (r *Registry) LacksOwn(now time.Time, fp Fingerprint, value []byte) bool {
	stored := &entry{ahead: r.c.Ahead}
	if json.Unmarshal(value, &stored.records) != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[fp]
	if e == nil || !e.published {
		return false
	}
	if r.c.Successive {
		return r.addsCrashes(now, &entry{records: map[call.VMID]Record{r.c.Self: e.records[r.c.Self]}, ahead: r.c.Ahead}, stored, e.finishedAt())
	}
	counted := now.Add(-r.c.Retention)
	own, others := e.records[r.c.Self].Crashes.since(counted), stored.records[r.c.Self].Crashes.since(counted)
	return len(own) > len(others) || own.latest().After(others.latest())
}

// Adds reports whether the records of a fingerprint have crashes, trials or finishes that
// count and that a snapshot lacks. With Config.Successive, crashes before a known finish do
// not count, nor those of which the snapshot has records of other VMs, unless they change the
// judgement; a finish counts only if VMs that know the snapshot suspect the fingerprint.
func (r *Registry) Adds(now time.Time, fp Fingerprint, value []byte) bool {
	stored := &entry{ahead: r.c.Ahead}
	if json.Unmarshal(value, &stored.records) != nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[fp]
	if e == nil {
		return false
	}
	for by, record := range e.records {
		s := stored.records[by]
		m := s.Merge(record)
		if len(m.Trials) != len(s.Trials) || !latestTrial(m.Trials).Equal(latestTrial(s.Trials)) {
			return true
		}
		if !r.c.Successive && (len(m.Crashes) != len(s.Crashes) || !m.Crashes.latest().Equal(s.Crashes.latest()) || m.Finishes != s.Finishes) {
			return true
		}
	}
	return r.c.Successive && (r.addsCrashes(now, e, stored, e.finishedAt()) || r.clears(now, e, stored))
}

// addsCrashes reports whether an entry has crashes after a finish that stored lacks, or that
// make it be judged by more crashes.
func (r *Registry) addsCrashes(now time.Time, e, stored *entry, finishedAt time.Time) bool {
	finishedAt = later(finishedAt, stored.finishedAt())
	own := e.crashes(now, r.c).since(finishedAt)
	if len(own) == 0 {
		return false
	}
	known := stored.crashes(now, r.c)
	if !known.cover(own, r.c.CrashWindow) {
		return true
	}
	both := slices.Concat(known, own)
	slices.SortFunc(both, compareCrashes)
	return r.c.count(both, finishedAt) > r.c.count(known, finishedAt)
}

// clears reports whether a finish in an entry clears crashes that make stored suspect.
func (r *Registry) clears(now time.Time, e, stored *entry) bool {
	crashes := stored.crashes(now, r.c)
	before := r.c.count(crashes, stored.finishedAt())
	return before >= r.c.SuspectAfter && r.c.count(crashes, later(stored.finishedAt(), e.finishedAt())) < before
}

// Published returns the fingerprints of which this VM has a published record with crashes
// that count still, ordered.
func (r *Registry) Published(now time.Time) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Fingerprint
	for fp, e := range r.entries {
		if own := e.records[r.c.Self]; e.published && len(own.Crashes.since(now.Add(-r.c.Retention))) > 0 {
			out = append(out, fp)
		}
	}
	slices.Sort(out)
	return out
}

// OnlyOwn reports whether this VM alone has a record of a fingerprint, as far as it knows.
func (r *Registry) OnlyOwn(fp Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[fp]
	if e == nil {
		return false
	}
	_, own := e.records[r.c.Self]
	return own && len(e.records) == 1
}

// TakeChanged returns the fingerprints whose published records of this VM have changed
// since the last call. It is for users of Snapshot, in place of Pending.
func (r *Registry) TakeChanged(now time.Time) []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishDue(now)
	out := make([]Fingerprint, 0, len(r.pending))
	for fp := range r.pending {
		out = append(out, fp)
	}
	clear(r.pending)
	slices.Sort(out)
	return out
}
