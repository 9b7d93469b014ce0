package outbox

import (
	"slices"
	"time"
)

// Begin reports whether the caller may write now. If so, it is the only one until End.
func (q *Queue[K, V]) Begin(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.busy || len(q.order) == 0 || now.Before(q.retryAt) {
		return false
	}
	q.busy = true
	return true
}

// End ends what Begin has begun.
func (q *Queue[K, V]) End() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.busy = false
}

// Busy reports whether a writer has begun and not ended.
func (q *Queue[K, V]) Busy() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.busy
}

// Take returns up to n records to write: urgent ones, or others if there are none and onlyUrgent is
// false. It returns none while a batch is in progress, which ends with Done.
func (q *Queue[K, V]) Take(n int, onlyUrgent bool) []Record[K, V] {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.batch) > 0 {
		return nil
	}
	taken := q.firstOf(n, func(id K) bool { return q.c.Urgent(id) })
	if len(taken) == 0 && !onlyUrgent {
		taken = q.firstOf(n, func(K) bool { return true })
	}
	q.lost = false
	out := make([]Record[K, V], 0, len(taken))
	for _, id := range taken {
		e := q.entries[id]
		e.queued, e.writing, e.written = false, e.seq, e.value
		out = append(out, Record[K, V]{ID: id, Value: e.value, seq: e.seq})
	}
	q.batch = taken
	q.order = slices.DeleteFunc(q.order, func(id K) bool { return !q.entries[id].queued })
	return out
}

// firstOf returns up to n queued ids for which a function is true.
func (q *Queue[K, V]) firstOf(n int, wanted func(K) bool) []K {
	var out []K
	for _, id := range q.order {
		if len(out) == n {
			break
		}
		if wanted(id) {
			out = append(out, id)
		}
	}
	return out
}

// HasUrgent reports whether urgent records wait.
func (q *Queue[K, V]) HasUrgent() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.order, q.c.Urgent)
}

// Done ends the batch in progress. The records of the ids left have not been written and are queued
// again, behind the others, so that a record that cannot be written does not hold those up. The
// next Begin fails until retryAt.
func (q *Queue[K, V]) Done(left []K, retryAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range q.batch {
		e := q.entries[id]
		if q.lost || slices.Contains(left, id) {
			q.enqueue(id, e)
		} else {
			e.becameKnown(e.writing, q.c.coversNewer(e.written, e.value))
		}
		e.writing = 0
		q.forgetIfDone(id, e)
	}
	q.batch, q.retryAt = nil, retryAt
}

// Lost notes that records may have been lost where they are written to. The success of a batch in
// progress does not count then; records written before are to be put again by the caller.
func (q *Queue[K, V]) Lost() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lost = true
}
