package outbox

import "time"

// IsLate reports whether a record that was added a time ago or earlier is not written yet, or
// writes pause after a failed one.
func (q *Queue[K, V]) IsLate(now time.Time, age time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Before(q.retryAt) {
		return true
	}
	for _, ids := range [][]K{q.batch, q.order} {
		for _, id := range ids {
			if now.Sub(q.entries[id].added) >= age {
				return true
			}
		}
	}
	return false
}

// Late returns the newest records that are neither written nor known and were added an age ago or
// earlier, without those that it has returned less than a pause ago. They are to be made known in
// another way, and then passed to Known.
func (q *Queue[K, V]) Late(now time.Time, age, pause time.Duration) []Record[K, V] {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []Record[K, V]
	for _, ids := range [][]K{q.batch, q.order} {
		for _, id := range ids {
			e := q.entries[id]
			if e.known || now.Sub(e.added) < age || now.Sub(e.toldAt) < pause {
				continue
			}
			e.toldAt = now
			out = append(out, Record[K, V]{ID: id, Value: e.value, seq: e.seq})
		}
	}
	return out
}

// Known notes that a record that Late has returned has become known. It is still written.
func (q *Queue[K, V]) Known(r Record[K, V]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.entries[r.ID]; e != nil && e.becameKnown(r.seq, q.c.coversNewer(r.Value, e.value)) {
		e.known = true
	}
}
