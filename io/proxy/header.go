package proxy

import (
	"net/http"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

// PromptPart is one part of a prompt. Requests may share parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo is what the header of a caller's request says.
type RequestInfo struct {
	// ID identifies the request; each retry by the caller has a new one.
	ID string
	// Timeout is how long the caller waits; zero if the header does not say.
	Timeout time.Duration
	// Key is the caller's API key; empty if it sent none.
	Key string
	// PromptTokens is the length of the prompt and MaxTokens the limit for the generated
	// text; zero if the request is not a generation.
	PromptTokens int
	MaxTokens    int
	// Parts are the parts of the prompt in order. The last belongs to this request only.
	Parts []PromptPart
	// ResumeAfter is the id of the last event of the stream that the caller has, Resumes the id
	// of the request that brought its first event; both are empty at the beginning of a stream.
	ResumeAfter string
	Resumes     string
}

// AttemptInfo is what the router adds to the header for one attempt.
type AttemptInfo struct {
	Request RequestInfo
	// Remaining is the time until the final response is due.
	Remaining time.Duration
	Replica   call.ReplicaID
	// Team is empty if the request needs no key.
	Team call.Team
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// ResumeAfter is the id of the last event that the caller has; empty at the
	// beginning of a stream.
	ResumeAfter string
}

// ResponseInfo is what the header of a backend server's response says.
type ResponseInfo struct {
	// ID is the id of the request that the response is for; empty if not given.
	ID string
	// Signed is true if the response carries the backend server's signature.
	Signed bool
	// NotRun is true if the backend server guarantees that it has not run the request
	// and never will.
	NotRun bool
	// Load is the backend server's load; nil if not given. InvalidLoad is the text of a load
	// of which a part is not understood.
	Load        *route.Load
	InvalidLoad string
	// Limit is the number of requests a second that the backend server takes from all VMs
	// together; nil if it names none. InvalidLimit is the text of a limit that is no number of
	// at least 0.
	Limit        *float64
	InvalidLimit string
	// Leaving is true if the backend server says that it leaves; RetryAfter is for how long it
	// wants no requests of this VM, if it refuses one; zero if it does not say. InvalidNotices
	// are the fields, with their values, that say so in a way that is not understood.
	Leaving        bool
	RetryAfter     time.Duration
	InvalidNotices []string
	// Encoded is true if the body has a content encoding.
	Encoded bool
}

// HeaderCodec converts between the deployment's headers and this package's types.
type HeaderCodec struct {
	// ReadRequest reads the header of a request. It returns an error if the header is
	// not valid.
	ReadRequest func(http.Header) (RequestInfo, error)
	// WriteRequest changes the header of a request into that of an attempt: it removes
	// the fields that callers may not set and adds those of the router.
	WriteRequest func(http.Header, AttemptInfo)
	// ReadResponse reads the header of a response.
	ReadResponse func(status int, header http.Header, now time.Time) ResponseInfo
	// CleanResponse removes the response header fields that callers must not get.
	CleanResponse func(http.Header)
}
