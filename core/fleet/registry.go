// Package fleet keeps the list of replicas as the platform's store and the other
// VMs tell it, and decides which of them may get new work.
//
// Each record has a revision of the store, and an older one never replaces a
// newer one, whoever brings it. Entries that vanish are believed at once, with
// two exceptions: after an outage of the store, and where most replicas of a
// service vanish at the same time, they stay in use for a time, because entries
// lapse while the store cannot be written to, and come back.
//
// # Usage
//
//	r := fleet.New(fleet.Config{})
//	r.Listed(now, revision, records) // what the store holds in full
//	r.Heard(now, record)             // a change that another VM has seen
//	r.Regained(now)                  // the store answers again after an outage
//	use(r.Usable(now))
//
// A Registry is not safe for concurrent use.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gentianwell/core/call"
)

// The defaults of Config.
const (
	// defaultReturnTime is the time in which entries that lapsed during an outage
	// come back, about two seconds by the platform's word.
	defaultReturnTime = 2300 * time.Millisecond
	// defaultDoubtTime has to stay below the time for which a replica goes on
	// serving after its entry was removed, two seconds on the known platforms.
	defaultDoubtTime = 1500 * time.Millisecond
	// defaultDoubtShare is half: planned removals take away less at one time.
	defaultDoubtShare = 0.5
)

// Config configures a Registry.
type Config struct {
	// OutageGracePeriod is how long after an outage a missing entry stays in use.
	OutageGracePeriod time.Duration
	// MassRemovalGracePeriod is how long entries stay in use where at least DoubtShare of a
	// service's replicas, and two, vanish at one time.
	MassRemovalGracePeriod time.Duration
	MassRemovalFraction    float64
}

// Defaults returns the config with its unset fields filled in.
func (c Config) Defaults() Config {
	c.OutageGracePeriod = cmp.Or(c.OutageGracePeriod, defaultReturnTime)
	c.MassRemovalGracePeriod = cmp.Or(c.MassRemovalGracePeriod, defaultDoubtTime)
	c.MassRemovalFraction = cmp.Or(c.MassRemovalFraction, defaultDoubtShare)
	return c
}

// held is what is known of one replica.
type held struct {
	record Record
	// until is set for an entry that has vanished and stays in use for a time.
	until time.Time
}

// Registry is the list of replicas.
type Registry struct {
	c Config
	// returned is when the store came back; entries may be missing until then
	// plus ReturnTime.
	returned time.Time
	held     map[call.ReplicaID]*held
}

// New returns an empty registry.
func New(c Config) *Registry {
	return &Registry{c: c.Defaults(), held: map[call.ReplicaID]*held{}}
}

// StoreRecovered tells that the store answers again after an outage.
func (r *Registry) StoreRecovered(now time.Time) { r.returned = now }

// ApplySnapshot takes all entries that the store holds as of a revision. It returns the
// records that changed, those that vanished without an entry.
func (r *Registry) ApplySnapshot(now time.Time, revision int64, list Records) Records {
	var changed Records
	present := make(map[call.ReplicaID]bool, len(list))
	for _, record := range list {
		present[record.ID] = true
		if r.ApplyRecord(now, record) {
			changed = append(changed, record)
		}
	}
	var missing []*held
	for id, h := range r.held {
		if !present[id] && h.record.Entry != nil && h.until.IsZero() && h.record.Revision <= revision {
			missing = append(missing, h)
		}
	}
	slices.SortFunc(missing, func(a, b *held) int { return cmp.Compare(a.record.ID, b.record.ID) })
	doubted := r.doubted(missing)
	for _, h := range missing {
		changed = append(changed, Record{ID: h.record.ID, Revision: revision})
		r.vanish(now, h, revision, doubted[h.record.Entry.Service])
	}
	r.forget(now)
	return changed
}

// ApplyRecord takes one record and reports whether it is news.
func (r *Registry) ApplyRecord(now time.Time, record Record) bool {
	h := r.held[record.ID]
	if h == nil {
		r.held[record.ID] = &held{record: record}
		return true
	}
	if record.Revision < h.record.Revision || record.Revision == h.record.Revision && h.until.IsZero() {
		return false
	}
	if record.Entry == nil && h.record.Entry != nil {
		r.vanish(now, h, record.Revision, false)
		return true
	}
	h.record, h.until = record, time.Time{}
	return true
}

// doubted returns the services of which too many entries are missing at once.
func (r *Registry) doubted(missing []*held) map[call.Model]bool {
	gone := map[call.Model]int{}
	for _, h := range missing {
		gone[h.record.Entry.Service]++
	}
	all := map[call.Model]int{}
	for _, h := range r.held {
		if h.record.Entry != nil && h.until.IsZero() {
			all[h.record.Entry.Service]++
		}
	}
	out := map[call.Model]bool{}
	for service, n := range gone {
		out[service] = n > 1 && float64(n) >= r.c.MassRemovalFraction*float64(all[service])
	}
	return out
}

// vanish ends the use of an entry, at once or after a time.
func (r *Registry) vanish(now time.Time, h *held, revision int64, doubted bool) {
	h.record.Revision = revision
	until := now
	if !r.returned.IsZero() {
		until = r.returned.Add(r.c.OutageGracePeriod)
	}
	if doubted && now.Add(r.c.MassRemovalGracePeriod).After(until) {
		until = now.Add(r.c.MassRemovalGracePeriod)
	}
	if until.After(now) {
		h.until = until
		return
	}
	h.record.Entry, h.until = nil, time.Time{}
}

// maxTombstones bounds the memory of replicas that are gone; ids are new for
// nearly every start of a replica.
const maxTombstones = 2048

// forget drops what is known of gone replicas where there are too many.
func (r *Registry) forget(now time.Time) {
	if len(r.held) <= maxTombstones {
		return
	}
	maps.DeleteFunc(r.held, func(_ call.ReplicaID, h *held) bool { return !h.present(now) })
}

func (h *held) present(now time.Time) bool {
	return h.record.Entry != nil && (h.until.IsZero() || h.until.After(now))
}

// Usable returns the replicas that may get new work, in the order of their ids.
func (r *Registry) Usable(now time.Time) []Entry {
	var out []Entry
	for _, h := range r.held {
		if h.present(now) && h.record.Entry.State == StateReady {
			out = append(out, *h.record.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Records returns all records, those of gone replicas included, for a VM that
// cannot read the store.
func (r *Registry) Records() Records {
	out := make(Records, 0, len(r.held))
	for _, h := range r.held {
		out = append(out, h.record)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
