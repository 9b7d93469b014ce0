package proxy

import (
	"context"
	"mime"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/table"
	"gentianwell/io/back"
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	replica call.ReplicaID
	// version is that of the replica's software.
	version call.Version
	target  back.Target
	started time.Time
	// done is true if a successful response was read to its end. If it is not a
	// stream, done is true even if writing it to the caller failed.
	done bool
	// mayHaveRun is false only if the replica certainly has not run the request.
	mayHaveRun bool
	// callerGone is true if the caller disconnected or writing to it failed.
	callerGone bool
	cause      retry.Cause
	retry      retry.Reason
	err        error
	// ending says how the exchange with the replica ended.
	ending back.Ending
	// replicaFailure is a complete error response of the replica.
	replicaFailure *response
	status         int
	// answeredAt is when the header of the response had arrived.
	answeredAt time.Time
	// waits is true until the first part of the answer has come, if the router is to be told.
	waits bool
	// resumed is true if the attempt goes on with a stream after an event that the caller has.
	resumed bool
	// events counts the events of a stream that this attempt forwarded, the first of them
	// at firstEventAt, the last at lastEventAt.
	events                    int
	firstEventAt, lastEventAt time.Time
}

// gap returns the mean time between the events of a stream that ends now; zero if it has fewer
// than two.
func (e *attemptResult) gap(now time.Time) time.Duration {
	if e.events < 2 {
		return 0
	}
	return now.Sub(e.firstEventAt) / time.Duration(e.events-1)
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
	errStatus       = errors.ConstError("response has a status that no final response has (allowed: 200 to 599)")
	errWrongID      = errors.ConstError("response has the id of another request or none")
	errUnclaimed    = errors.ConstError("refusal without an id came on a reused connection and may belong to an earlier request")
	errEncoded      = errors.ConstError("response body is encoded, but no encoding was requested")
	errPartialEvent = errors.ConstError("stream ended in the middle of an event")
	errNoEvent      = errors.ConstError("stream has no length and ended with its connection before the first event")
	errOutOfOrder   = errors.ConstError("stream events are out of order")
	errNotStream    = errors.ConstError("response to a stream request is not text/event-stream")
	errTooLarge     = errors.ConstError("response or stream event is larger than the limit")
	errCrashed      = errors.ConstError("response without a length ended, and its replica refuses connections")
	errUnrecorded   = errors.ConstError("stream must not begin, because its version could not be recorded")
	errGivenUp      = errors.ConstError("replica was given up as silent before its response was forwarded")
)

// attempt sends the request to a replica once and forwards the response.
func (p *proxyRequest) attempt(ctx context.Context, d route.Decision) attemptResult {
	target := back.Target{ID: d.Replica.ID, Address: d.Replica.Address}
	e := attemptResult{replica: d.Replica.ID, version: d.Replica.Version, target: target, started: p.s.c.Now(), resumed: p.lastEvent != ""}
	p.takeover = p.newTakeover(d.Replica.ID)
	e.waits = p.s.c.Router.Sent(e.started, p.call)
	x, result, err := p.s.c.Open(ctx, target, p.attemptRequest(d.Replica.ID))
	if err == nil {
		result, err = p.receive(x, &e)
	}
	e.err, e.ending = err, result.Ending
	if p.responseStarted && p.call.Version == "" {
		p.call.Version = e.version
	}
	p.classify(ctx, &e, result)
	switch {
	case e.done:
		p.s.c.RunCompleted(p.fingerprint(), p.parts)
	case result.Ending == back.EndingCrashed && e.mayHaveRun:
		p.crashed = append(p.crashed, target)
		p.s.c.RunLost(p.lostRun(&e, false))
	case (result.Ending == back.EndingSilent || result.Ending == back.EndingCancelled) && e.mayHaveRun:
		p.s.c.RunLost(p.lostRun(&e, true))
	}
	now := p.s.c.Now()
	p.waited(&e, false)
	outcome := p.routeResult(&e, result)
	outcome.Expected, outcome.Gap = d.Expected, e.gap(now)
	ejected := p.s.c.Router.Finished(now, d.Replica.ID, p.cost(), outcome)
	p.logAttempt(&e, result, ejected)
	return e
}

func (p *proxyRequest) lostRun(e *attemptResult, silent bool) LostRun {
	return LostRun{
		Request: p.info.ID, Fingerprint: p.fingerprint(), Parts: p.parts, Target: e.target,
		Sent: e.started, Answered: e.answeredAt, FirstEvent: e.firstEventAt, LastEvent: e.lastEventAt, At: p.s.c.Now(), Status: e.status, Events: e.events,
		Crashed: errors.Is(e.err, errCrashed), Silent: silent,
	}
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
		FirstByteTimeout: left, ProgressTimeout: left, GiveUp: p.takeover.take, NewConnection: !p.route.Repeatable(),
	}
	if p.route.Repeatable() {
		r.FirstByteTimeout = min(left, p.firstByteTimeout())
		r.ProgressTimeout = r.FirstByteTimeout
	}
	return r
}

// A request that may be repeated goes on at another replica, if it can, after a time
// without progress. firstByteTimeoutFactor and gapTimeoutFactor are that time as a
// multiple of the route's LatencyTarget and GapTarget. Its lower bounds are
// minFirstByteTimeout, and minGapTimeout for a stream that has begun: the work on it
// would be done again, and a sound replica may be silent for about a second.
const (
	firstByteTimeoutFactor = 4
	gapTimeoutFactor       = 4
	minFirstByteTimeout    = 400 * time.Millisecond
	minGapTimeout          = 1200 * time.Millisecond
)

