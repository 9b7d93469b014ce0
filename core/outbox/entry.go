package outbox

import "time"

// entry is the newest record of an id, and what is being written of it.
type entry[V any] struct {
	value V
	seq   uint64
	// first is the seq of the oldest record that the newest one covers, with all between.
	first uint64
	// added is when that one was added, toldAt when Late last returned a record of them.
	added, toldAt time.Time
	// queued is true if the newest record has to be written.
	queued bool
	// writing is the seq of the record that is being written, written its value; 0 if none is.
	writing uint64
	written V
	// known is true if the newest record is known although it is not written.
	known bool
	waits []*Wait
}

// end ends the waits for records up to a seq.
func (e *entry[V]) end(seq uint64, o Outcome) {
	var left []*Wait
	for _, w := range e.waits {
		if w.seq <= seq {
			w.end(o)
		} else {
			left = append(left, w)
		}
	}
	e.waits = left
}

// wait returns a Wait for the newest record.
func (e *entry[V]) wait() *Wait {
	if e.known {
		return Ended(OutcomeKnown)
	}
	if n := len(e.waits); n > 0 && e.waits[n-1].seq == e.seq {
		return e.waits[n-1]
	}
	w := newWait(e.seq)
	e.waits = append(e.waits, w)
	return w
}

// replace makes a record the newest one, which covers the one before or not, and is covered by it
// or not.
func (e *entry[V]) replace(now time.Time, seq uint64, value V, covers, covered bool) {
	if !covers {
		e.end(e.seq, OutcomeReplaced)
		e.first, e.added = seq, now
	}
	if !covers || !covered {
		e.known, e.toldAt = false, time.Time{}
	}
	e.seq, e.value = seq, value
}

// becameKnown tells the waiters that a record is known, which covers the newest one or not. It
// reports whether the newest one is known.
func (e *entry[V]) becameKnown(seq uint64, coversNewest bool) bool {
	if seq < e.first {
		return false
	}
	if seq == e.seq || coversNewest {
		e.end(e.seq, OutcomeKnown)
		return true
	}
	e.end(seq, OutcomeKnown)
	return false
}
