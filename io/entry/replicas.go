package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/fleet"
	"gentianwell/core/route"
	"gentianwell/core/spread"
	"gentianwell/io/kvs"
)

// kindReplica is the kind of the gossip items for changes of replicas' entries. The
// value is the entry's bytes, or empty if the entry was removed.
const kindReplica spread.Kind = "replica"

// replicaItemTTL is how long a change is gossiped: far longer than gossip takes to reach
// all VMs, and than VMs are usually cut off from the store.
const replicaItemTTL = time.Minute

// removal is that of an entry that stays in use for a grace period.
type removal struct {
	record fleet.Record
	// wasReady is false if the replica had said that it leaves.
	wasReady bool
}

// replicas keeps the list of replicas and passes it to the router.
type replicas struct {
	prefix string
	parse  func(kvs.Entry) fleet.Record
	router *route.Router
	// onList is called with each new list, onVersions with the number of replicas of each
	// version, leaving ones included.
	onList     func(route.Replicas)
	onVersions func(time.Time, map[call.Model]map[call.Version]int)
	// onOutage is called with the prefix by which the end of an outage of the store was noticed.
	onOutage func(prefix string)
	// onEnded is called with each replica that has started again or gone, unless it was
	// leaving; restarted is true if it has started again under its id. It must return at once.
	onEnded func(id call.ReplicaID, restarted bool)
	// onItem is called with each change as it is gossiped, while mu is held. It must return at once;
	// it may be nil.
	onItem func(spread.Item)
	items  *spread.Store
	now    func() time.Time
	log    logrus.FieldLogger

	mu       sync.Mutex
	registry *fleet.Registry
	// values holds the entries' bytes, to send them to other VMs.
	values map[call.ReplicaID][]byte
	// latest holds the entries as last passed to noticeEnd.
	latest map[call.ReplicaID]fleet.Entry
	// unpublished holds the removals that are not gossiped before their grace period has
	// ended: the other VMs know of no grace period.
	unpublished []removal
	// listed is true once a complete list has been applied.
	listed bool
	// routed is the number of replicas in the last list given to the router.
	routed int
}

// hasList reports whether a complete list has been applied.
func (r *replicas) hasList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// usable returns the number of replicas that may get new work.
func (r *replicas) usable() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.registry.Usable(r.now()))
}

// storeRecovered tells the registry that the store answers again and how long ago it was last
// known to be down, by a read of a prefix.
func (r *replicas) storeRecovered(prefix string, lastDown time.Duration) {
	r.log.WithFields(logrus.Fields{"event": "storeOutage", "prefix": prefix, "lastDown": lastDown.String()}).Info("the store was down, entries that expired meanwhile stay in use for a grace period")
	r.onOutage(prefix)
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.StoreRecovered(now, now.Add(-lastDown))
}

// applySnapshot applies the list of all entries in the store.
func (r *replicas) applySnapshot(snap kvs.Snapshot) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	records := make(fleet.Records, 0, len(snap.Entries))
	for _, e := range snap.Entries {
		record := r.parse(e)
		if record.Unreadable = record.Entry == nil; record.Unreadable {
			r.log.WithFields(logrus.Fields{"event": "replicaEntry", "key": e.Key, "revision": e.ModRevision}).Debug("entry is not a valid replica")
		}
		records = append(records, record)
		r.values[record.ID] = e.Value
	}
	changed := r.registry.ApplySnapshot(now, now.Add(-snap.Delay), int64(snap.Revision), records)
	for _, record := range changed {
		if record.Entry == nil && !record.Unreadable {
			delete(r.values, record.ID)
		}
		switch {
		case !r.listed:
		case record.Entry == nil && !record.Unreadable && r.registry.InGracePeriod(now, record.ID):
			r.unpublished = append(r.unpublished, removal{record, r.latest[record.ID].State == fleet.StateReady})
		default:
			r.publish(now, record)
		}
	}
	r.listed = true
	r.updateRouter(now, changed, "store")
}

// publish gossips a change, for VMs that cannot read the store.
func (r *replicas) publish(now time.Time, record fleet.Record) {
	item := replicaItem(now, record, r.values[record.ID])
	r.items.Put(now, item)
	r.tell(item)
}

// applyItem applies a change from another VM.
func (r *replicas) applyItem(item spread.Item) {
	r.applyEntries([]kvs.Entry{{Key: r.prefix + item.Key, Value: item.Value, ModRevision: kvs.Revision(item.Version)}}, "peer")
}

// applyEntries applies entries received from another VM.
func (r *replicas) applyEntries(entries []kvs.Entry, source string) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed fleet.Records
	for _, e := range entries {
		record := fleet.Record{ID: call.ReplicaID(strings.TrimPrefix(e.Key, r.prefix)), Revision: int64(e.ModRevision)}
		if len(e.Value) > 0 {
			record = r.parse(e)
			record.Unreadable = record.Entry == nil
		}
		if !r.registry.ApplyRecord(now, record) {
			continue
		}
		changed = append(changed, record)
		if r.values[record.ID] = e.Value; len(e.Value) == 0 {
			delete(r.values, record.ID)
		}
		r.tell(replicaItem(now, record, e.Value))
	}
	r.updateRouter(now, changed, source)
}

