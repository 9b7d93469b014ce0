package sched

import "time"

// Verdict is the result of Offer.
type Verdict struct {
	Queued bool
	Reason Reason
	// RetryAfter is the delay to suggest to the caller of a refused item.
	RetryAfter time.Duration
	// Displaced lists the items that were removed to make room for this one.
	Displaced Refusals
}

// Refusal is an item that left the queue without being dispatched. Its caller must
// get the final answer at once.
type Refusal struct {
	Item       Item
	Reason     Reason
	RetryAfter time.Duration
}

// Refusals is a list of refusals.
type Refusals []Refusal
