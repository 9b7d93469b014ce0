package sched

import "time"

// Verdict is the answer to an offered item.
type Verdict struct {
	Queued bool
	Reason Reason
	// RetryAfter is for the caller of a refused item.
	RetryAfter time.Duration
	// Displaced lists the items that lost their places to this one.
	Displaced Refusals
}

// Refusal is an item that was given up on: it has not been run and is owed its
// final answer at once.
type Refusal struct {
	Item       Item
	Reason     Reason
	RetryAfter time.Duration
}

// Refusals is a list of refusals.
type Refusals []Refusal
