package claims

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"gentianwell/core/claim"
	"gentianwell/io/kvs"
)

// burst is how many transactions a VM may make without delay after an idle time:
// enough for a few claims and their finishes.
const burst = 4

// writer groups writes into transactions and makes one transaction at a time.
type writer struct {
	config Config
	leases *leases
	kept   *kept
	// limiter limits the rate to this VM's share of Config.MaxRate.
	limiter *rate.Limiter

	mu    sync.Mutex
	queue []*queuedWrite
	// ready has an element if the queue may hold writes.
	ready chan struct{}
}

func newWriter(c Config, k *kept) *writer {
	return &writer{
		config: c, leases: newLeases(c), kept: k, ready: make(chan struct{}, 1),
		limiter: rate.NewLimiter(c.share(), burst),
	}
}

// write makes one write. If ctx is done before the write's transaction has started,
// the write has no effect; if ctx is done later, the result is unknown.
func (w *writer) write(ctx context.Context, req claim.Request, cw claim.Write) claim.Reply {
	value, err := cw.Put.Encode()
	if err != nil {
		return claim.Reply{Result: claim.ResultNoEffect}
	}
	q := &queuedWrite{
		key: w.config.Prefix + req.Path(), request: req,
		write: cw, value: value, reply: make(chan claim.Reply, 1),
	}
	if !w.enqueue(q) {
		return claim.Reply{Result: claim.ResultNoEffect}
	}
	select {
	case reply := <-q.reply:
		return reply
	case <-ctx.Done():
	}
	if w.dequeue(q) {
		return claim.Reply{Result: claim.ResultNoEffect}
	}
	return claim.Reply{Result: claim.ResultUnknown}
}

// enqueue adds a write to the queue and reports whether there was room.
func (w *writer) enqueue(q *queuedWrite) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= w.config.MaxQueue {
		return false
	}
	w.queue = append(w.queue, q)
	w.signal()
	return true
}

// dequeue removes a write from the queue and reports whether it was still there.
func (w *writer) dequeue(q *queuedWrite) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.queue {
		if w.queue[i] == q {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			return true
		}
	}
	return false
}

// signal wakes up run.
func (w *writer) signal() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// run makes transactions of the queued writes until ctx is done.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.ready:
		}
		started := w.config.Now()
		if batch := w.nextBatch(); len(batch) > 0 {
			w.commit(ctx, batch)
			w.waitForNextTxn(ctx, started)
		}
	}
}

// waitForNextTxn waits until the next transaction may start. Writes that are queued
// meanwhile share it.
func (w *writer) waitForNextTxn(ctx context.Context, started time.Time) {
	now := w.config.Now()
	w.limiter.SetLimitAt(now, w.config.share())
	rest := max(w.config.MinTxnInterval-now.Sub(started), w.limiter.ReserveN(now, 1).DelayFrom(now))
	if rest <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(rest):
	}
}

// nextBatch removes the writes of the next transaction from the queue. No key occurs
// twice in them.
func (w *writer) nextBatch() []*queuedWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch, rest []*queuedWrite
	keys := map[string]bool{}
	size := 0
	for _, q := range w.queue {
		if keys[q.key] || len(batch) > 0 && !w.fits(batch, size, q) {
			rest = append(rest, q)
			continue
		}
		keys[q.key] = true
		batch = append(batch, q)
		size += len(q.value)
	}
	w.queue = rest
	if len(rest) > 0 {
		w.signal()
	}
	return batch
}

// fits reports whether a write may be added to a batch whose values have the given
// size in bytes.
func (w *writer) fits(batch []*queuedWrite, size int, q *queuedWrite) bool {
	if q.needsOwnTxn() || batch[0].needsOwnTxn() {
		return false
	}
	return len(batch) < w.config.MaxBatch && size+len(q.value) <= maxBatchBytes
}

// commit makes one transaction and replies to its writes or queues them again.
func (w *writer) commit(ctx context.Context, batch []*queuedWrite) {
	txn, err := w.transaction(ctx, batch)
	if err != nil {
		replyAll(batch, claim.Reply{Result: claim.ResultNoEffect})
		return
	}
	result, err := w.config.Service.Transact(ctx, txn)
	if err == nil {
		w.observe(result.Revision)
	}
	switch {
	case errors.Is(err, kvs.ErrLeaseLapsed):
		w.leases.discard()
		w.requeue(batch)
	case errors.Is(err, kvs.ErrUnavailable):
		replyAll(batch, claim.Reply{Result: claim.ResultNoEffect})
	case err != nil:
		replyAll(batch, claim.Reply{Result: claim.ResultUnknown})
	case result.Succeeded:
		for _, q := range batch {
			w.kept.keep(q.request, q.write.Put, result.Revision.Era())
		}
		replyAll(batch, claim.Reply{Result: claim.ResultCommitted, Revision: int64(result.Revision)})
	default:
		w.replyOrRequeue(batch, result)
	}
}

// replyOrRequeue handles a transaction that failed. Writes whose own condition was not
// met are refused. The others failed only because of these and are queued again;
// after maxSharedFailures times each gets a transaction of its own, so that it is
// certain to get a reply.
func (w *writer) replyOrRequeue(batch []*queuedWrite, result kvs.TxnResult) {
	var again []*queuedWrite
	for i, q := range batch {
		switch {
		case i >= len(result.Lookups):
			q.reply <- claim.Reply{Result: claim.ResultUnknown}
		case q.conditionMet(result.Lookups[i]):
			q.sharedFailures++
			again = append(again, q)
		default:
			w.keepIfLost(q, result.Revision)
			q.reply <- refusedReply(result.Lookups[i])
		}
	}
	w.requeue(again)
}

// keepIfLost keeps the end of a claim that was refused because the claim was made before
// the service was restored.
func (w *writer) keepIfLost(q *queuedWrite, now kvs.Revision) {
	if era := kvs.Revision(q.write.IfRevision).Era(); q.write.IfRevision != 0 && era < now.Era() {
		w.kept.keep(q.request, q.write.Put, era)
	}
}

// observe takes note of the service's era. If it has risen, the leases of the era before
// are gone, and their ids are given out again.
func (w *writer) observe(r kvs.Revision) {
	if w.kept.observe(r) {
		w.leases.discard()
	}
}

// requeue puts writes back at the front of the queue.
func (w *writer) requeue(batch []*queuedWrite) {
	if len(batch) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(batch, w.queue...)
	w.signal()
}

// transaction builds the transaction for a batch. If a condition is not met, it
// looks up the keys instead.
func (w *writer) transaction(ctx context.Context, batch []*queuedWrite) (kvs.Txn, error) {
	var txn kvs.Txn
	for _, q := range batch {
		lease, err := w.leases.get(ctx, q.request.Retention)
		if err != nil {
			return kvs.Txn{}, errors.Annotate(err, "writer.transaction")
		}
		txn.Compares = append(txn.Compares, q.compare())
		txn.Then = append(txn.Then, kvs.Put(q.key, q.value, lease))
		txn.Else = append(txn.Else, kvs.Get(q.key))
	}
	return txn, nil
}

func replyAll(batch []*queuedWrite, reply claim.Reply) {
	for _, q := range batch {
		q.reply <- reply
	}
}
