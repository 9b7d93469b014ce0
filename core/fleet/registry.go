// Package fleet keeps the list of replicas from the platform's store and from
// other VMs, and decides which of them may get new work.
//
// Each record has a revision of the store, and an older record never replaces a
// newer one, whichever source it comes from. A removed entry goes out of use at
// once, with two exceptions: after an outage of the store, and where a large part
// of a service's replicas is removed at the same time, removed entries stay in use
// for a grace period. The reason is that entries expire while the store cannot be
// written to, and are written again afterwards. The same holds where the store comes back
// from an older copy; its entries then do not make a leaving replica ready at once.
//
// Replicas soon exit after their removal, so grace periods count from when it may have
// happened at the earliest, and not from when this VM has learned of it.
//
// # Usage
//
//	r := fleet.New(fleet.Config{})
//	r.ApplySnapshot(now, since, revision, records) // all entries of the store
//	r.ApplyRecord(now, record)                     // a change received from another VM
//	r.StoreRecovered(now, lastDown)                // the store answers again after an outage
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
	// defaultOutageGracePeriod covers the time in which entries that expired during
	// an outage are written again, which the platform states as about two seconds.
	defaultOutageGracePeriod = 2300 * time.Millisecond
	// defaultOutageLimit is the time after which the known platforms count as stable.
	defaultOutageLimit = 3 * time.Second
	// defaultMassRemovalGracePeriod must be shorter than the time for which a replica
	// continues to serve after its entry was removed, two seconds on the known
	// platforms.
	defaultMassRemovalGracePeriod = 1500 * time.Millisecond
	// defaultMassRemovalFraction is half, as planned removals take fewer replicas at
	// the same time.
	defaultMassRemovalFraction = 0.5
)

// Config configures a Registry.
type Config struct {
	// OutageGracePeriod is how long after an outage of the store a removed entry
	// stays in use.
	OutageGracePeriod time.Duration
	// OutageLimit ends that period: it is how long after the store was last known to be down
	// a removed entry stays in use at most, however late this VM noticed the end of the outage.
	OutageLimit time.Duration
	// MassRemovalGracePeriod is how long removed entries stay in use where at least
	// MassRemovalFraction of a service's replicas, and at least two, are removed at
	// the same time.
	MassRemovalGracePeriod time.Duration
	MassRemovalFraction    float64
	// Era returns the number of times that the store had been restored from an older copy
	// at a revision. By default it never has been.
	Era func(revision int64) int64
}

// Defaults returns the config with its unset fields filled in.
func (c Config) Defaults() Config {
	c.OutageGracePeriod = cmp.Or(c.OutageGracePeriod, defaultOutageGracePeriod)
	c.OutageLimit = cmp.Or(c.OutageLimit, defaultOutageLimit)
	c.MassRemovalGracePeriod = cmp.Or(c.MassRemovalGracePeriod, defaultMassRemovalGracePeriod)
	c.MassRemovalFraction = cmp.Or(c.MassRemovalFraction, defaultMassRemovalFraction)
	if c.Era == nil {
		c.Era = func(int64) int64 { return 0 }
	}
	return c
}

// replica is the state of one replica.
type replica struct {
	record Record
	// usableUntil is set where the entry was removed but stays in use for a grace
	// period.
	usableUntil time.Time
	// held is an entry of a restored store by which a leaving or gone replica is ready,
	// which may be older. It is believed from heldUntil.
	held      *Record
	heldUntil time.Time
}

// Registry is the list of replicas.
type Registry struct {
	c Config
	// recovered is when the store was found to answer again after the latest outage; entries
	// may be missing from it until graceEnds.
	recovered, graceEnds time.Time
	// eraBegan is the revision of the first snapshot of the latest era. Records with later
	// revisions of that era were written after the store was restored.
	eraBegan int64
	replicas map[call.ReplicaID]*replica
}

// New returns an empty registry.
func New(c Config) *Registry {
	return &Registry{c: c.Defaults(), replicas: map[call.ReplicaID]*replica{}}
}

// StoreRecovered records that the store answers again after an outage, in which it was last
// known to be down at lastDown. It does nothing if the end of that outage is known already.
func (r *Registry) StoreRecovered(now, lastDown time.Time) {
	if !lastDown.After(r.recovered) {
		return
	}
	r.recovered, r.graceEnds = now, now.Add(r.c.OutageGracePeriod)
	if limit := lastDown.Add(r.c.OutageLimit); limit.Before(r.graceEnds) {
		r.graceEnds = limit
	}
}

// ApplySnapshot applies the list of all entries that the store holds at a revision. All
// removals in it were made after since. It returns the records that changed; that of a
// removed replica has no entry.
func (r *Registry) ApplySnapshot(now, since time.Time, revision int64, list Records) Records {
	if r.c.Era(revision) > r.c.Era(r.eraBegan) {
		r.eraBegan = revision
	}
	var changed Records
	present := make(map[call.ReplicaID]bool, len(list))
	for _, record := range list {
		present[record.ID] = true
		if r.ApplyRecord(now, record) {
			changed = append(changed, record)
		}
	}
	var missing []*replica
	for id, rep := range r.replicas {
		if !present[id] {
			rep.held = nil
		}
		if !present[id] && rep.record.Entry != nil && rep.usableUntil.IsZero() && rep.record.Revision <= revision {
			missing = append(missing, rep)
		}
	}
	slices.SortFunc(missing, func(a, b *replica) int { return cmp.Compare(a.record.ID, b.record.ID) })
	massRemovals := r.massRemovals(missing)
	for _, rep := range missing {
		changed = append(changed, Record{ID: rep.record.ID, Revision: revision})
		var until time.Time
		if massRemovals[rep.record.Entry.Service] {
			until = since.Add(r.c.MassRemovalGracePeriod)
		}
		r.remove(now, rep, revision, until)
	}
	r.prune(now)
	return changed
}

