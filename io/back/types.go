package back

import (
	"net/http"
	"net/netip"
	"time"

	"gentianwell/core/call"
)

// Target is one replica and where it listens.
type Target struct {
	ID      call.ReplicaID
	Address netip.AddrPort
}

// Request is what is sent to a backend server.
type Request struct {
	Method string
	// Path is the path with its query, if any.
	Path string
	// Host is the Host header; empty: the target's address.
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a connection that was never used before. A request that
	// must not run twice is sent so: a connection that died or went silent while
	// idle would leave its outcome unknown.
	NewConnection bool
	// FirstByteTimeout and ProgressTimeout replace those of Config where not zero.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
}

// Event is one server-sent event. Its slices are valid during the call only.
type Event struct {
	// Raw is the event as it came, with the empty line that ends it.
	Raw []byte
	// Data is the payload of its data lines.
	Data []byte
	// Done is true for the event that ends a stream.
	Done bool
}

// Ending says how an attempt ended.
type Ending string

// The endings. Only with EndingComplete the answer is whole. EndingRefused means
// that the backend server declares that it ran nothing. EndingCrashed is a
// connection lost after it was set up; EndingTruncated an answer that ended in
// good order but without its end mark or length. EndingSink is an error of the
// sink, as when the caller is gone.
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

// Result is what came of an attempt.
type Result struct {
	Ending Ending
	// BytesWritten is true unless it is certain that no byte of the request reached a
	// connection, nor will.
	BytesWritten bool
	// Reused is true where the connection had served a request before.
	Reused bool
	// Status and Header are zero where no answer began.
	Status int
	Header http.Header
	// Body is the answer's body where it is no stream of events.
	Body []byte
	// Streamed is true where the answer is a stream of events, Events how many
	// were passed on.
	Streamed bool
	Events   int
	// FirstLatency is the time until the first event or the body's first byte, Total
	// until the end.
	FirstLatency time.Duration
	Total        time.Duration
}

// SilentReused reports whether the attempt ended by silence on a connection that
// had been used before: the backend server may be well, and a new connection to
// it may work.
func (r Result) SilentReused() bool { return r.Ending == EndingSilent && r.Reused }

// Complete reports whether the answer came whole; its status may still be an error.
func (r Result) Complete() bool { return r.Ending == EndingComplete }

// NotRun reports whether the backend server surely has not run the request.
func (r Result) NotRun() bool { return !r.BytesWritten || r.Ending == EndingRefused }
