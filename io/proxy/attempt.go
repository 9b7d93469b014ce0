package proxy

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/table"
	"gentianwell/io/back"
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	replica call.ReplicaID
	started time.Time
	// done is true if a successful response was read to its end. If it is not a
	// stream, done is true even if writing it to the caller failed.
	done bool
	// undelimited is true if the end of the response cannot be distinguished from a lost
	// connection.
	undelimited bool
	// mayHaveRun is false only if the replica certainly has not run the request.
	mayHaveRun bool
	// callerGone is true if the caller disconnected or writing to it failed.
	callerGone bool
	cause      retry.Cause
	retry      retry.Reason
	err        error
	// replicaFailure is a complete error response of the replica.
	replicaFailure *response
	status         int
	// answeredAt is when the header of the response had arrived.
	answeredAt time.Time
	// events counts the events of a stream that this attempt forwarded, the first of them
	// at firstEventAt.
	events       int
	firstEventAt time.Time
}

// response is a complete response that is not a stream.
type response struct {
	status int
	header http.Header
	body   []byte
}

// Errors of a response that cannot be forwarded.
const (
	errUnsigned     = errors.ConstError("response lacks the backend server's signature")
	errWrongID      = errors.ConstError("response has the id of another request or none")
	errEncoded      = errors.ConstError("response body is encoded, but no encoding was requested")
	errPartialEvent = errors.ConstError("stream ended in the middle of an event")
	errOutOfOrder   = errors.ConstError("stream events are out of order")
	errNotStream    = errors.ConstError("response to a stream request is not text/event-stream")
	errTooLarge     = errors.ConstError("response or stream event is larger than the limit")
)

// attempt sends the request to a replica once and forwards the response.
func (p *proxyRequest) attempt(ctx context.Context, d route.Decision) attemptResult {
	e := attemptResult{replica: d.Replica.ID, started: p.s.c.Now()}
	target := back.Target{ID: d.Replica.ID, Address: d.Replica.Address}
	x, result, err := p.s.c.Open(ctx, target, p.attemptRequest(d.Replica.ID))
	if err == nil {
		result, err = p.receive(x, &e)
	}
	e.err = err
	p.classify(ctx, &e, result)
	switch {
	case e.done && !e.undelimited:
		p.s.c.RunCompleted(p.fingerprint(), p.parts)
	case e.done, result.Ending == back.EndingCrashed && e.mayHaveRun:
		p.s.c.RunLost(LostRun{
			MayBeComplete: e.done,
			Request:       p.info.ID, Fingerprint: p.fingerprint(), Parts: p.parts, Target: target,
			Sent: e.started, Answered: e.answeredAt, FirstEvent: e.firstEventAt, At: p.s.c.Now(), Status: e.status, Events: e.events,
		})
	}
	now := p.s.c.Now()
	ejected := p.s.c.Router.Finished(now, d.Replica.ID, p.cost(), p.routeResult(&e, result))
	p.logAttempt(&e, result, ejected)
	return e
}

func (p *proxyRequest) attemptRequest(replica call.ReplicaID) back.Request {
	header := p.r.Header.Clone()
	if header.Get("User-Agent") == "" {
		// Keeps net/http from adding a User-Agent of its own.
		header["User-Agent"] = []string{""}
	}
	p.s.c.Headers.WriteRequest(header, AttemptInfo{
		Request: p.info, Remaining: p.deadline.Sub(p.s.c.Now()), Replica: replica, Team: p.call.Team,
		Rank: p.table.Rank(p.team, p.route), ResumeAfter: p.lastEvent,
	})
	left := p.deadline.Sub(p.s.c.Now())
	r := back.Request{
		Method: p.r.Method, Path: p.target(), Host: p.r.Host, Header: header, Body: p.body,
		FirstByteTimeout: left, ProgressTimeout: left,
	}
	if p.route.Repeatable() {
		r.FirstByteTimeout = min(left, p.firstByteTimeout())
		r.ProgressTimeout = r.FirstByteTimeout
	}
	return r
}

// A request that may be repeated is tried on another replica after a time without
// progress. firstByteTimeoutFactor and gapTimeoutFactor are that time as a multiple of
// the route's LatencyTarget and GapTarget, minSilenceTimeout its lower bound.
const (
	firstByteTimeoutFactor = 4
	gapTimeoutFactor       = 4
	minSilenceTimeout      = 400 * time.Millisecond
)

func (p *proxyRequest) firstByteTimeout() time.Duration {
	return max(minSilenceTimeout, firstByteTimeoutFactor*p.route.LatencyTarget)
}

