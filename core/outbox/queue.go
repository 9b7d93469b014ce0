package outbox

import (
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Queue holds the records that have to be written, those being written, and who waits for them.
type Queue[K comparable, V any] struct {
	c Config[K, V]

	mu      sync.Mutex
	seq     uint64
	entries map[K]*entry[V]
	// order holds the ids of the queued records, batch those of the records being written.
	order, batch []K
	// lost is true if records were lost since the batch in progress was taken.
	lost bool
	// busy is true between Begin and End; retryAt is when the next Begin may succeed.
	busy    bool
	retryAt time.Time
	closed  bool
}

// New returns an empty queue.
//
// Errors: NotValid.
func New[K comparable, V any](c Config[K, V]) (*Queue[K, V], error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "outbox.New")
	}
	return &Queue[K, V]{c: c, entries: map[K]*entry[V]{}}, nil
}

// Put adds a record, or replaces an earlier one of its id. The outcome is OutcomePending, or
// OutcomeFull or OutcomeClosed if the record was not added.
func (q *Queue[K, V]) Put(now time.Time, id K, value V) Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.put(now, id, value)
}

// Add is Put for a caller that waits for the record.
func (q *Queue[K, V]) Add(now time.Time, id K, value V) *Wait {
	q.mu.Lock()
	defer q.mu.Unlock()
	if o := q.put(now, id, value); o != OutcomePending {
		return Ended(o)
	}
	return q.entries[id].wait()
}

func (q *Queue[K, V]) put(now time.Time, id K, value V) Outcome {
	if q.closed {
		return OutcomeClosed
	}
	e := q.entries[id]
	q.seq++
	switch n := len(q.entries); {
	case e != nil:
		e.replace(now, q.seq, value, q.c.coversOlder(value, e.value), q.c.coversNewer(e.value, value))
	case n < q.c.Max, n < q.c.MaxUrgent && q.c.Urgent(id):
		e = &entry[V]{value: value, seq: q.seq, first: q.seq, added: now}
		q.entries[id] = e
	default:
		return OutcomeFull
	}
	q.enqueue(id, e)
	return OutcomePending
}

func (q *Queue[K, V]) enqueue(id K, e *entry[V]) {
	if !e.queued {
		e.queued = true
		q.order = append(q.order, id)
	}
}

// Pending returns a Wait for the newest record of an id, nil if there is none to write.
func (q *Queue[K, V]) Pending(id K) *Wait {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.entries[id]; e != nil {
		return e.wait()
	}
	return nil
}

// Remove takes the record of an id out of the queue and ends the waits for it. One that is being
// written is written, and comes back if that fails.
func (q *Queue[K, V]) Remove(id K, o Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[id]
	if e == nil {
		return
	}
	e.end(e.seq, o)
	if e.queued {
		e.queued = false
		q.order = slices.DeleteFunc(q.order, func(other K) bool { return other == id })
	}
	q.forgetIfDone(id, e)
}

func (q *Queue[K, V]) forgetIfDone(id K, e *entry[V]) {
	if !e.queued && e.writing == 0 {
		delete(q.entries, id)
	}
}

// Queued returns the ids of the records that have to be written, without those being written.
func (q *Queue[K, V]) Queued() []K {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.order)
}

// Len returns the number of records that wait or are being written.
func (q *Queue[K, V]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.entries)
}

// Close ends all waits and drops all records; none is added any more.
func (q *Queue[K, V]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.entries {
		e.end(e.seq, OutcomeClosed)
	}
	q.closed, q.order, q.batch = true, nil, nil
	clear(q.entries)
}
