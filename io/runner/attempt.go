package runner

import (
	"context"
	"encoding/json"
	"net/http"

	"gentianwell/core/call"
	"gentianwell/core/route"
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
}

// callerGone reports whether the attempt ended because nobody waits for it.
func (e attemptEnd) callerGone() bool {
	return e.result.Ending == back.EndingSink || e.result.Ending == back.EndingCancelled
}

// failed reports whether another replica might do better.
func (e attemptEnd) failed() bool {
	return !e.result.Complete() || e.result.Status >= http.StatusInternalServerError
}

// attempt sends the job to the replica once.
func (n *run) attempt(ctx context.Context, g grant) attemptEnd {
	replica := g.decision.Replica
	if n.job.AtMostOnce {
		// The caller's leaving does not stop what may only run once.
		ctx = context.WithoutCancel(ctx)
	}
	target := back.Target{ID: replica.ID, Address: replica.Address}
	result, err := n.r.c.Send(ctx, target, n.request(), func(e back.Event) error {
		return n.pass(replica.ID, e)
	})
	n.wrote = n.wrote || !result.NotRun()
	now := n.r.c.Now()
	n.r.c.Router.Finished(now, replica.ID, float64(n.cost), route.Result{
		Status: routeStatus(result), FirstToken: result.First,
	})
	n.r.mu.Lock()
	n.r.pump(now, n.job.Call.Model)
	n.r.mu.Unlock()
	return attemptEnd{replica: replica.ID, result: result, err: err}
}

func (n *run) request() back.Request {
	header := n.job.Header.Clone()
	if n.job.Call.Key != "" {
		header.Set(headerKey, n.job.Call.Key)
	}
	body := n.job.Body
	if n.job.Kind == KindEngine {
		body = withPriority(body, n.job.Call.Tier)
	}
	return back.Request{
		Method: n.job.Method, Path: n.job.Path, Header: header, Body: body,
		Fresh: n.job.AtMostOnce, ProgressTimeout: n.job.Progress,
	}
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
	if err := n.start(replica, http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}, "Cache-Control": {"no-cache"}}); err != nil {
		return err
	}
	n.watch.part(n.r.c.Now())
	return n.sink.Write(e.Raw)
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

func routeStatus(r back.Result) route.Status {
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
