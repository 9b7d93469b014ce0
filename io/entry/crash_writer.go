package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

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
	registries crashRegistries
	store      kvs.Service
	now        func() time.Time
	log        logrus.FieldLogger
	// failed is called with records that the store has not taken. It may be nil.
	failed func([]crashID)

	mu sync.Mutex
	// unwritten holds the ids whose records have to be written.
	unwritten map[crashID]bool
	// revisions holds the revisions of keys that this VM has read or written last.
	revisions map[string]kvs.Revision
	// writing is true while a write is in progress; retryAt is when the next one may
	// begin after a failed one.
	writing bool
	retryAt time.Time
	// lease is the lease of the records, granted at leaseAt; zero if there is none.
	lease   kvs.LeaseID
	leaseAt time.Time
}

// add adds ids to write, without those that are not in the store and have been exonerated
// already. Beyond maxCrashRecords they are dropped, suspects beyond twice as many.
func (w *crashWriter) add(ids []crashID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		if w.exoneratedHere(id) {
			continue
		}
		if n := len(w.unwritten); n < maxCrashRecords || n < 2*maxCrashRecords && w.isSuspect(id) {
			w.unwritten[id] = true
		}
	}
}

// drop removes an id from those to write.
func (w *crashWriter) drop(id crashID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.unwritten, id)
}

// seen records the revision of an entry of the store whose records have been merged.
func (w *crashWriter) seen(entry kvs.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.revisions[entry.Key]; entry.ModRevision > known && (known != 0 || len(w.revisions) < maxCrashRecords) {
		w.revisions[entry.Key] = entry.ModRevision
	}
}

// waiting returns the ids whose records have to be written.
func (w *crashWriter) waiting() []crashID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.unwritten))
}

// exoneratedHere reports whether only this VM has known of crashes that do not count any more.
func (w *crashWriter) exoneratedHere(id crashID) bool {
	registry := w.registries.of(id.kind)
	return registry.Judge(w.now(), id.fingerprint).Reason == poison.ReasonExonerated &&
		registry.OnlyOwn(id.fingerprint) && w.revisions[w.key(id)] == 0
}

// reset forgets what is known of the store.
func (w *crashWriter) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease = 0
	clear(w.revisions)
}

// start begins to write, unless there is nothing to write or a write is in progress.
func (w *crashWriter) start(now time.Time, vms int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.unwritten) == 0 || w.writing || now.Before(w.retryAt) {
		return
	}
	w.writing = true
	go w.writeAll(max(1, crashWriteRate/max(1, vms)))
}

// writeAll writes batches, up to a number of them and those with suspects, until one fails.
func (w *crashWriter) writeAll(most int) {
	for i := range maxCrashRecords / maxCrashWrites {
		batch, suspects := w.nextBatch(i >= most)
		if len(batch) == 0 || !w.write(batch) || i+1 >= most && !suspects {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
}

// nextBatch takes ids to write in one transaction: suspects, or others if there are none and
// they may be written. Others could make the transaction fail, as several VMs write them. It
// also reports whether further suspects are left.
func (w *crashWriter) nextBatch(onlySuspects bool) ([]crashID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var suspects, others []crashID
	for id := range w.unwritten {
		if w.isSuspect(id) {
			suspects = append(suspects, id)
		} else {
			others = append(others, id)
		}
	}
	batch := suspects
	if len(suspects) == 0 && !onlySuspects {
		batch = others
	}
	batch = batch[:min(len(batch), maxCrashWrites)]
	for _, id := range batch {
		delete(w.unwritten, id)
	}
	slices.SortFunc(batch, func(a, b crashID) int { return cmp.Compare(a.String(), b.String()) })
	return batch, len(suspects) > len(batch)
}

// write writes records and reports whether it could. Those that could not be written are
// written again later.
func (w *crashWriter) write(batch []crashID) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	left, err := w.writeBatch(ctx, batch)
	if err != nil {
		w.log.WithFields(logrus.Fields{"event": "crashWrite", "records": len(left)}).WithError(err).Info("records of crashes were not written to the store, trying again")
		w.add(left)
		if w.failed != nil && !errors.Is(err, errCrashKnown) {
			w.failed(left)
		}
	}
	if err != nil && !errors.Is(err, errCrashKnown) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.retryAt = w.now().Add(crashWriteBackoff)
	}
	return err == nil
}

// writeBatch writes records with a lease, which removes them after crashRetention. If that
// fails, it returns those that still have to be written.
func (w *crashWriter) writeBatch(ctx context.Context, batch []crashID) ([]crashID, error) {
	lease, err := w.currentLease(ctx)
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
		w.setLease(0)
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
		lease, err := w.currentLease(ctx)
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
			w.setLease(0)
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

// currentLease returns the lease for new records, a new one from time to time.
func (w *crashWriter) currentLease(ctx context.Context) (kvs.LeaseID, error) {
	w.mu.Lock()
	lease, age := w.lease, w.now().Sub(w.leaseAt)
	w.mu.Unlock()
	if lease != 0 && age < crashLeaseUse {
		return lease, nil
	}
	granted, err := w.store.Grant(ctx, crashRetention)
	if err != nil {
		return 0, errors.Trace(err)
	}
	w.setLease(granted.ID)
	return granted.ID, nil
}

func (w *crashWriter) setLease(id kvs.LeaseID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease, w.leaseAt = id, w.now()
}
