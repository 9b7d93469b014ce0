package claim

import "bytes"

// DefaultMaxBody bounds the body of a stored outcome, in bytes.
const DefaultMaxBody = 16 << 10

// Outcome is the answer of a call that was run, as a repeat gets it.
type Outcome struct {
	// Status is the HTTP status of the answer, 0 where the connection broke
	// before there was one: the call may have been run.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Partial is true where Body isn't the whole answer: it broke off or was too
	// large to be kept.
	Partial bool `json:"partial,omitempty"`
}

// Bounded returns the outcome with a body of at most maxBody bytes. A larger one
// is dropped, since a cut answer could be taken for a whole one.
func (o Outcome) Bounded(maxBody int) Outcome {
	if len(o.Body) > maxBody {
		o.Body, o.Partial = nil, true
		return o
	}
	o.Body = bytes.Clone(o.Body)
	return o
}
