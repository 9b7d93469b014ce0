package outbox

// Wait tells what becomes of a record.
type Wait struct {
	// seq is that of the record waited for.
	seq  uint64
	done chan struct{}
	// outcome is set before done is closed.
	outcome Outcome
}

func newWait(seq uint64) *Wait { return &Wait{seq: seq, done: make(chan struct{})} }

// Ended returns a Wait that has ended with an outcome, for stand-ins of a Queue.
func Ended(o Outcome) *Wait {
	w := newWait(0)
	w.end(o)
	return w
}

func (w *Wait) end(o Outcome) {
	w.outcome = o
	close(w.done)
}

// Done returns a channel that is closed once the outcome is final.
func (w *Wait) Done() <-chan struct{} { return w.done }

// Outcome returns the outcome, OutcomePending until Done is closed.
func (w *Wait) Outcome() Outcome {
	select {
	case <-w.done:
		return w.outcome
	default:
		return OutcomePending
	}
}
