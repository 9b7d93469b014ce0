package front

import (
	"net/http"
	"time"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// input holds the policy, the deadline and the body of a request.
type input struct {
	policy   Policy
	deadline time.Time
	body     []byte
}

// readInput looks up the request's policy, determines its deadline and reads its
// body.
func (s *Server) readInput(w http.ResponseWriter, r *request) (input, *ErrorResponse) {
	policy, errResp := s.policy(r)
	if errResp != nil {
		return input{}, errResp
	}
	deadline, errResp := s.deadline(r, policy)
	if errResp != nil {
		return input{}, errResp
	}
	body, errResp := s.body(w, r)
	return input{policy: policy, deadline: deadline, body: body}, errResp
}

// job returns a job with the fields that jobs for models and services have in
// common; the caller sets the others.
func (s *Server) job(r *request, in input, model call.Model, idempotent bool) *runner.Job {
	p := in.policy
	return &runner.Job{
		Call: call.Call{
			ID: r.id, Team: r.team, Class: p.Class, Tier: p.Tier, Model: model, Zone: s.c.Zone,
			Key: r.Header.Get(HeaderIdempotencyKey), Idempotent: idempotent, Arrived: r.arrived, Deadline: in.deadline,
		},
		Method: r.Method, Header: forwardedHeader(r.Header), Body: in.body,
		AtMostOnce: !idempotent, FirstAttempt: r.Header.Get(HeaderAttempt) == "1",
		Retention: p.Retention, MaxWait: p.MaxWait, ProgressTimeout: p.ProgressTimeout, RetryShare: p.RetryShare, Weight: p.Weight,
		FirstTokenTarget: p.FirstTokenTarget, TokenGapTarget: p.TokenGapTarget,
	}
}

// routerHeaders are headers of a caller's request that are not forwarded, since
// they are meant only for this router.
var routerHeaders = []string{
	"Authorization", "Content-Length", "Accept-Encoding", HeaderClass, HeaderDeadline, HeaderAttempt, HeaderIdempotencyKey, HeaderRequestID,
}

// forwardedHeader returns the header to forward to a backend server. io/back removes
// the headers that apply only to a connection.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range routerHeaders {
		out.Del(name)
	}
	return out
}