func (p *proxyRequest) gapTimeout() time.Duration {
	return max(minSilenceTimeout, gapTimeoutFactor*p.route.GapTarget)
}

// receive reads the response and forwards it.
func (p *proxyRequest) receive(x *back.Exchange, e *attemptResult) (back.Result, error) {
	e.status, e.answeredAt, e.undelimited = x.Status, p.s.c.Now(), !x.Delimited()
	respInfo := p.s.c.Headers.ReadResponse(x.Status, x.Header, p.s.c.Now())
	if respInfo.Load != nil {
		p.s.c.Router.Report(p.s.c.Now(), e.replica, *respInfo.Load)
	}
	err := p.checkResponse(x, respInfo)
	switch {
	case err != nil:
	case x.Status < http.StatusMultipleChoices && p.route.Kind == table.KindStream:
		err = p.forwardStream(x, e)
	default:
		err = p.readResponse(x, e, respInfo)
	}
	result := x.End(err)
	return result, err
}

// checkResponse checks that the response belongs to this request and can be forwarded.
func (p *proxyRequest) checkResponse(x *back.Exchange, respInfo ResponseInfo) error {
	success := x.Status < http.StatusMultipleChoices
	switch {
	case respInfo.ID != "" && respInfo.ID != p.info.ID:
		return errors.Annotatef(errWrongID, "id %q, want %q", respInfo.ID, p.info.ID)
	case success && respInfo.ID == "":
		return errors.Annotatef(errWrongID, "no id, want %q", p.info.ID)
	case success && !respInfo.Signed:
		return errUnsigned
	case respInfo.Encoded:
		return errEncoded
	case success && p.route.Kind == table.KindStream && !isStream(x.Header):
		return errNotStream
	}
	return nil
}

func isStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// maxBufferedBytes is the size up to which the body of a response that is not a stream is
// read to its end before any of it is forwarded. An error response must not be larger.
const maxBufferedBytes = 256 << 10

// readResponse reads a response that is not a stream. A success is forwarded; an error
// response is kept.
func (p *proxyRequest) readResponse(x *back.Exchange, e *attemptResult, respInfo ResponseInfo) error {
	body, err := io.ReadAll(io.LimitReader(x, maxBufferedBytes+1))
	if err != nil {
		return errors.Annotate(err, "reading the response body")
	}
	if len(body) > maxBufferedBytes {
		if x.Status >= http.StatusMultipleChoices {
			return errTooLarge
		}
		return p.forwardLarge(x, e, body)
	}
	res := &response{status: x.Status, header: x.Header, body: body}
	if x.Status >= http.StatusMultipleChoices {
		if respInfo.NotRun {
			e.cause = retry.CauseBusy
		} else {
			e.replicaFailure = res
		}
		return nil
	}
	if err := p.writeResponse(res); err != nil {
		e.callerGone = true
		e.err = err
	}
	e.done = true
	return nil
}

// classify sets the cause of a failed attempt and whether the replica may have run the
// request.
func (p *proxyRequest) classify(ctx context.Context, e *attemptResult, result back.Result) {
	e.mayHaveRun = result.BytesWritten && e.cause != retry.CauseBusy
	if e.mayHaveRun {
		p.possibleRuns++
	}
	if e.cause != "" || e.done {
		return
	}
	switch {
	case p.callerGone():
		e.cause, e.callerGone = retry.CauseCanceled, true
	case ctx.Err() != nil:
		e.cause = retry.CauseSilent
	case result.Ending == back.EndingUnreachable:
		e.cause = retry.CauseUnreachable
	case result.Ending == back.EndingSilent:
		e.cause = retry.CauseSilent
	case result.Ending == back.EndingCrashed:
		e.cause = retry.CauseCrashed
	default:
		e.cause = retry.CauseFailed
	}
}

// routeResult returns the result that the attempt counts as for the replica.
func (p *proxyRequest) routeResult(e *attemptResult, result back.Result) route.Result {
	out := route.Result{Status: route.StatusFailed, FirstToken: result.FirstLatency}
	switch {
	case e.done:
		out.Status = route.StatusOK
	case e.callerGone, e.cause == retry.CauseBusy:
		out.Status = route.StatusCanceled
	case e.cause == retry.CauseUnreachable:
		out.Status = route.StatusUnreachable
	case e.cause == retry.CauseCrashed:
		out.Status = route.StatusCrashed
	case e.replicaFailure != nil && e.replicaFailure.status < http.StatusInternalServerError:
		out.Status = route.StatusOK
	}
	return out
}
