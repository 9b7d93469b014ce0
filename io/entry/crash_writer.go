package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/outbox"
	"gentianwell/core/poison"
	"gentianwell/io/kvs"
)

const (
	// crashPrefix and suspectPrefix are the prefixes of the keys of the records in the
	// platform's store: those of requests with one crash, and those of suspect ones.
	crashPrefix   = "gentianwell/crashes/"
	suspectPrefix = "gentianwell/suspects/"
	// crashWriteInterval is how often new records are written. All that were running on
	// one replica go into one write.
	crashWriteInterval = 100 * time.Millisecond
	// crashWriteTimeout limits one write, crashWriteBackoff is the wait after a failed one.
	crashWriteTimeout = time.Second
	crashWriteBackoff = 500 * time.Millisecond
	// maxCrashWrites limits the records of one transaction, to which the platform allows 32
	// entries: each record takes two, a condition and a write.
	maxCrashWrites = 16
	// crashWriteRate is the number of calls that all VMs together begin between two
	// crashWriteIntervals; each VM begins at least one, and more for suspects.
	crashWriteRate = 20
	// crashLeaseUse is how long one lease is used for new records. It bounds how much
	// earlier than crashRetention a record may go.
	crashLeaseUse = time.Minute
)

// errCrashKnown means that the store has records of other VMs. They have been merged, and
// the write has to be repeated.
const errCrashKnown = errors.ConstError("the store has other records of these crashes")

// errTrialTaken means that a trial is not due any more, because another VM has begun it.
const errTrialTaken = errors.ConstError("another VM has begun the trial")

// crashWriter writes records of crashes to the platform's store. Each request or part has one
// key, which all VMs write under the condition that it is as they know it.
//
// When a replica crashes, every request that was running on it gets a record, and almost
// none of them ever gets a second one. So no VM watches the keys of requests with one
// crash: a second VM that writes such a key learns of the first crash by its condition.
// Only then the request is suspect, and is written below suspectPrefix, which all watch.
// One crash of a replica thus costs each VM with requests on it one call.
type crashWriter struct {
	crashWriterConfig
	// queue holds the ids whose records have to be written; what is written is what the registries
	// know then.
	queue *outbox.Queue[crashID, struct{}]
	lease *recordLease

	mu sync.Mutex
	// revisions holds the revisions of keys that this VM has read or written last.
	revisions map[string]kvs.Revision
}

// crashWriterConfig configures a crashWriter.
type crashWriterConfig struct {
	registries crashRegistries
	store      kvs.Service
	now        func() time.Time
	log        logrus.FieldLogger
	// failed is called with records that the store has not taken. It may be nil.
	failed func([]crashID)
}

func newCrashWriter(c crashWriterConfig) (*crashWriter, error) {
	w := &crashWriter{crashWriterConfig: c, revisions: map[string]kvs.Revision{}}
	var err error
	w.queue, err = outbox.New(outbox.Config[crashID, struct{}]{Max: maxCrashRecords, MaxUrgent: 2 * maxCrashRecords, Urgent: w.isSuspect})
	if err != nil {
		return nil, errors.Annotate(err, "newCrashWriter")
	}
	w.lease = &recordLease{
		grant: func(ctx context.Context, ttl time.Duration) (kvs.Lease, error) { return w.store.Grant(ctx, ttl) },
		now:   func() time.Time { return w.now() }, ttl: crashRetention, use: crashLeaseUse,
	}
	return w, nil
}

// add adds ids to write, without those that are not in the store and have been exonerated
// already. Beyond maxCrashRecords they are dropped, suspects beyond twice as many.
func (w *crashWriter) add(ids []crashID) {
	for _, id := range ids {
		if !w.exoneratedHere(id) {
			w.queue.Put(w.now(), id, struct{}{})
		}
	}
}

// drop removes an id from those to write, as the store has all that counts of its records.
func (w *crashWriter) drop(id crashID) { w.queue.Remove(id, outbox.OutcomeKnown) }

// seen records the revision of an entry of the store whose records have been merged.
func (w *crashWriter) seen(entry kvs.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.revisions[entry.Key]; entry.ModRevision > known && (known != 0 || len(w.revisions) < maxCrashRecords) {
		w.revisions[entry.Key] = entry.ModRevision
	}
}

