package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/origin"
	"gentianwell/io/kvs"
)

const (
	// originWriteInterval is how often records of streams are written; the first event of a
	// stream waits for that.
	originWriteInterval = 50 * time.Millisecond
	// originWriteTimeout limits one write, originWriteBackoff is the wait after a failed one.
	originWriteTimeout = 500 * time.Millisecond
	originWriteBackoff = 200 * time.Millisecond
	// originWriteLate is the age from which a record that the store has not taken is told the
	// other VMs, originTellInterval how often that is tried.
	originWriteLate    = 100 * time.Millisecond
	originTellInterval = time.Second
	// maxOriginWrites is the number of records of one transaction, by the platform's limit.
	maxOriginWrites = 32
	// maxUnwritten limits the records that wait for the store.
	maxUnwritten = 4096
	// streamLease is longer than a stream may be taken up, streamLeaseUse is how long one lease
	// is used for new records.
	streamLease    = 10 * time.Minute
	streamLeaseUse = 4 * time.Minute
)

// originWriter writes records of streams to the platform's store, those of some tens of
// milliseconds in one transaction.
type originWriter struct {
	store kvs.Service
	now   func() time.Time
	log   logrus.FieldLogger
	// observe is called with the number of records written, or not written, by a transaction.
	observe func(written bool, records int)

	mu sync.Mutex
	// unwritten holds the records to write, in the order of ids; beingWritten those of the
	// transaction in progress.
	unwritten    map[string]*originRecord
	order        []string
	beingWritten map[string]*originRecord
	writing      bool
	retryAt      time.Time
	lease        kvs.LeaseID
	leaseAt      time.Time
}

// add adds a record to write and returns what is closed once it is known. Beyond maxUnwritten it is
// dropped and never known.
func (w *originWriter) add(id string, s origin.Stream) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	record := newOriginRecord(s, w.now())
	if _, waits := w.unwritten[id]; !waits {
		if len(w.unwritten) >= maxUnwritten {
			w.observe(false, 1)
			return record.known
		}
		w.order = append(w.order, id)
	}
	w.unwritten[id] = record
	return record.known
}

// pending returns what add has returned for a record that is not written yet, else nil.
func (w *originWriter) pending(id string) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, records := range []map[string]*originRecord{w.unwritten, w.beingWritten} {
		if record := records[id]; record != nil {
			return record.known
		}
	}
	return nil
}

// isLate reports whether a record waits that the store should have taken by now.
func (w *originWriter) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if now.Before(w.retryAt) || len(w.order) > 0 && now.Sub(w.unwritten[w.order[0]].added) >= originWriteLate {
		return true
	}
	for _, record := range w.beingWritten {
		if now.Sub(record.added) >= originWriteLate {
			return true
		}
	}
	return false
}

// takeLate returns the records to tell the other VMs: those that are late, or all, and have not been
// returned within originTellInterval.
func (w *originWriter) takeLate(now time.Time, all bool) map[string]*originRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]*originRecord{}
	for _, records := range []map[string]*originRecord{w.unwritten, w.beingWritten} {
		for id, record := range records {
			if !all && now.Sub(record.added) < originWriteLate || record.isKnown() || now.Sub(record.toldAt) < originTellInterval {
				continue
			}
			record.toldAt, out[id] = now, record
		}
	}
	return out
}

// reset forgets the lease, which the store may have lost.
func (w *originWriter) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease = 0
}

// start begins to write, unless there is nothing to write or a write is in progress.
func (w *originWriter) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.unwritten) == 0 || w.writing || w.now().Before(w.retryAt) {
		return
	}
	w.writing = true
	go w.writeAll()
}

// writeAll writes until nothing is left or a write fails.
func (w *originWriter) writeAll() {
	for w.takeBatch() && w.write() {
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
}

// takeBatch moves records to beingWritten and reports whether there are any.
func (w *originWriter) takeBatch() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.order), maxOriginWrites)
	w.beingWritten = make(map[string]*originRecord, n)
	for _, id := range w.order[:n] {
		w.beingWritten[id] = w.unwritten[id]
		delete(w.unwritten, id)
	}
	w.order = append([]string(nil), w.order[n:]...)
	return n > 0
}

// write writes the batch. If that fails, its records are written again later.
func (w *originWriter) write() bool {
	ctx, cancel := context.WithTimeout(context.Background(), originWriteTimeout)
	defer cancel()
	err := w.transact(ctx)
	if err != nil {
		w.retryLater(err)
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observe(true, len(w.beingWritten))
	for _, record := range w.beingWritten {
		record.setKnown()
	}
	w.beingWritten = nil
	return true
}

// retryLater puts the batch back after a failed write.
func (w *originWriter) retryLater(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observe(false, len(w.beingWritten))
	w.log.WithFields(logrus.Fields{"event": "streamWrite", "records": len(w.beingWritten)}).WithError(err).Info("records of streams were not written to the store, trying again")
	for id, record := range w.beingWritten {
		if _, newer := w.unwritten[id]; !newer && len(w.unwritten) < maxUnwritten {
			w.unwritten[id] = record
			w.order = append(w.order, id)
		}
	}
	w.beingWritten = nil
	w.retryAt = w.now().Add(originWriteBackoff)
}

func (w *originWriter) transact(ctx context.Context) error {
	lease, err := w.currentLease(ctx)
	if err != nil {
		return errors.Annotate(err, "originWriter.transact")
	}
	txn := kvs.Txn{}
	w.mu.Lock()
	for id, record := range w.beingWritten {
		value, err := json.Marshal(record.stream)
		if err != nil {
			w.log.WithFields(logrus.Fields{"event": "streamWrite", "stream": id}).WithError(err).Warn("record of a stream cannot be encoded")
			continue
		}
		txn.Then = append(txn.Then, kvs.Put(streamPrefix+id, value, lease))
	}
	w.mu.Unlock()
	_, err = w.store.Transact(ctx, txn)
	if errors.Is(err, kvs.ErrLeaseLapsed) {
		w.reset()
	}
	return errors.Annotate(err, "originWriter.transact")
}

// currentLease returns the lease for new records, a new one from time to time.
func (w *originWriter) currentLease(ctx context.Context) (kvs.LeaseID, error) {
	w.mu.Lock()
	lease, age := w.lease, w.now().Sub(w.leaseAt)
	w.mu.Unlock()
	if lease != 0 && age < streamLeaseUse {
		return lease, nil
	}
	granted, err := w.store.Grant(ctx, streamLease)
	if err != nil {
		return 0, errors.Trace(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease, w.leaseAt = granted.ID, w.now()
	return granted.ID, nil
}
