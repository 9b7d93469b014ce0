package claim

import "bytes"

// DefaultMaxBody is the default limit on the body of a stored outcome, in bytes.
const DefaultMaxBody = 16 << 10

// Outcome is the response of a call that was run, as it is replayed to a repeat.
type Outcome struct {
	// Status is the HTTP status of the response, 0 if the connection broke before
	// there was one. The call may have been run then.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Partial is true if Body isn't the whole response: the response broke off or
	// was too large to store.
	Partial bool `json:"partial,omitempty"`
}

// Bounded returns the outcome with a body of at most maxBody bytes. A larger body
// is dropped, since a truncated one could be mistaken for the whole response.
func (o Outcome) Bounded(maxBody int) Outcome {
	if len(o.Body) > maxBody {
		o.Body, o.Partial = nil, true
		return o
	}
	o.Body = bytes.Clone(o.Body)
	return o
}
