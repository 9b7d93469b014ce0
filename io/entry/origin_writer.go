package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/origin"
	"gentianwell/core/outbox"
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

// streamRecord is the record of a stream to write, by streamID.
type streamRecord = outbox.Record[string, origin.Stream]

// originWriterConfig configures an originWriter.
type originWriterConfig struct {
	store kvs.Service
	now   func() time.Time
	log   logrus.FieldLogger
	// observe is called with the number of records written, or not written, by a transaction.
	observe func(written bool, records int)
}

// originWriter writes records of streams to the platform's store, those of some tens of
// milliseconds in one transaction.
type originWriter struct {
	originWriterConfig
	queue *outbox.Queue[string, origin.Stream]
	lease *recordLease
}

func newOriginWriter(c originWriterConfig) (*originWriter, error) {
	// Only the same record covers another one: a stream must not begin at a version while the store
	// names another.
	queue, err := outbox.New(outbox.Config[string, origin.Stream]{
		Max: maxUnwritten, Covers: func(known, wanted origin.Stream) bool { return known == wanted },
	})
	if err != nil {
		return nil, errors.Annotate(err, "newOriginWriter")
	}
	w := &originWriter{originWriterConfig: c, queue: queue}
	w.lease = &recordLease{grant: c.store.Grant, now: c.now, ttl: streamLease, use: streamLeaseUse}
	return w, nil
}

// add adds a record to write and returns what tells whether it is known.
func (w *originWriter) add(id string, s origin.Stream) *outbox.Wait {
	wait := w.queue.Add(w.now(), id, s)
	if wait.Outcome() == outbox.OutcomeFull {
		w.observe(false, 1)
	}
	return wait
}

// put is add for a record that nobody waits for. It reports whether it was added.
func (w *originWriter) put(id string, s origin.Stream) bool {
	if w.queue.Put(w.now(), id, s) != outbox.OutcomePending {
		w.observe(false, 1)
		return false
	}
	return true
}

// isLate reports whether a record waits that the store should have taken by now.
func (w *originWriter) isLate() bool { return w.queue.IsLate(w.now(), originWriteLate) }

// takeLate returns the records to tell the other VMs: those that are late, or all, and have not been
// returned within originTellInterval.
func (w *originWriter) takeLate(now time.Time, all bool) []streamRecord {
	age := originWriteLate
	if all {
		age = 0
	}
	return w.queue.Late(now, age, originTellInterval)
}

// storeLost notes that the store may have lost records and the lease.
func (w *originWriter) storeLost() {
	w.lease.forget()
	w.queue.Lost()
}

// start begins to write, unless there is nothing to write or a write is in progress.
func (w *originWriter) start() {
	if w.queue.Begin(w.now()) {
		go w.writeAll()
	}
}

// writeAll writes until nothing is left or a write fails.
func (w *originWriter) writeAll() {
	defer w.queue.End()
	for {
		batch := w.queue.Take(maxOriginWrites, false)
		if len(batch) == 0 || !w.write(batch) {
			return
		}
	}
}

// write writes a batch. If that fails, its records are written again later.
func (w *originWriter) write(batch []streamRecord) bool {
	ctx, cancel := context.WithTimeout(context.Background(), originWriteTimeout)
	defer cancel()
	err := w.transact(ctx, batch)
	w.observe(err == nil, len(batch))
	if err == nil {
		w.queue.Done(nil, time.Time{})
		return true
	}
	w.log.WithFields(logrus.Fields{"event": "streamWrite", "records": len(batch)}).WithError(err).Info("records of streams were not written to the store, trying again")
	left := make([]string, 0, len(batch))
	for _, record := range batch {
		left = append(left, record.ID)
	}
	w.queue.Done(left, w.now().Add(originWriteBackoff))
	return false
}

func (w *originWriter) transact(ctx context.Context, batch []streamRecord) error {
	lease, err := w.lease.current(ctx)
	if err != nil {
		return errors.Annotate(err, "originWriter.transact")
	}
	txn := kvs.Txn{}
	for _, record := range batch {
		value, err := json.Marshal(record.Value)
		if err != nil {
			return errors.Annotatef(err, "originWriter.transact: stream %q", record.ID)
		}
		txn.Then = append(txn.Then, kvs.Put(streamPrefix+record.ID, value, lease))
	}
	_, err = w.store.Transact(ctx, txn)
	if errors.Is(err, kvs.ErrLeaseLapsed) {
		w.lease.forget()
	}
	return errors.Annotate(err, "originWriter.transact")
}