func (p *proxyRequest) firstByteTimeout() time.Duration {
	return max(minFirstByteTimeout, firstByteTimeoutFactor*p.route.LatencyTarget)
}

func (p *proxyRequest) gapTimeout() time.Duration {
	return max(minGapTimeout, gapTimeoutFactor*p.route.GapTarget)
}

// receive reads the response and forwards it.
func (p *proxyRequest) receive(x *back.Exchange, e *attemptResult) (back.Result, error) {
	e.status, e.answeredAt = x.Status, p.s.c.Now()
	respInfo := p.s.c.Headers.ReadResponse(x.Status, x.Header, p.s.c.Now())
	if respInfo.InvalidLoad != "" {
		// All replicas of a service write it alike, so that one line says what there is to say.
		p.s.invalidLoad.Do(func() {
			p.log("invalidLoad").WithFields(logrus.Fields{"replica": e.replica, "value": respInfo.InvalidLoad}).
				Warn("a load report, or its fourth figure, is not understood; further ones are not logged")
		})
	}
	if respInfo.Load != nil {
		p.s.c.Router.Report(p.s.c.Now(), e.replica, *respInfo.Load)
	}
	switch {
	case x.Status == http.StatusMisdirectedRequest:
		p.s.c.Replaced(e.replica)
	case respInfo.ID == p.info.ID:
		p.s.c.Answered(e.replica, e.started, respInfo)
	case respInfo.ID == "":
		// A refusal, perhaps of an earlier request: what the replica says of itself holds.
		p.s.c.Answered(e.replica, e.started, ResponseInfo{Leaving: respInfo.Leaving, RetryAfter: respInfo.RetryAfter, InvalidNotices: respInfo.InvalidNotices})
	}
	err := p.checkResponse(x, respInfo)
	if err == nil && respInfo.ID == "" {
		err = p.checkUnclaimed(x, e)
	}
	streams := x.Status < http.StatusMultipleChoices && p.route.Kind == table.KindStream
	if err == nil && !streams && respInfo.ID == p.info.ID && respInfo.Signed && !respInfo.NotRun {
		p.noteRun()
	}
	switch {
	case err != nil:
	case streams:
		p.recordVersion(e.version)
		err = p.forwardStream(x, e)
	default:
		err = p.readResponse(x, e, respInfo)
	}
	result := x.End(err)
	return result, err
}

// noteRun tells that a replica has begun to run the request, once. A stream that the caller takes up
// was counted with the request that began it.
func (p *proxyRequest) noteRun() {
	if p.counted || p.lastEvent != "" {
		return
	}
	p.counted = true
	p.s.c.RunStarted(p.call.Team)
}

// checkResponse checks that the response belongs to this request and can be forwarded.
func (p *proxyRequest) checkResponse(x *back.Exchange, respInfo ResponseInfo) error {
	success := x.Status < http.StatusMultipleChoices
	switch {
	case x.Status < http.StatusOK:
		return errors.Annotatef(errStatus, "status %d", x.Status)
	case respInfo.ID != "" && respInfo.ID != p.info.ID:
		return errors.Annotatef(errWrongID, "id %q, want %q", respInfo.ID, p.info.ID)
	case respInfo.ID == "" && (success || !respInfo.NotRun):
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

// checkUnclaimed checks a refusal without an id. On a connection that has carried an
// earlier request it may be a late response to that one, and the response to this one may
// follow: the connection must not be used again. Only requests that may be repeated use such
// connections; they go on as after any other refusal, but may be running.
func (p *proxyRequest) checkUnclaimed(x *back.Exchange, e *attemptResult) error {
	if !x.Reused {
		return nil
	}
	p.unclaimed = true
	if p.route.Repeatable() {
		e.cause = retry.CauseBusy
	}
	return errors.Annotatef(errUnclaimed, "status %d", x.Status)
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
	if respInfo.NotRun && x.Status >= http.StatusMultipleChoices {
		// The header says so, even if the body breaks off.
		e.cause = retry.CauseBusy
	}
	body, held, whole, err := p.bufferResponse(x)
	defer func() {
		if e.replicaFailure != nil {
			p.reserved += held
			return
		}
		p.s.bodies.release(held)
	}()
	if err != nil {
		return errors.Annotate(err, "reading the response body")
	}
	if !whole {
		if x.Status >= http.StatusMultipleChoices {
			return errTooLarge
		}
		return p.forwardLarge(x, e, body)
	}
	if p.endedByCrash(x, e) {
		return errCrashed
	}
	res := &response{status: x.Status, header: x.Header, body: body}
	if x.Status >= http.StatusMultipleChoices {
		if e.cause != retry.CauseBusy {
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

// endedByCrash reports whether a response that has been read ended because its replica
// crashed. The end of the connection looks the same then, if it is the only end of the
// response.
func (p *proxyRequest) endedByCrash(x *back.Exchange, e *attemptResult) bool {
	return !x.HasDelimitedBody() && p.s.c.HasCrashed(e.target)
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
	refused := e.cause == retry.CauseBusy || errors.Is(e.err, errUnclaimed)
	switch {
	case e.done:
		out.Status = route.StatusOK
	case refused && e.status == http.StatusMisdirectedRequest:
		// Another replica has the address now.
		out.Status = route.StatusFailed
	case e.callerGone, refused, errors.Is(e.err, errUnrecorded), e.cause == retry.CauseSilent && p.takeover.countsAsFailure():
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
