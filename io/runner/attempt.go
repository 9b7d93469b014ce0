package runner

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/core/stream"
	"gentianwell/io/back"
)

// headerIdempotencyKey forwards the caller's idempotency key to the backend server.
const headerIdempotencyKey = "Idempotency-Key"

// headerOutcome and headerReplica are set on each response that is passed to the
// sink.
const (
	headerOutcome = "Gentianwell-Outcome"
	headerReplica = "Gentianwell-Replica"
)

// attemptEnd is how one attempt ended.
type attemptEnd struct {
	replica call.ReplicaID
	result  back.Result
	err     error
	// notLoaded is true if the engine does not have the model, although the list of VMs
	// says that it can serve it.
	notLoaded bool
	// fault is the fault found in the content of the answer.
	fault error
	// decision is the next step for a streamed answer, as decided by core/stream.
	decision stream.Decision
}

// callerGone reports whether the attempt ended because the caller has disconnected or
// the job's context was canceled.
func (e attemptEnd) callerGone() bool {
	return e.fault == nil && (e.result.Ending == back.EndingSink || e.result.Ending == back.EndingCancelled)
}

// failed reports whether the attempt failed in a way that another replica might not.
func (e attemptEnd) failed() bool {
	return e.fault != nil || !e.result.Complete() || e.result.Status >= http.StatusInternalServerError || e.notLoaded
}

// complete reports whether the answer is complete. Once a part of a stream was sent to
// the caller, it is complete only if core/stream says so.
func (e attemptEnd) complete(started bool) bool {
	if started && e.decision.Action != "" {
		return e.decision.Action == stream.ActionFinish
	}
	return e.fault == nil && e.result.Complete()
}

// attempt sends the job to the replica once.
func (n *run) attempt(ctx context.Context, g grant) attemptEnd {
	replica := g.decision.Replica
	if n.job.AtMostOnce {
		// An at-most-once request is not canceled when its caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	n.takeover = &takeover{n: n, replica: replica.ID}
	target := back.Target{ID: replica.ID, Address: replica.Address}
	end := attemptEnd{replica: replica.ID}
	end.result, end.err = n.send(ctx, target)
	end.notLoaded = n.job.Kind == KindEngine && end.result.Complete() && end.result.Status == http.StatusNotFound
	n.checkAnswer(&end)
	result := end.result
	if reason := result.Broken(); reason != "" {
		n.r.c.Log.WithFields(logrus.Fields{
			"event": "attempt", "request": n.job.Call.ID, "replica": replica.ID, "broken": reason, "status": result.Status, "error": end.err,
		}).Info("response is not valid or not complete")
	}
	n.markUnsent(result)
	n.recordOutcome(result)
	n.freshConn = n.freshConn || result.SilentReused()
	n.mayHaveRun = n.mayHaveRun || !result.NotRun()
	now := n.r.c.Now()
	n.reportFinished(now, end)
	n.recordForPoison(ctx, target, end)
	n.r.mu.Lock()
	if !n.alone {
		n.r.leaveWindow(n.job)
	}
	n.r.dispatch(now, n.job.Call.Model)
	n.r.mu.Unlock()
	return end
}

// send makes the attempt. The claim is marked as sent directly before it.
func (n *run) send(ctx context.Context, t back.Target) (back.Result, error) {
	req, err := n.buildRequest()
	if err != nil {
		return back.Result{Ending: back.EndingMalformed}, errors.Trace(err)
	}
	if err := n.markSent(); err != nil {
		return back.Result{Ending: back.EndingMalformed}, errors.Trace(err)
	}
	return n.r.c.Send(ctx, t, req, func(e back.Event) error { return n.forwardEvent(t.ID, e) })
}

// buildRequest returns the request of the next attempt.
func (n *run) buildRequest() (back.Request, error) {
	header := n.job.Header.Clone()
	if n.job.Call.Key != "" {
		header.Set(headerIdempotencyKey, n.job.Call.Key)
	}
	req := back.Request{
		Method: n.job.Method, Path: n.job.Path, Header: header, Body: n.job.Body,
		NewConnection: n.job.AtMostOnce || n.freshConn, ProgressTimeout: n.job.ProgressTimeout,
		GiveUp: n.takeover.take,
	}
	if err := n.prepareAttempt(&req); err != nil {
		return back.Request{}, errors.Trace(err)
	}
	if n.job.Kind == KindEngine {
		req.Body = withPriority(req.Body, n.job.Call.Tier)
	}
	return req, nil
}

// withPriority sets the priority field of a completion request to the tier; in both, a
// smaller number is more urgent. All other fields keep the caller's values.
func withPriority(body []byte, tier call.Tier) []byte {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return body
	}
	fields["priority"], _ = json.Marshal(int(tier))
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}

// forwardEvent passes an event of a stream to the caller.
func (n *run) forwardEvent(replica call.ReplicaID, e back.Event) error {
	out, err := n.feedStream(e)
	if err != nil {
		return err
	}
	if len(out) == 0 {
		return nil
	}
	if n.callerGone {
		return nil
	}
	err = n.writePart(replica, out)
	if err != nil && n.job.AtMostOnce {
		// An at-most-once request runs to its end even if its caller has disconnected.
		n.callerGone = true
		return nil
	}
	return err
}

// writePart writes a part of a stream to the caller.
func (n *run) writePart(replica call.ReplicaID, part []byte) error {
	if err := n.startAnswer(replica, http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-cache"}}); err != nil {
		return err
	}
	n.timings.part(n.r.c.Now())
	return n.sink.Write(part)
}

// writeAnswer writes an answer that is not a stream to the caller.
func (n *run) writeAnswer(replica call.ReplicaID, result back.Result) error {
	header := result.Header.Clone()
	if err := n.startAnswer(replica, result.Status, header); err != nil {
		return err
	}
	n.timings.part(n.r.c.Now())
	return n.sink.Write(result.Body)
}

// startAnswer passes the response's status and header to the sink, once.
func (n *run) startAnswer(replica call.ReplicaID, status int, header http.Header) error {
	if n.started {
		return nil
	}
	n.started = true
	header.Set(headerOutcome, string(call.OutcomeRan))
	header.Set(headerReplica, string(replica))
	return n.sink.Start(status, header)
}

// routeStatus returns the status to report to the router for an attempt.
func routeStatus(e attemptEnd) route.Status {
	r := e.result
	if e.fault != nil {
		return route.StatusFailed
	}
	switch r.Ending {
	case back.EndingComplete:
		if r.Status >= http.StatusInternalServerError {
			return route.StatusFailed
		}
		return route.StatusOK
	case back.EndingUnreachable:
		return route.StatusUnreachable
	case back.EndingCrashed:
		return route.StatusCrashed
	case back.EndingCancelled, back.EndingSink:
		return route.StatusCanceled
	}
	return route.StatusFailed
}
