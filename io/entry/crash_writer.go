package entry

import (
	"context"
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
	// maxCrashWrites is the platform's limit for the entries of one transaction.
	maxCrashWrites = 32
	// crashLeaseUse is how long one lease is used for new records. It bounds how much
	// earlier than crashRetention a record may go.
	crashLeaseUse = time.Minute
)

// errCrashKnown means that the store has records of other VMs. They have been merged, and
// the write has to be repeated.
const errCrashKnown = errors.ConstError("the store has other records of these crashes")

// crashWriter writes records of crashes to the platform's store. Each fingerprint has one
// key, which all VMs write under the condition that it is as they know it.
//
// When a replica crashes, every request that was running on it gets a record, and almost
// none of them ever gets a second one. So no VM watches the keys of requests with one
// crash: a second VM that writes such a key learns of the first crash by its condition.
// Only then the request is suspect, and is written below suspectPrefix, which all watch.
// One crash of a replica thus costs each VM with requests on it one call.
type crashWriter struct {
	registry *poison.Registry
	store    kvs.Service
	now      func() time.Time
	log      logrus.FieldLogger

	mu sync.Mutex
	// unwritten holds the fingerprints whose records have to be written.
	unwritten map[poison.Fingerprint]bool
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

// add adds fingerprints to write, without those that are not in the store and have been
// exonerated already. Beyond maxCrashRecords, they are dropped.
func (w *crashWriter) add(fingerprints []poison.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, fp := range fingerprints {
		exonerated := w.registry.Judge(w.now(), fp).Reason == poison.ReasonExonerated
		if exonerated && w.revisions[w.key(fp)] == 0 || len(w.unwritten) >= maxCrashRecords {
			continue
		}
		w.unwritten[fp] = true
	}
}

// reset forgets what is known of the store.
func (w *crashWriter) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease = 0
	clear(w.revisions)
}

// start begins a write, unless there is nothing to write or a write is in progress.
func (w *crashWriter) start(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.unwritten) == 0 || w.writing || now.Before(w.retryAt) {
		return
	}
	w.writing = true
	batch := make([]poison.Fingerprint, 0, maxCrashWrites)
	for fp := range w.unwritten {
		if len(batch) == maxCrashWrites {
			break
		}
		batch = append(batch, fp)
		delete(w.unwritten, fp)
	}
	slices.Sort(batch)
	go w.write(batch)
}

// write writes records. Those that could not be written are written again later.
func (w *crashWriter) write(batch []poison.Fingerprint) {
	ctx, cancel := context.WithTimeout(context.Background(), crashWriteTimeout)
	defer cancel()
	err := w.writeBatch(ctx, batch)
	if err != nil {
		w.log.WithFields(logrus.Fields{"event": "crashWrite", "records": len(batch)}).WithError(err).Info("records of crashes were not written to the store, trying again")
		w.add(batch)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	if err != nil && !errors.Is(err, errCrashKnown) {
		w.retryAt = w.now().Add(crashWriteBackoff)
	}
}

// writeBatch writes records with a lease, which removes them after crashRetention.
func (w *crashWriter) writeBatch(ctx context.Context, batch []poison.Fingerprint) error {
	lease, err := w.currentLease(ctx)
	if err != nil {
		return errors.Annotate(err, "crashWriter.writeBatch")
	}
	txn := kvs.Txn{}
	for _, fp := range batch {
		key := w.key(fp)
		txn.Compares = append(txn.Compares, w.condition(key))
		txn.Then = append(txn.Then, kvs.Put(key, w.registry.Snapshot(fp).Value, lease))
	}
	result, err := w.store.Transact(ctx, txn)
	switch {
	case errors.Is(err, kvs.ErrLeaseLapsed):
		w.setLease(0)
		return errors.Annotate(err, "crashWriter.writeBatch")
	case err != nil:
		return errors.Annotate(err, "crashWriter.writeBatch")
	case !result.Succeeded:
		return w.mergeStored(ctx, batch)
	}
	w.written(txn, result.Revision)
	return nil
}

// key returns the key of a fingerprint's records.
func (w *crashWriter) key(fp poison.Fingerprint) string {
	if w.registry.Judge(w.now(), fp).Crashes >= suspectAfterCrashes {
		return suspectPrefix + fp.String()
	}
	return crashPrefix + fp.String()
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
// one key was not as expected. It returns errCrashKnown if that succeeds.
func (w *crashWriter) mergeStored(ctx context.Context, batch []poison.Fingerprint) error {
	for _, fp := range batch {
		key := w.key(fp)
		found, err := w.store.Get(ctx, key)
		if err != nil {
			return errors.Annotate(err, "crashWriter.mergeStored")
		}
		w.setRevision(key, found)
		if !found.Found {
			continue
		}
		if err := w.registry.MergeSnapshot(w.now(), fp, found.Entry.Value); err != nil {
			w.log.WithFields(logrus.Fields{"event": "crashStored", "key": key}).WithError(err).Warn("stored record of crashes is not valid, it is replaced")
		}
	}
	return errCrashKnown
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