// markListed records that the complete list of another VM has been applied.
func (r *replicas) markListed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = true
}

// refresh updates the router, without replicas whose grace period has ended.
func (r *replicas) refresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed {
		r.publishRemovals(now)
		r.updateRouter(now, nil, "time")
	}
}

// publishRemovals gossips the removals whose grace period has ended, unless the replica
// has registered again, and notices the ends of these replicas; r.mu is held.
func (r *replicas) publishRemovals(now time.Time) {
	r.unpublished = slices.DeleteFunc(r.unpublished, func(removal removal) bool {
		record := removal.record
		if r.registry.InGracePeriod(now, record.ID) {
			return false
		}
		if _, registered := r.values[record.ID]; !registered {
			r.publish(now, record)
			if removal.wasReady {
				r.onEnded(record.ID, false)
			}
		}
		return true
	})
}

// updateRouter logs the changes and passes the usable replicas to the router; r.mu is
// held.
func (r *replicas) updateRouter(now time.Time, changed fleet.Records, source string) {
	for _, record := range changed {
		fields := logrus.Fields{"event": "replica", "replica": record.ID, "revision": record.Revision, "source": source, "state": "gone"}
		if e := record.Entry; e != nil {
			fields["state"], fields["service"], fields["address"], fields["zone"] = e.State, e.Service, e.Address, e.Zone
			fields["version"] = e.Version
			if !e.Started.IsZero() {
				fields["started"] = e.Started.UTC()
			}
		}
		r.log.WithFields(fields).Info("replica changed")
		r.noticeEnd(now, record)
	}
	if len(changed) > 0 {
		r.onVersions(now, r.versions())
	}
	usable := r.registry.Usable(now)
	list := make(route.Replicas, 0, len(usable))
	for _, e := range usable {
		list = append(list, route.Replica{
			ID: e.ID, Zone: e.Zone, Address: e.Address, Models: []call.Model{e.Service}, Slots: e.Slots, Version: e.Version, Started: e.Started,
		})
	}
	r.router.SetReplicas(now, list)
	if len(changed) > 0 || len(list) != r.routed {
		r.routed = len(list)
		r.onList(list)
	}
}

// versions returns the number of entries of each version of each service; r.mu is held.
func (r *replicas) versions() map[call.Model]map[call.Version]int {
	out := map[call.Model]map[call.Version]int{}
	for _, e := range r.latest {
		if out[e.Service] == nil {
			out[e.Service] = map[call.Version]int{}
		}
		out[e.Service][e.Version]++
	}
	return out
}

// noticeEnd calls onEnded if a changed record shows that a replica has ended; r.mu is held.
// An entry that is missing together with many others may be back soon: publishRemovals calls
// onEnded if it is not. An entry that names no replica may have replaced that of one that runs.
func (r *replicas) noticeEnd(now time.Time, record fleet.Record) {
	before, known := r.latest[record.ID]
	switch {
	case record.Entry != nil:
		r.noticeReplaced(*record.Entry)
		r.latest[record.ID] = *record.Entry
		if known && !before.Started.IsZero() && !record.Entry.Started.IsZero() && !record.Entry.Started.Equal(before.Started) {
			r.onEnded(record.ID, true)
		}
	case known:
		delete(r.latest, record.ID)
		if before.State == fleet.StateReady && !record.Unreadable && !r.registry.InGracePeriod(now, record.ID) {
			r.onEnded(record.ID, false)
		}
	}
}

// noticeReplaced calls onEnded with the replicas whose address a new replica has; r.mu is held.
func (r *replicas) noticeReplaced(e fleet.Entry) {
	if _, known := r.latest[e.ID]; known {
		return
	}
	for id, other := range r.latest {
		if other.Address == e.Address && other.State == fleet.StateReady {
			r.onEnded(id, false)
		}
	}
}

// replaced notices the end of a replica at whose address another one has answered, unless it was
// leaving. It reports whether it has.
func (r *replicas) replaced(id call.ReplicaID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest[id].State != fleet.StateReady {
		return false
	}
	r.onEnded(id, false)
	return true
}

// entries returns all known entries, to send them to another VM. A removed one has no
// value.
func (r *replicas) entries() []kvs.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := r.registry.Records()
	out := make([]kvs.Entry, 0, len(records))
	for _, record := range records {
		out = append(out, kvs.Entry{Key: r.prefix + string(record.ID), Value: r.values[record.ID], ModRevision: kvs.Revision(record.Revision)})
	}
	return out
}

// tell calls onItem; r.mu is held.
func (r *replicas) tell(item spread.Item) {
	if r.onItem != nil {
		r.onItem(item)
	}
}

// replicaItem returns the gossip item for a change.
func replicaItem(now time.Time, record fleet.Record, value []byte) spread.Item {
	return spread.Item{
		ID:      spread.ID{Kind: kindReplica, Key: string(record.ID)},
		Version: uint64(record.Revision), Value: value, Expires: now.Add(replicaItemTTL),
	}
}

// digest returns a digest of the entries that exist.
func (r *replicas) digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.Digest()
}
