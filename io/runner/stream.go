package runner

import (
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/stream"
	"gentianwell/io/back"
)

// headerRequestID is the header with an attempt's id. An engine may use it as the id of
// its answer.
const headerRequestID = "X-Request-Id"

// unstreamedTimeout limits the time to an engine's answer that cannot be streamed, since
// no progress is visible until it is complete.
const unstreamedTimeout = 10 * time.Minute

// DefaultProfile is the default of Config.Profile: engines can continue a partial answer
// and report a token count in each chunk.
func DefaultProfile(call.Model) stream.Profile {
	return stream.Profile{CanResume: true, CountsTokens: true}
}

// streamConfig returns the configuration for checking the job's answer.
func (n *run) streamConfig() stream.Config {
	kind := stream.KindCompletion
	if strings.HasSuffix(n.job.Path, "/chat/completions") {
		kind = stream.KindChat
	}
	c := n.job.Call
	return stream.Config{
		Kind: kind, Body: n.job.Body, Model: string(c.Model), Engine: n.r.c.Profile(c.Model),
		RequestID: c.ID, Idempotent: c.Idempotent, MaxAttempts: n.r.c.MaxAttempts,
	}
}

// initStream sets n.stream for an engine that can stream the answer. The engine is then
// always asked for a stream, because a stream shows its progress.
func (n *run) initStream() error {
	if n.job.Kind != KindEngine || !stream.Streamable(n.job.Body) {
		return nil
	}
	c := n.streamConfig()
	c.Assemble = !n.job.Stream
	var err error
	n.stream, err = stream.New(c)
	// The caller gets this text in the message of the refusal.
	return errors.Annotate(err, "run.beginGuard")
}

// prepareAttempt adapts the request of the next attempt to an engine: it sets the
// request ID, the timeouts and, for a streamed answer, the body.
func (n *run) prepareAttempt(req *back.Request) error {
	if n.job.Kind != KindEngine {
		return nil
	}
	if n.stream == nil {
		req.Header.Set(headerRequestID, n.job.Call.ID)
		req.NewConnection, req.FirstByteTimeout = true, unstreamedTimeout
		return nil
	}
	req.FirstByteTimeout = n.r.c.FirstTokenTimeout
	if n.stream.Stats().Tokens > 0 && req.ProgressTimeout > 0 {
		// The caller already has a part of its answer and waits for the next one.
		req.FirstByteTimeout = req.ProgressTimeout
	}
	body, err := n.stream.Begin()
	if err != nil {
		return errors.Annotate(err, "run.prepareAttempt")
	}
	req.Body = body
	req.Header.Set(headerRequestID, n.stream.AttemptID())
	return nil
}

// feedStream returns the bytes to send to the caller for an event.
func (n *run) feedStream(e back.Event) ([]byte, error) {
	if n.stream == nil {
		return e.Raw, nil
	}
	out, err := n.stream.Feed(stream.Event{Raw: e.Raw, Data: e.Data})
	if err != nil {
		n.streamFault = err
	}
	return out, err
}

// checkAnswer checks the content of an attempt's answer.
func (n *run) checkAnswer(e *attemptEnd) {
	if n.stream != nil {
		n.endStreamAttempt(e)
	}
	if n.job.Kind == KindEngine && e.result.Complete() && e.result.Status == http.StatusOK && !e.result.Streamed {
		var usage stream.Usage
		usage, e.fault = stream.CheckBody(n.streamConfig(), e.result.Body)
		n.tokens = usage.CompletionTokens
	}
}

// endStreamAttempt has core/stream decide what follows the attempt.
func (n *run) endStreamAttempt(e *attemptEnd) {
	e.fault = n.streamFault
	n.streamFault = nil
	switch {
	case e.callerGone():
		e.decision = n.stream.Abandon("caller is gone")
	case e.fault != nil:
		e.decision = n.stream.End(e.fault.Error())
	default:
		e.decision = n.stream.End("replica " + string(e.replica) + ": " + string(e.result.Ending))
	}
	n.timings.wastedTokens = n.stream.Stats().Wasted
	n.tokens = n.stream.Stats().Tokens
}

// assemblesAnswer reports whether the engine is asked for a stream, but the caller gets a
// single response body.
func (n *run) assemblesAnswer() bool { return n.stream != nil && !n.job.Stream }

// assembledAnswer returns the streamed answer as a single response body.
func (n *run) assembledAnswer(result back.Result) (back.Result, error) {
	body, err := n.stream.Body()
	if err != nil {
		return back.Result{}, errors.Annotate(err, "run.assembledAnswer")
	}
	result.Body, result.Streamed = body, false
	result.Header = http.Header{"Content-Type": {"application/json"}}
	return result, nil
}