// ApplyRecord applies one record and reports whether it changed anything.
func (r *Registry) ApplyRecord(now time.Time, record Record) bool {
	rep := r.replicas[record.ID]
	if rep == nil {
		r.replicas[record.ID] = &replica{record: record}
		return true
	}
	if record.Revision < rep.record.Revision || record.Revision == rep.record.Revision && rep.usableUntil.IsZero() {
		return false
	}
	if rep.held != nil && record.Revision < rep.held.Revision {
		return false
	}
	if r.mayBeOlder(rep, record) {
		r.hold(now, rep, record)
		return false
	}
	rep.held = nil
	if record.Entry == nil && rep.record.Entry != nil {
		r.remove(now, rep, record.Revision, time.Time{})
		return true
	}
	rep.record, rep.usableUntil = record, time.Time{}
	return true
}

// mayBeOlder reports whether a record may bring back a replica that is leaving or gone only
// because the store was restored from a copy that has an older entry.
func (r *Registry) mayBeOlder(rep *replica, record Record) bool {
	isReady := record.Entry != nil && record.Entry.State == StateReady
	wasReady := rep.record.Entry != nil && rep.record.Entry.State == StateReady && rep.usableUntil.IsZero()
	if !isReady || wasReady || r.c.Era(record.Revision) <= r.c.Era(rep.record.Revision) {
		return false
	}
	writtenSince := r.c.Era(record.Revision) == r.c.Era(r.eraBegan) && record.Revision > r.eraBegan
	return !writtenSince
}

// hold keeps a record back for OutageGracePeriod, in which the replica writes again what
// the store has lost.
func (r *Registry) hold(now time.Time, rep *replica, record Record) {
	if rep.held == nil {
		rep.heldUntil = now.Add(r.c.OutageGracePeriod)
	}
	rep.held = &record
}

// release applies the records that were held back long enough.
func (r *Registry) release(now time.Time) {
	for _, rep := range r.replicas {
		if rep.held != nil && !now.Before(rep.heldUntil) {
			rep.record, rep.usableUntil, rep.held = *rep.held, time.Time{}, nil
		}
	}
}

// InGracePeriod reports whether a replica's entry was removed but stays in use.
func (r *Registry) InGracePeriod(now time.Time, id call.ReplicaID) bool {
	rep := r.replicas[id]
	return rep != nil && rep.inUse(now) && !rep.usableUntil.IsZero()
}

// massRemovals returns the services of which a large part of the entries is missing
// at the same time.
func (r *Registry) massRemovals(missing []*replica) map[call.Model]bool {
	removed := map[call.Model]int{}
	for _, rep := range missing {
		removed[rep.record.Entry.Service]++
	}
	all := map[call.Model]int{}
	for _, rep := range r.replicas {
		if rep.record.Entry != nil && rep.usableUntil.IsZero() {
			all[rep.record.Entry.Service]++
		}
	}
	out := map[call.Model]bool{}
	for service, n := range removed {
		out[service] = n > 1 && float64(n) >= r.c.MassRemovalFraction*float64(all[service])
	}
	return out
}

// remove takes an entry out of use: at the given time or, after an outage, at the end of its
// grace period if that is later, but not before now.
func (r *Registry) remove(now time.Time, rep *replica, revision int64, until time.Time) {
	rep.record.Revision = revision
	if r.graceEnds.After(until) {
		until = r.graceEnds
	}
	if until.After(now) {
		rep.usableUntil = until
		return
	}
	rep.record.Entry, rep.usableUntil = nil, time.Time{}
}

// maxTombstones is the number of records above which those of removed replicas are
// deleted. They accumulate because nearly every start of a replica has a new id.
const maxTombstones = 2048

// prune deletes the records of removed replicas once there are more than
// maxTombstones records.
func (r *Registry) prune(now time.Time) {
	if len(r.replicas) <= maxTombstones {
		return
	}
	maps.DeleteFunc(r.replicas, func(_ call.ReplicaID, rep *replica) bool { return !rep.inUse(now) })
}

func (rep *replica) inUse(now time.Time) bool {
	return rep.record.Entry != nil && (rep.usableUntil.IsZero() || rep.usableUntil.After(now))
}

// Usable returns the replicas that may get new work, ordered by id.
func (r *Registry) Usable(now time.Time) []Entry {
	r.release(now)
	var out []Entry
	for _, rep := range r.replicas {
		if rep.inUse(now) && rep.record.Entry.State == StateReady {
			out = append(out, *rep.record.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Records returns all records, including those of removed replicas, for a VM that
// cannot read the store.
func (r *Registry) Records() Records {
	out := make(Records, 0, len(r.replicas))
	for _, rep := range r.replicas {
		out = append(out, rep.record)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
