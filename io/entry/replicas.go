package entry

import (
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

// kindReplica is the kind of gossip items that tell changes of replicas' entries:
// the entry's bytes, none for one that is gone.
const kindReplica spread.Kind = "replica"

// replicaNews is how long a change is passed on: far longer than gossip takes to
// reach all VMs, and than VMs are usually cut off from the store.
const replicaNews = time.Minute

// replicas keeps the list of replicas and tells the router.
type replicas struct {
	prefix string
	record func(kvs.Entry) fleet.Record
	router *route.Router
	// know gets each new list.
	know func(route.Replicas)
	news *spread.Store
	now  func() time.Time
	log  logrus.FieldLogger

	mu       sync.Mutex
	registry *fleet.Registry
	// values holds the entries' bytes, for other VMs.
	values map[call.ReplicaID][]byte
	listed bool
	// used is how many replicas the last list had.
	used int
}

// known reports whether any list has been read.
func (r *replicas) known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// usable returns how many replicas may get new work.
func (r *replicas) usable() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.registry.Usable(r.now()))
}

// regained tells that the store answers again.
func (r *replicas) regained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.StoreRecovered(r.now())
}

// set takes what the store holds.
func (r *replicas) set(snap kvs.Snapshot) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	records := make(fleet.Records, 0, len(snap.Entries))
	for _, e := range snap.Entries {
		record := r.record(e)
		if record.Entry == nil {
			r.log.WithFields(logrus.Fields{"event": "replicaEntry", "key": e.Key, "revision": e.ModRevision}).Debug("entry names no replica")
		}
		records = append(records, record)
		r.values[record.ID] = e.Value
	}
	changed := r.registry.ApplySnapshot(now, int64(snap.Revision), records)
	for _, record := range changed {
		if record.Entry == nil {
			delete(r.values, record.ID)
		}
		if r.listed {
			r.tell(now, record)
		}
	}
	r.listed = true
	r.apply(now, changed, "store")
}

// tell puts a change into the gossip, for VMs that cannot read the store.
func (r *replicas) tell(now time.Time, record fleet.Record) {
	r.news.Put(now, spread.Item{
		ID:      spread.ID{Kind: kindReplica, Key: string(record.ID)},
		Version: uint64(record.Revision), Value: r.values[record.ID], Expires: now.Add(replicaNews),
	})
}

// heard takes a change from another VM.
func (r *replicas) heard(item spread.Item) {
	r.take([]kvs.Entry{{Key: r.prefix + item.Key, Value: item.Value, ModRevision: kvs.Revision(item.Version)}}, "peer")
}

// take takes single entries that another VM has.
func (r *replicas) take(entries []kvs.Entry, source string) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed fleet.Records
	for _, e := range entries {
		record := fleet.Record{ID: call.ReplicaID(strings.TrimPrefix(e.Key, r.prefix)), Revision: int64(e.ModRevision)}
		if len(e.Value) > 0 {
			record = r.record(e)
		}
		if !r.registry.ApplyRecord(now, record) {
			continue
		}
		changed = append(changed, record)
		if r.values[record.ID] = e.Value; len(e.Value) == 0 {
			delete(r.values, record.ID)
		}
	}
	r.apply(now, changed, source)
}

// adopted tells that the whole list of another VM was taken.
func (r *replicas) adopted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = true
}

// refresh drops entries whose time is over.
func (r *replicas) refresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed {
		r.apply(now, nil, "time")
	}
}

// apply gives the router the list; r.mu is held.
func (r *replicas) apply(now time.Time, changed fleet.Records, source string) {
	for _, record := range changed {
		fields := logrus.Fields{"event": "replica", "replica": record.ID, "revision": record.Revision, "source": source, "state": "gone"}
		if e := record.Entry; e != nil {
			fields["state"], fields["service"], fields["address"], fields["zone"] = e.State, e.Service, e.Address, e.Zone
		}
		r.log.WithFields(fields).Info("replica changed")
	}
	usable := r.registry.Usable(now)
	list := make(route.Replicas, 0, len(usable))
	for _, e := range usable {
		list = append(list, route.Replica{
			ID: e.ID, Zone: e.Zone, Address: e.Address, Models: []call.Model{e.Service}, Slots: e.Slots,
		})
	}
	r.router.SetReplicas(now, list)
	if len(changed) > 0 || len(list) != r.used {
		r.used = len(list)
		r.know(list)
	}
}

// entries returns everything that is known, for another VM.
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