// exoneratedHere reports whether only this VM has known of crashes that do not count any more.
func (w *crashWriter) exoneratedHere(id crashID) bool {
	registry := w.registries.of(id.kind)
	if registry.Judge(w.now(), id.fingerprint).Reason != poison.ReasonExonerated || !registry.OnlyOwn(id.fingerprint) {
		return false
	}
	key := w.key(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revisions[key] == 0
}

// reset forgets what is known of the store.
func (w *crashWriter) reset() {
	w.lease.forget()
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.revisions)
}

// storeLost is reset for a store that may have lost records, those of a write in progress included.
func (w *crashWriter) storeLost() {
	w.reset()
	w.queue.Lost()
}

// start begins to write, unless there is nothing to write or a write is in progress.
func (w *crashWriter) start(now time.Time, vms int) {
	if w.queue.Begin(now) {
		go w.writeAll(max(1, crashWriteRate/max(1, vms)))
	}
}

// writeAll writes batches, up to a number of them and those with suspects, until one fails.
func (w *crashWriter) writeAll(most int) {
	defer w.queue.End()
	for i := range maxCrashRecords / maxCrashWrites {
		batch, suspects := w.nextBatch(i >= most)
		if len(batch) == 0 || !w.write(batch) || i+1 >= most && !suspects {
			return
		}
	}
}

// nextBatch takes ids to write in one transaction: suspects, or others if there are none and
// they may be written. Others could make the transaction fail, as several VMs write them. It
// also reports whether further suspects are left.
func (w *crashWriter) nextBatch(onlySuspects bool) ([]crashID, bool) {
	records := w.queue.Take(maxCrashWrites, onlySuspects)
	batch := make([]crashID, 0, len(records))
	for _, record := range records {
		batch = append(batch, record.ID)
	}
	slices.SortFunc(batch, func(a, b crashID) int { return cmp.Compare(a.String(), b.String()) })
	return batch, w.queue.HasUrgent()
}

// write writes records and reports whether it could. Those that could not be written are
// written again later.
func (w *crashWriter) write(batch []crashID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	left, err := w.writeBatch(ctx, batch)
	if err == nil {
		w.queue.Done(nil, time.Time{})
		return true
	}
	w.log.WithFields(logrus.Fields{"event": "crashWrite", "records": len(left)}).WithError(err).Info("records of crashes were not written to the store, trying again")
	again := slices.DeleteFunc(slices.Clone(left), w.exoneratedHere)
	if errors.Is(err, errCrashKnown) {
		w.queue.Done(again, time.Time{})
		return false
	}
	w.queue.Done(again, w.now().Add(crashWriteBackoff))
	if w.failed != nil {
		w.failed(left)
	}
	return false
}

// writeBatch writes records with a lease, which removes them after crashRetention. If that
// fails, it returns those that still have to be written.
func (w *crashWriter) writeBatch(ctx context.Context, batch []crashID) ([]crashID, error) {
	lease, err := w.lease.current(ctx)
	if err != nil {
		return batch, errors.Annotate(err, "crashWriter.writeBatch")
	}
	txn := kvs.Txn{}
	for _, id := range batch {
		key := w.key(id)
		txn.Compares = append(txn.Compares, w.condition(key))
		txn.Then = append(txn.Then, kvs.Put(key, w.registries.of(id.kind).Snapshot(id.fingerprint).Value, lease))
	}
	result, err := w.store.Transact(ctx, txn)
	switch {
	case errors.Is(err, kvs.ErrLeaseLapsed):
		w.lease.forget()
		return batch, errors.Annotate(err, "crashWriter.writeBatch")
	case err != nil:
		return batch, errors.Annotate(err, "crashWriter.writeBatch")
	case !result.Succeeded:
		return w.mergeStored(ctx, batch, result.Current)
	}
	w.written(txn, result.Revision)
	return nil, nil
}

