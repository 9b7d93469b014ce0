package front

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// run runs the job and writes its answer.
func (s *Server) run(w http.ResponseWriter, r *request, job *runner.Job) {
	out := &writer{w: w, control: http.NewResponseController(w), timeout: s.c.WriteTimeout, now: s.c.Now}
	defer out.end()
	answer := s.c.Run(r.Context(), job, runner.Sink{Start: out.start, Write: out.write})
	switch {
	case !answer.Started:
		s.refuse(w, r, faultOf(answer))
	case answer.Failed:
		s.fail(out, job, answer)
	}
}

// fail ends an answer that is not whole so that the caller cannot take it for a
// whole one: a stream gets an error event and no end mark; anything else is cut.
func (s *Server) fail(out *writer, job *runner.Job, answer runner.Answer) {
	if !job.Stream {
		// net/http closes the connection without the end of the body.
		panic(http.ErrAbortHandler)
	}
	event := append([]byte("data: "), faultOf(answer).Body()...)
	// The caller may be gone; there is nobody else to tell.
	_ = out.write(append(event, "\n\n"...))
}

func faultOf(a runner.Answer) *ErrorResponse {
	status := a.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	return &ErrorResponse{
		Status: status, Type: typeOf(status), Code: string(a.Reason),
		Message: a.Message, Outcome: a.Outcome, RetryAfter: a.RetryAfter,
	}
}

// writer writes an answer with a deadline for each part, so that a caller that
// does not read cannot hold the request for ever.
type writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	now     func() time.Time
}

// unsentHeaders are the headers of a backend server that a caller does not see:
// net/http writes its own.
var unsentHeaders = []string{"Date", "Content-Length", "Transfer-Encoding", "Connection", HeaderRequestID}

func (o *writer) start(status int, header http.Header) error {
	h := o.w.Header()
	for name, values := range header {
		if !slices.Contains(unsentHeaders, name) {
			h[name] = values
		}
	}
	// Bytes of an answer prove that the request was run.
	h.Set(HeaderOutcome, string(call.OutcomeRan))
	if outcome := header.Get(HeaderOutcome); outcome != "" {
		h.Set(HeaderOutcome, outcome)
	}
	if length := header.Get("Content-Length"); length != "" {
		if _, err := strconv.ParseInt(length, 10, 64); err == nil {
			h.Set("Content-Length", length)
		}
	}
	o.extend()
	o.w.WriteHeader(status)
	return nil
}

func (o *writer) write(part []byte) error {
	o.extend()
	if _, err := o.w.Write(part); err != nil {
		return err
	}
	return o.control.Flush()
}

func (o *writer) extend() {
	// Not every ResponseWriter has deadlines: tests have none.
	_ = o.control.SetWriteDeadline(o.now().Add(o.timeout))
}

// end lifts the deadline, which would stay with a kept connection.
func (o *writer) end() {
	_ = o.control.SetWriteDeadline(time.Time{})
}
