package proxy

import (
	"net/http"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo is what a caller's header says of its request.
type RequestInfo struct {
	// ID names the request; each retry of a caller has another.
	ID string
	// Timeout is how long the caller waits; zero where it does not say.
	Timeout time.Duration
	// Key is the caller's key; empty where it sent none.
	Key string
	// PromptTokens and MaxTokens are the lengths of a generation; zero where the
	// request is none.
	PromptTokens int
	MaxTokens    int
	// Parts are the parts of the prompt in order; the last is the request's own.
	Parts []PromptPart
	// ResumeAfter is the id of the last event that the caller has of a stream.
	ResumeAfter string
}

// AttemptInfo is what the router adds to a request for one attempt.
type AttemptInfo struct {
	Request RequestInfo
	// Remaining is the time until the final answer is due.
	Remaining time.Duration
	Replica   call.ReplicaID
	// Team is empty where the request needs no key.
	Team call.Team
	// Rank is the urgency, 0 first.
	Rank int
	// ResumeAfter is the id of the last event that was passed on; empty at the
	// beginning of a stream.
	ResumeAfter string
}

// ResponseInfo is what the header of a backend server's answer says.
type ResponseInfo struct {
	// ID is the id of the request that it answers; empty where it does not say.
	ID string
	// Signed is true where the answer carries the backend server's signature.
	Signed bool
	// NotRun is true where the backend server declares that it has not run the
	// request and never will.
	NotRun bool
	// Load is its load; nil where it does not say.
	Load *route.Load
	// Encoded is true where the body is not in its plain form.
	Encoded bool
}

// HeaderCodec translates between the deployment's headers and the router's types.
type HeaderCodec struct {
	// ReadRequest returns what a request's header says. NotValid where it cannot be read.
	ReadRequest func(http.Header) (RequestInfo, error)
	// WriteRequest changes the header of a request into that of an attempt: it takes out
	// what callers may not set and adds what the router says.
	WriteRequest func(http.Header, AttemptInfo)
	// ReadResponse reads the header of an answer.
	ReadResponse func(status int, header http.Header, now time.Time) ResponseInfo
	// CleanResponse takes out of an answer's header what callers do not get.
	CleanResponse func(http.Header)
}