// writeTrials claims trials of parts for this VM, with the records that the store has in force.
// It fails with errTrialTaken if another VM has been faster.
func (w *crashWriter) writeTrials(ctx context.Context, parts []poison.Fingerprint) error {
	for {
		now := w.now()
		lease, err := w.lease.current(ctx)
		if err != nil {
			return errors.Annotate(err, "crashWriter.writeTrials")
		}
		txn := kvs.Txn{}
		ids := make([]crashID, 0, len(parts))
		for _, part := range parts {
			if !w.registries.parts.TrialDue(now, part) {
				return errTrialTaken
			}
			id := crashID{crashPart, part}
			ids = append(ids, id)
			txn.Compares = append(txn.Compares, w.condition(w.key(id)))
			txn.Then = append(txn.Then, kvs.Put(w.key(id), w.registries.parts.TrialSnapshot(now, part).Value, lease))
		}
		result, err := w.store.Transact(ctx, txn)
		if errors.Is(err, kvs.ErrLeaseLapsed) {
			w.lease.forget()
		}
		if err != nil {
			return errors.Annotate(err, "crashWriter.writeTrials")
		}
		if result.Succeeded {
			// The trial has to be known before another write may follow this one.
			for _, part := range parts {
				w.registries.parts.BeginTrial(now, part)
			}
			w.written(txn, result.Revision)
			return nil
		}
		if _, err := w.mergeStored(ctx, ids, result.Current); !errors.Is(err, errCrashKnown) {
			return errors.Annotate(err, "crashWriter.writeTrials")
		}
	}
}

// key returns the key of the records of a request or part.
func (w *crashWriter) key(id crashID) string {
	if w.isSuspect(id) {
		return suspectPrefix + id.String()
	}
	return crashPrefix + id.String()
}

// isSuspect reports whether all VMs have to know of a request or part.
func (w *crashWriter) isSuspect(id crashID) bool {
	return w.registries.of(id.kind).Judge(w.now(), id.fingerprint).Crashes >= suspectAfterCrashes
}

// condition returns the condition that a key is as this VM last read or wrote it, or does
// not exist if it has done neither.
func (w *crashWriter) condition(key string) kvs.Compare {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision := w.revisions[key]; revision != 0 {
		return kvs.Unchanged(key, revision)
	}
	return kvs.Absent(key)
}

// written records the revision of keys that were written. Beyond maxCrashRecords all are
// dropped; a write then finds its key to exist and reads it.
func (w *crashWriter) written(txn kvs.Txn, revision kvs.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.revisions) >= maxCrashRecords {
		clear(w.revisions)
	}
	for _, op := range txn.Then {
		w.revisions[op.Key] = revision
	}
}

// mergeStored merges the stored records of a batch into the registry, because at least
// one key was not as expected. It returns errCrashKnown if that succeeds, and those of which
// the store does not have all that counts. current has the entries that came with the
// result; a key that is not among them is read, unless it is expected to be absent: then a
// further write tells.
func (w *crashWriter) mergeStored(ctx context.Context, batch []crashID, current []kvs.Entry) ([]crashID, error) {
	left := make([]crashID, 0, len(batch))
	for _, id := range batch {
		key := w.key(id)
		found, told := lookUp(current, key)
		if !told && len(current) > 0 && w.condition(key).Target == kvs.TargetCreate {
			left = append(left, id)
			continue
		}
		if !told {
			var err error
			if found, err = w.store.Get(ctx, key); err != nil {
				return batch, errors.Annotate(err, "crashWriter.mergeStored")
			}
		}
		w.setRevision(key, found)
		registry := w.registries.of(id.kind)
		if found.Found {
			if err := registry.MergeSnapshot(w.now(), id.fingerprint, found.Entry.Value); err != nil {
				w.log.WithFields(logrus.Fields{"event": "crashStored", "key": key}).WithError(err).Warn("stored record of crashes is not valid, it is replaced")
			}
		}
		if !found.Found || w.key(id) != key || registry.Adds(w.now(), id.fingerprint, found.Entry.Value) {
			left = append(left, id)
		}
	}
	return left, errCrashKnown
}

// lookUp returns the entry of a key, and whether there is one.
func lookUp(entries []kvs.Entry, key string) (kvs.Lookup, bool) {
	i := slices.IndexFunc(entries, func(e kvs.Entry) bool { return e.Key == key })
	if i < 0 {
		return kvs.Lookup{}, false
	}
	return kvs.Lookup{Found: true, Entry: entries[i]}, true
}

func (w *crashWriter) setRevision(key string, found kvs.Lookup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.revisions, key)
	if found.Found {
		w.revisions[key] = found.Entry.ModRevision
	}
}
