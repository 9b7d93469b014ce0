package back

import (
	"cmp"
	"net/http"
	"net/netip"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/frame"
)

// Target is a replica and the address on which it listens.
type Target struct {
	ID      call.ReplicaID
	Address netip.AddrPort
}

// Request is a request to a backend server.
type Request struct {
	Method string
	// Path is the path, with the query if there is one.
	Path string
	// Host is the Host header; the target's address if empty.
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection makes the client open a new connection. It is for requests that
	// must not run twice: on a reused connection that was lost or went silent while idle,
	// or that carries a late response to an earlier request, it would be unknown whether
	// the request ran.
	NewConnection bool
	// FirstByteTimeout and ProgressTimeout override those of Config if not zero.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// GiveUp is called when the connection has made no progress within the timeout, and
	// reports whether the attempt is to end as silent. Otherwise the attempt goes on, and
	// GiveUp is called again every tenth of a second until there is progress. It is called
	// on a goroutine of its own, but never while the sink runs, and must return at once;
	// once it has returned true, the sink is not called any more. If it is nil, the attempt
	// ends.
	GiveUp func() bool
}

// Event is one server-sent event. Its slices are valid only until the sink returns.
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
	// Data is the value of its data lines, joined with newlines.
	Data []byte
	// Done is true for the event that ends a stream.
	Done bool
}

// Ending says how an attempt ended.
type Ending string

// The endings. EndingComplete means that the response was complete, EndingRefused
// that the backend server guarantees that it ran nothing of the request,
// EndingUnreachable that there was no connection. EndingCrashed means that an open
// connection was lost, EndingSilent that it made no progress within the timeout.
// EndingTruncated means that the response ended without a connection error, but lacks
// its [DONE] event or its length. EndingMalformed is any other failure of the response,
// EndingCancelled the end of the caller's context, and EndingSink an error returned by
// the sink, such as when the caller has disconnected.
const (
	EndingComplete    Ending = "complete"
	EndingRefused     Ending = "refused"
	EndingUnreachable Ending = "unreachable"
	EndingCrashed     Ending = "crashed"
	EndingSilent      Ending = "silent"
	EndingTruncated   Ending = "truncated"
	EndingMalformed   Ending = "malformed"
	EndingCancelled   Ending = "cancelled"
	EndingSink        Ending = "sink"
)

// Result is the outcome of an attempt.
type Result struct {
	Ending Ending
	// Fault is why the response is not valid HTTP/1; empty if it is, and for other failures.
	Fault frame.Fault
	// BytesWritten is false only if it is certain that no byte of the request has
	// reached a connection or will reach one.
	BytesWritten bool
	// Reused is true if the connection had been used for an earlier request.
	Reused bool
	// Status and Header are zero if no response header was received.
	Status int
	Header http.Header
	// Body is the body of a response that is not an event stream.
	Body []byte
	// Streamed is true if the response was an event stream whose events Do passed to the
	// sink; Events counts them.
	Streamed bool
	Events   int
	// FirstLatency is the time until the first event passed to the sink or, for any other
	// response, until the response header; Total is the time until the end of the attempt.
	FirstLatency time.Duration
	Total        time.Duration
}

// SilentReused reports whether the attempt timed out without progress on a reused
// connection: the backend server may be healthy, and a new connection may work.
func (r Result) SilentReused() bool { return r.Ending == EndingSilent && r.Reused }

// Broken returns why a response, or its absence, is the fault of the backend server or its
// connection: Fault, or else Ending. It is empty for other endings and for silence.
func (r Result) Broken() string {
	switch r.Ending {
	case EndingCrashed, EndingTruncated, EndingMalformed:
		return cmp.Or(string(r.Fault), string(r.Ending))
	}
	return ""
}

// Complete reports whether the response was complete; its status may still be an error.
func (r Result) Complete() bool { return r.Ending == EndingComplete }

// NotRun reports whether the backend server certainly has not run the request.
func (r Result) NotRun() bool { return !r.BytesWritten || r.Ending == EndingRefused }
