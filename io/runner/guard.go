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

// headerRequestID names an attempt towards an engine, which may name its answer
// after it.
const headerRequestID = "X-Request-Id"

// onePieceTimeout bounds the time of an answer that shows no progress.
const onePieceTimeout = 10 * time.Minute

// EngineProfile is what engines can do where nothing else is said: they continue
// a partial answer and count tokens in each chunk.
func EngineProfile(call.Model) stream.Profile {
	return stream.Profile{CanResume: true, CountsTokens: true}
}

// guardConfig returns how the wholeness of the job's answer is guarded.
func (n *run) guardConfig() stream.Config {
	kind := stream.KindCompletion
	if strings.HasSuffix(n.job.Path, "/chat/completions") {
		kind = stream.KindChat
	}
	c := n.job.Call
	return stream.Config{
		Kind: kind, Body: n.job.Body, Model: string(c.Model), Engine: n.r.c.Profile(c.Model),
		RequestID: c.ID, Idempotent: c.Idempotent, MaxAttempts: n.r.c.Attempts,
	}
}

// beginGuard prepares for the answer of an engine, which is asked for a stream
// wherever it can give one: in a stream its progress shows.
func (n *run) beginGuard() error {
	if n.job.Kind != KindEngine || !stream.Streamable(n.job.Body) {
		return nil
	}
	c := n.guardConfig()
	c.Assemble = !n.job.Stream
	var err error
	n.guard, err = stream.New(c)
	return errors.Annotate(err, "run.beginGuard")
}

// guarded changes a request into the next attempt of a guarded answer.
func (n *run) guarded(req *back.Request) error {
	if n.job.Kind != KindEngine {
		return nil
	}
	if n.guard == nil {
		req.Header.Set(headerRequestID, n.job.Call.ID)
		req.NewConnection, req.FirstByteTimeout = true, onePieceTimeout
		return nil
	}
	req.FirstByteTimeout = n.r.c.EngineFirst
	if n.guard.Stats().Tokens > 0 && req.ProgressTimeout > 0 {
		// The caller is in the middle of its answer.
		req.FirstByteTimeout = req.ProgressTimeout
	}
	body, err := n.guard.Begin()
	if err != nil {
		return errors.Annotate(err, "run.guarded")
	}
	req.Body = body
	req.Header.Set(headerRequestID, n.guard.AttemptID())
	return nil
}

// feed returns what the caller is to see of an event.
func (n *run) feed(e back.Event) ([]byte, error) {
	if n.guard == nil {
		return e.Raw, nil
	}
	out, err := n.guard.Feed(stream.Event{Raw: e.Raw, Data: e.Data})
	if err != nil {
		n.fault = err
	}
	return out, err
}

// inspect judges what came of an attempt beyond its connection.
func (n *run) inspect(e *attemptEnd) {
	if n.guard != nil {
		n.inspectStream(e)
	}
	if n.job.Kind == KindEngine && e.result.Complete() && e.result.Status == http.StatusOK && !e.result.Streamed {
		var usage stream.Usage
		usage, e.fault = stream.CheckBody(n.guardConfig(), e.result.Body)
		n.tokens = usage.CompletionTokens
	}
}

// inspectStream lets the guard decide what follows an attempt.
func (n *run) inspectStream(e *attemptEnd) {
	e.fault = n.fault
	n.fault = nil
	switch {
	case e.callerGone():
		e.next = n.guard.Abandon("caller is gone")
	case e.fault != nil:
		e.next = n.guard.End(e.fault.Error())
	default:
		e.next = n.guard.End("replica " + string(e.replica) + ": " + string(e.result.Ending))
	}
	n.watch.wasted = n.guard.Stats().Wasted
	n.tokens = n.guard.Stats().Tokens
}

// assembles reports whether the caller gets in one piece what the engine streams.
func (n *run) assembles() bool { return n.guard != nil && !n.job.Stream }

// assembled returns the answer that came as a stream in one piece.
func (n *run) assembled(result back.Result) (back.Result, error) {
	body, err := n.guard.Body()
	if err != nil {
		return back.Result{}, errors.Annotate(err, "run.assembled")
	}
	result.Body, result.Streamed = body, false
	result.Header = http.Header{"Content-Type": {"application/json"}}
	return result, nil
}
