package front

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// run runs the job and writes its answer or an error response.
func (s *Server) run(w http.ResponseWriter, r *request, job *runner.Job) {
	out := &answerWriter{w: w, control: http.NewResponseController(w), timeout: s.c.WriteTimeout, now: s.c.Now}
	defer out.end()
	answer := s.c.Run(r.Context(), job, runner.Sink{Start: out.start, Write: out.write})
	switch {
	case !answer.Started:
		s.refuse(w, r, errorResponseTo(answer))
	case answer.Failed:
		s.endFailed(out, job, answer)
	}
}

// endFailed ends an incomplete answer in a way that the caller cannot mistake for a
// complete one: a stream gets an error event instead of the final [DONE] event; for
// any other answer the connection is closed.
func (s *Server) endFailed(out *answerWriter, job *runner.Job, answer runner.Answer) {
	if !job.Stream {
		// net/http then closes the connection before the body is complete.
		panic(http.ErrAbortHandler)
	}
	event := append([]byte("data: "), errorResponseTo(answer).Body()...)
	// The write fails if the caller has gone; then there is nothing left to do.
	_ = out.write(append(event, "\n\n"...))
}

// errorResponseTo returns the error response for a refused or failed job.
func errorResponseTo(a runner.Answer) *ErrorResponse {
	status := a.Status
	if status == 0 {
		status = http.StatusInternalServerError
	}
	return &ErrorResponse{
		Status: status, Type: errorTypeOf(status), Code: string(a.Reason),
		Message: a.Message, Outcome: a.Outcome, RetryAfter: a.RetryAfter,
	}
}

// answerWriter writes an answer with a new deadline for each part, so that a caller
// that stops reading cannot keep the request open forever.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	now     func() time.Time
}

// droppedHeaders are headers of a backend server's answer that are not passed on,
// since net/http or this package sets them.
var droppedHeaders = []string{"Date", "Content-Length", "Transfer-Encoding", "Connection", HeaderRequestID}

// start writes the status and the header.
func (a *answerWriter) start(status int, header http.Header) error {
	h := a.w.Header()
	for name, values := range header {
		if !slices.Contains(droppedHeaders, name) {
			h[name] = values
		}
	}
	// An answer of a backend server proves that the request was run.
	h.Set(HeaderOutcome, string(call.OutcomeRan))
	if outcome := header.Get(HeaderOutcome); outcome != "" {
		h.Set(HeaderOutcome, outcome)
	}
	if length := header.Get("Content-Length"); length != "" {
		if _, err := strconv.ParseInt(length, 10, 64); err == nil {
			h.Set("Content-Length", length)
		}
	}
	a.extendDeadline()
	a.w.WriteHeader(status)
	return nil
}

// write writes a part of the body and flushes it.
func (a *answerWriter) write(part []byte) error {
	a.extendDeadline()
	if _, err := a.w.Write(part); err != nil {
		return err
	}
	return a.control.Flush()
}

// extendDeadline sets the write deadline to the timeout from now.
func (a *answerWriter) extendDeadline() {
	// A ResponseWriter without deadlines, as in tests, returns an error.
	_ = a.control.SetWriteDeadline(a.now().Add(a.timeout))
}

// end removes the deadline, which would otherwise apply to later requests on the
// same connection.
func (a *answerWriter) end() {
	_ = a.control.SetWriteDeadline(time.Time{})
}
