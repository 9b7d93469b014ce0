package front

import (
	"net/http"
	"time"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// intake is what has been read of a request of a known team.
type intake struct {
	policy Policy
	due    time.Time
	body   []byte
}

// intake finds the request's policy and deadline and reads its body.
func (s *Server) intake(w http.ResponseWriter, r *request) (intake, *ErrorResponse) {
	policy, f := s.policy(r)
	if f != nil {
		return intake{}, f
	}
	due, f := s.deadline(r, policy)
	if f != nil {
		return intake{}, f
	}
	body, f := s.body(w, r)
	return intake{policy: policy, due: due, body: body}, f
}

// job returns the job for a model or service; what is special to either is left
// to the caller.
func (s *Server) job(r *request, in intake, model call.Model, idempotent bool) *runner.Job {
	p := in.policy
	return &runner.Job{
		Call: call.Call{
			ID: r.id, Team: r.team, Class: p.Class, Tier: p.Tier, Model: model, Zone: s.c.Zone,
			Key: r.Header.Get(HeaderIdempotencyKey), Idempotent: idempotent, Arrived: r.arrived, Deadline: in.due,
		},
		Method: r.Method, Header: forward(r.Header), Body: in.body,
		AtMostOnce: !idempotent, FirstAttempt: r.Header.Get(HeaderAttempt) == "1",
		Retention: p.Retention, MaxWait: p.MaxWait, ProgressTimeout: p.ProgressTimeout, RetryShare: p.RetryShare, Weight: p.Weight,
		FirstTokenTarget: p.FirstTokenTarget, TokenGapTarget: p.TokenGapTarget,
	}
}

// ownHeaders are the headers of a caller that are for the router alone.
var ownHeaders = []string{
	"Authorization", "Content-Length", "Accept-Encoding", HeaderClass, HeaderDeadline, HeaderAttempt, HeaderIdempotencyKey, HeaderRequestID,
}

// forward returns the headers that a backend server sees. Those that belong to
// the connection are left out by io/back.
func forward(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range ownHeaders {
		out.Del(name)
	}
	return out
}
