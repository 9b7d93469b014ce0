package model

import (
	"time"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

// promptPart is a part of a prompt that several calls share.
type promptPart struct {
	id     uint64
	tokens int
}

// simulatedCall is a call in a simulated deployment.
type simulatedCall struct {
	kind         *Kind
	call         call.Call
	parts        []promptPart
	answerEvents int
	// worthFactor is the call's worth relative to that of a call of mean length of
	// its kind.
	worthFactor float64
	// ownTokens is the memory that the call takes on an engine, in tokens of prompt
	// and answer, without the shared parts.
	ownTokens int
	// firstSent is when the caller sent the call for the first time; retried is true
	// once it has been refused and is to be sent again.
	firstSent  time.Time
	retried    bool
	firstEvent time.Time
	lastEvent  time.Time
	// pausedTooLong is true once the time between two events exceeded Kind.MaxPause.
	pausedTooLong bool
	ended         bool

	// expected is what the router expected of the last send.
	expected route.Expectation

	// unread, context and generated are the engine's counts of tokens: of the prompt
	// yet to be read, of the prompt and answer in the context, and of the answer.
	// inBatch is true while the engine runs the call.
	unread, context, generated int
	inBatch                    bool
	onEvent                    func(route.Load)
	onEnd                      func()
}

// gap returns the mean time between the answer's events.
func (c *simulatedCall) gap() time.Duration {
	if c.answerEvents < 2 {
		return 0
	}
	return c.lastEvent.Sub(c.firstEvent) / time.Duration(c.answerEvents-1)
}
