package runner

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/core/stream"
	"gentianwell/io/back"
)

// headerKey passes on the caller's idempotency key.
const headerKey = "Idempotency-Key"

// headerOutcome and headerReplica tell the caller's side what to write.
const (
	headerOutcome = "Gentianwell-Outcome"
	headerReplica = "Gentianwell-Replica"
)

// attemptEnd is how one attempt ended.
type attemptEnd struct {
	replica call.ReplicaID
	result  back.Result
	err     error
	// notLoaded is true where the engine does not have the model, which the list
	// of VMs says it can serve.
	notLoaded bool
	// fault is what is wrong with the answer itself.
	fault error
	// next is the guard's decision on a streamed answer.
	next stream.Decision
}

// callerGone reports whether the attempt ended because nobody waits for it.
func (e attemptEnd) callerGone() bool {
	return e.fault == nil && (e.result.Ending == back.EndingSink || e.result.Ending == back.EndingCancelled)
}

// failed reports whether another replica might do better.
func (e attemptEnd) failed() bool {
	return e.fault != nil || !e.result.Complete() || e.result.Status >= http.StatusInternalServerError || e.notLoaded
}

// whole reports whether the answer may be handed over, or has been. An answer
// that has begun as a stream is whole only where the guard says so.
func (e attemptEnd) whole(started bool) bool {
	if started && e.next.Action != "" {
		return e.next.Action == stream.ActionFinish
	}
	return e.fault == nil && e.result.Complete()
}

// attempt sends the job to the replica once.
func (n *run) attempt(ctx context.Context, g grant) attemptEnd {
	replica := g.decision.Replica
	if n.job.AtMostOnce {
		// The caller's leaving does not stop what may only run once.
		ctx = context.WithoutCancel(ctx)
	}
	target := back.Target{ID: replica.ID, Address: replica.Address}
	end := attemptEnd{replica: replica.ID}
	end.result, end.err = n.send(ctx, target)
	end.notLoaded = n.job.Kind == KindEngine && end.result.Complete() && end.result.Status == http.StatusNotFound
	n.inspect(&end)
	result := end.result
	n.unmark(result)
	n.record(result)
	n.fresh = n.fresh || result.SilentReused()
	n.wrote = n.wrote || !result.NotRun()
	now := n.r.c.Now()
	n.finished(now, end)
	n.observe(ctx, target, end)
	n.r.mu.Lock()
	if !n.alone {
		n.r.leaveWindow(n.job)
	}
	n.r.pump(now, n.job.Call.Model)
	n.r.mu.Unlock()
	return end
}

func (n *run) send(ctx context.Context, t back.Target) (back.Result, error) {
	req, err := n.request()
	if err != nil {
		return back.Result{Ending: back.EndingMalformed}, errors.Trace(err)
	}
	if err := n.mark(); err != nil {
		return back.Result{Ending: back.EndingMalformed}, errors.Trace(err)
	}
	return n.r.c.Send(ctx, t, req, func(e back.Event) error { return n.pass(t.ID, e) })
}

func (n *run) request() (back.Request, error) {
	header := n.job.Header.Clone()
	if n.job.Call.Key != "" {
		header.Set(headerKey, n.job.Call.Key)
	}
	req := back.Request{
		Method: n.job.Method, Path: n.job.Path, Header: header, Body: n.job.Body,
		NewConnection: n.job.AtMostOnce || n.fresh, ProgressTimeout: n.job.Progress,
	}
	if err := n.guarded(&req); err != nil {
		return back.Request{}, errors.Trace(err)
	}
	if n.job.Kind == KindEngine {
		req.Body = withPriority(req.Body, n.job.Call.Tier)
	}
	return req, nil
}

// withPriority sets the priority field of a completion request, where a smaller
// number is more urgent; every other field stays as the caller wrote it.
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

// pass hands an event of a stream to the caller.
func (n *run) pass(replica call.ReplicaID, e back.Event) error {
	out, err := n.feed(e)
	if err != nil {
		return err
	}
	if len(out) == 0 {
		return nil
	}
	if n.callerLeft {
		return nil
	}
	err = n.give(replica, out)
	if err != nil && n.job.AtMostOnce {
		// What may only run once runs to its end, although nobody listens.
		n.callerLeft = true
		return nil
	}
	return err
}

// give hands a part of a stream to the caller.
func (n *run) give(replica call.ReplicaID, part []byte) error {
	if err := n.start(replica, http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-cache"}}); err != nil {
		return err
	}
	n.watch.part(n.r.c.Now())
	return n.sink.Write(part)
}

// whole hands an answer that is no stream to the caller.
func (n *run) whole(replica call.ReplicaID, result back.Result) error {
	header := result.Header.Clone()
	if err := n.start(replica, result.Status, header); err != nil {
		return err
	}
	n.watch.part(n.r.c.Now())
	return n.sink.Write(result.Body)
}

func (n *run) start(replica call.ReplicaID, status int, header http.Header) error {
	if n.started {
		return nil
	}
	n.started = true
	header.Set(headerOutcome, string(call.OutcomeRan))
	header.Set(headerReplica, string(replica))
	return n.sink.Start(status, header)
}

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
