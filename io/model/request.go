package model

import (
	"time"

	"gentianwell/core/call"
)

// request is one request on its way.
type request struct {
	call    call.Call
	class   *Class
	answer  int // tokens, known to the model only
	arrived time.Time
	// sent is when the present attempt began, generated its tokens so far.
	sent      time.Time
	generated int
	first     time.Time
	last      time.Time
	engine    *engine
	attempts  int
	state     requestState
	onEnd     func(r *request, ok bool)
}

// requestState is where a request stands.
type requestState string

const (
	stateWaiting requestState = "waiting"
	stateSent    requestState = "sent"
	stateDone    requestState = "done"
	stateRefused requestState = "refused"
	stateLeft    requestState = "left"
	stateFailed  requestState = "failed"
)

// gap is the mean time between the answer's tokens.
func (r *request) gap() time.Duration {
	if r.answer < 2 {
		return 0
	}
	return r.last.Sub(r.first) / time.Duration(r.answer-1)
}

// good reports whether the whole answer came within the class's targets.
func (r *request) good() bool {
	return r.state == stateDone && r.first.Sub(r.arrived) <= r.class.FirstToken && r.gap() <= r.class.TokenGap
}
