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

// burst is how many transactions a VM may do at once after a rest: a few claims
// with their finishes.
const burst = 4

// writer groups writes into transactions, one of which is under way at a time.
type writer struct {
	config Config
	leases *leases
	// budget is this VM's share of the platform's transactions.
	budget *rate.Limiter

	mu    sync.Mutex
	queue []*item
	ready chan struct{}
}

func newWriter(c Config) *writer {
	return &writer{
		config: c, leases: newLeases(c), ready: make(chan struct{}, 1),
		budget: rate.NewLimiter(c.share(), burst),
	}
}

// write carries out one write. A write given up before its transaction began
// has no effect; one given up later may have one.
func (w *writer) write(ctx context.Context, req claim.Request, cw claim.Write) claim.Reply {
	value, err := cw.Put.Encode()
	if err != nil {
		return claim.Reply{Result: claim.ResultNoEffect}
	}
	it := &item{
		key: w.config.Prefix + req.Path(), retention: req.Retention,
		write: cw, value: value, reply: make(chan claim.Reply, 1),
	}
	if !w.enqueue(it) {
		return claim.Reply{Result: claim.ResultNoEffect}
	}
	select {
	case reply := <-it.reply:
		return reply
	case <-ctx.Done():
	}
	if w.dequeue(it) {
		return claim.Reply{Result: claim.ResultNoEffect}
	}
	return claim.Reply{Result: claim.ResultUnknown}
}

func (w *writer) enqueue(it *item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= w.config.MaxQueue {
		return false
	}
	w.queue = append(w.queue, it)
	w.signal()
	return true
}

// dequeue takes an item out again and reports whether it was still waiting.
func (w *writer) dequeue(it *item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.queue {
		if w.queue[i] == it {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (w *writer) signal() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.ready:
		}
		started := w.config.Now()
		if batch := w.take(); len(batch) > 0 {
			w.commit(ctx, batch)
			w.pace(ctx, started)
		}
	}
}

// pace waits until the next transaction is due; writes gather meanwhile.
func (w *writer) pace(ctx context.Context, started time.Time) {
	now := w.config.Now()
	w.budget.SetLimitAt(now, w.config.share())
	rest := max(w.config.MinTxnInterval-now.Sub(started), w.budget.ReserveN(now, 1).DelayFrom(now))
	if rest <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(rest):
	}
}

// take returns the next batch, in which no key occurs twice.
func (w *writer) take() []*item {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch, rest []*item
	keys := map[string]bool{}
	size := 0
	for _, it := range w.queue {
		if keys[it.key] || len(batch) > 0 && !w.fits(batch, size, it) {
			rest = append(rest, it)
			continue
		}
		keys[it.key] = true
		batch = append(batch, it)
		size += len(it.value)
	}
	w.queue = rest
	if len(rest) > 0 {
		w.signal()
	}
	return batch
}

// fits reports whether the item can join a batch of the given size in bytes.
func (w *writer) fits(batch []*item, size int, it *item) bool {
	if it.alone() || batch[0].alone() {
		return false
	}
	return len(batch) < w.config.MaxBatch && size+len(it.value) <= maxBatchBytes
}

// commit does one transaction and tells the outcome to all of its items.
func (w *writer) commit(ctx context.Context, batch []*item) {
	txn, err := w.transaction(ctx, batch)
	if err != nil {
		replyAll(batch, claim.Reply{Result: claim.ResultNoEffect})
		return
	}
	result, err := w.config.Service.Transact(ctx, txn)
	switch {
	case errors.Is(err, kvs.ErrLeaseLapsed):
		w.leases.forget()
		w.requeue(batch)
	case errors.Is(err, kvs.ErrUnavailable):
		replyAll(batch, claim.Reply{Result: claim.ResultNoEffect})
	case err != nil:
		replyAll(batch, claim.Reply{Result: claim.ResultUnknown})
	case result.Succeeded:
		replyAll(batch, claim.Reply{Result: claim.ResultCommitted, Revision: int64(result.Revision)})
	default:
		w.split(batch, result)
	}
}

// split answers the items whose own condition didn't hold. The others failed
// only with them and go again, alone after maxShared times, so that they surely
// get an answer.
func (w *writer) split(batch []*item, result kvs.TxnResult) {
	var again []*item
	for i, it := range batch {
		switch {
		case i >= len(result.Lookups):
			it.reply <- claim.Reply{Result: claim.ResultUnknown}
		case it.holds(result.Lookups[i]):
			it.shared++
			again = append(again, it)
		default:
			it.reply <- refused(result.Lookups[i])
		}
	}
	w.requeue(again)
}

// requeue puts items back to the front of the queue.
func (w *writer) requeue(items []*item) {
	if len(items) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(items, w.queue...)
	w.signal()
}

func (w *writer) transaction(ctx context.Context, batch []*item) (kvs.Txn, error) {
	var txn kvs.Txn
	for _, it := range batch {
		lease, err := w.leases.get(ctx, it.retention)
		if err != nil {
			return kvs.Txn{}, errors.Annotate(err, "writer.transaction")
		}
		txn.Compares = append(txn.Compares, it.compare())
		txn.Then = append(txn.Then, kvs.Put(it.key, it.value, lease))
		txn.Else = append(txn.Else, kvs.Get(it.key))
	}
	return txn, nil
}

func replyAll(batch []*item, reply claim.Reply) {
	for _, it := range batch {
		it.reply <- reply
	}
}
