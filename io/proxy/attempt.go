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

// attemptEnd is how one attempt ended.
type attemptEnd struct {
	replica call.ReplicaID
	started time.Time
	// done is true where the caller has the whole answer.
	done bool
	// mayHaveRun is true unless the replica surely has not run the request.
	mayHaveRun bool
	// callerGone is true where the caller could not be written to.
	callerGone bool
	cause      retry.Cause
	retry      retry.Reason
	err        error
	// whole is a failure that the replica itself answered in full.
	whole  *answer
	status int
}

// answer is an answer that came in one piece.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// The errors of an answer that cannot be passed on.
const (
	errNotSigned = errors.ConstError("answer without a signature")
	errOtherID   = errors.ConstError("answer to another request")
	errEncoded   = errors.ConstError("answer in an encoding that nobody asked for")
	errTorn      = errors.ConstError("stream ended inside an event")
	errOrder     = errors.ConstError("events out of order")
	errNotStream = errors.ConstError("answer is no stream")
	errTooLarge  = errors.ConstError("answer is larger than the bound")
)

// attempt sends the request to a replica once and passes the answer on.
func (p *pass) attempt(ctx context.Context, d route.Decision) attemptEnd {
	e := attemptEnd{replica: d.Replica.ID, started: p.s.c.Now()}
	x, result, err := p.s.c.Open(ctx, back.Target{ID: d.Replica.ID, Address: d.Replica.Address}, p.request(d.Replica.ID))
	if err == nil {
		result, err = p.receive(x, &e)
	}
	e.err = err
	p.judge(ctx, &e, result)
	now := p.s.c.Now()
	reason := p.s.c.Router.Finished(now, d.Replica.ID, p.cost(), p.outcome(&e, result))
	p.logAttempt(&e, result, reason)
	return e
}

func (p *pass) request(replica call.ReplicaID) back.Request {
	header := p.r.Header.Clone()
	if header.Get("User-Agent") == "" {
		// Keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	p.s.c.Headers.WriteRequest(header, AttemptInfo{
		Request: p.ask, Remaining: p.until.Sub(p.s.c.Now()), Replica: replica, Team: p.call.Team,
		Rank: p.table.Rank(p.team, p.route), ResumeAfter: p.lastEvent,
	})
	left := p.until.Sub(p.s.c.Now())
	r := back.Request{
		Method: p.r.Method, Path: p.target(), Host: p.r.Host, Header: header, Body: p.body,
		FirstByteTimeout: left, ProgressTimeout: left,
	}
	if p.route.Repeatable() {
		r.FirstByteTimeout = min(left, p.firstLimit())
		r.ProgressTimeout = r.FirstByteTimeout
	}
	return r
}

// The silences after which a request that may be repeated is tried elsewhere, as
// multiples of its targets, and the least of them.
const (
	firstSilence = 4
	gapSilence   = 4
	leastSilence = 400 * time.Millisecond
)

func (p *pass) firstLimit() time.Duration { return max(leastSilence, firstSilence*p.route.Target) }

func (p *pass) gapLimit() time.Duration { return max(leastSilence, gapSilence*p.route.GapTarget) }

// receive reads the answer and passes it on.
func (p *pass) receive(x *back.Exchange, e *attemptEnd) (back.Result, error) {
	e.status = x.Status
	reply := p.s.c.Headers.ReadResponse(x.Status, x.Header, p.s.c.Now())
	if reply.Load != nil {
		p.s.c.Router.Report(p.s.c.Now(), e.replica, *reply.Load)
	}
	err := p.check(x, reply)
	switch {
	case err != nil:
	case x.Status < http.StatusMultipleChoices && p.route.Kind == table.KindStream:
		err = p.stream(x, e)
	default:
		err = p.whole(x, e, reply)
	}
	result := x.End(err)
	return result, err
}

// check finds out whether the answer is one to this request.
func (p *pass) check(x *back.Exchange, reply ResponseInfo) error {
	success := x.Status < http.StatusMultipleChoices
	switch {
	case reply.ID != "" && reply.ID != p.ask.ID:
		return errors.Annotatef(errOtherID, "%q", reply.ID)
	case success && reply.ID == "":
		return errors.Annotate(errOtherID, "no id")
	case success && !reply.Signed:
		return errNotSigned
	case reply.Encoded:
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

// maxAnswer bounds an answer that is no stream, in bytes.
const maxAnswer = 32 << 20

// whole reads an answer in one piece. A success is passed on; a failure is kept.
func (p *pass) whole(x *back.Exchange, e *attemptEnd, reply ResponseInfo) error {
	body, err := io.ReadAll(io.LimitReader(x, maxAnswer+1))
	if err != nil {
		return errors.Annotate(err, "reading the answer")
	}
	if len(body) > maxAnswer {
		return errTooLarge
	}
	a := &answer{status: x.Status, header: x.Header, body: body}
	if x.Status >= http.StatusMultipleChoices {
		if reply.NotRun {
			e.cause = retry.CauseBusy
		} else {
			e.whole = a
		}
		return nil
	}
	if err := p.passOn(a); err != nil {
		e.callerGone = true
		e.err = err
	}
	e.done = true
	return nil
}

// judge decides what the end of an attempt means.
func (p *pass) judge(ctx context.Context, e *attemptEnd, result back.Result) {
	e.mayHaveRun = result.BytesWritten && e.cause != retry.CauseBusy
	if e.mayHaveRun {
		p.ran++
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

// outcome is what the attempt shows about the replica.
func (p *pass) outcome(e *attemptEnd, result back.Result) route.Result {
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
	case e.whole != nil && e.whole.status < http.StatusInternalServerError:
		out.Status = route.StatusOK
	}
	return out
}
