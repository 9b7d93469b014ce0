package model

import (
	"time"

	"gentianwell/core/call"
)

// request is the state of one request.
type request struct {
	call         call.Call
	class        *Class
	answerTokens int // known to the engines, not to the policies
	arrived      time.Time
	// sent is when the current attempt began, generated the number of tokens that it
	// has generated so far.
	sent      time.Time
	generated int
	first     time.Time
	last      time.Time
	engine    *engine
	attempts  int
	state     requestState
	onEnd     func(r *request, ok bool)
}

// requestState is the progress or the outcome of a request.
type requestState string

const (
	stateWaiting   requestState = "waiting"
	stateSent      requestState = "sent"
	stateDone      requestState = "done"
	stateRefused   requestState = "refused"
	stateAbandoned requestState = "left"
	stateFailed    requestState = "failed"
)

// gap returns the mean time between the answer's tokens.
func (r *request) gap() time.Duration {
	if r.answerTokens < 2 {
		return 0
	}
	return r.last.Sub(r.first) / time.Duration(r.answerTokens-1)
}

// good reports whether the answer was completed within the class's targets.
func (r *request) good() bool {
	return r.state == stateDone && r.first.Sub(r.arrived) <= r.class.FirstToken && r.gap() <= r.class.TokenGap
}
