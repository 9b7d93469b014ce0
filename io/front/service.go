package front

import (
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// service passes a request on to a plain service.
func (s *Server) service(w http.ResponseWriter, r *request) {
	job, fault := s.serviceJob(w, r)
	if fault != nil {
		s.refuse(w, r, fault)
		return
	}
	s.run(w, r, job)
}

func (s *Server) serviceJob(w http.ResponseWriter, r *request) (*runner.Job, *Fault) {
	if f := s.identify(r); f != nil {
		return nil, f
	}
	service, ok := s.c.Service(r.URL.Path)
	if !ok {
		return nil, &Fault{
			Status: http.StatusNotFound, Type: FaultInvalid, Code: "unknown_path",
			Message: "nothing is served at " + r.URL.Path, Outcome: call.OutcomeNotRun,
		}
	}
	policy, f := s.policy(r)
	if f != nil {
		return nil, f
	}
	due, f := s.deadline(r, policy)
	if f != nil {
		return nil, f
	}
	body, f := s.body(w, r)
	if f != nil {
		return nil, f
	}
	path := "/" + strings.TrimLeft(strings.TrimPrefix(r.URL.Path, service.Prefix), "/")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	key := r.Header.Get(HeaderKey)
	idempotent := slices.Contains(service.Idempotent, r.Method) || service.RemovesDuplicates && key != ""
	fingerprint := xxhash.Sum64(append([]byte(r.Method+" "+path+"\n"), body...))
	return &runner.Job{
		Call: call.Call{
			ID: r.id, Team: r.team, Class: policy.Class, Tier: policy.Tier, Model: service.Name, Zone: s.c.Zone,
			Key: key, Idempotent: idempotent, Fingerprint: fingerprint,
			Arrived: r.arrived, Deadline: due,
		},
		Kind: runner.KindService, Method: r.Method, Path: path, Header: forward(r.Header), Body: body,
		AtMostOnce: !idempotent, FirstAttempt: r.Header.Get(HeaderAttempt) == "1",
		Retention: policy.Retention, MaxWait: policy.MaxWait, Progress: policy.Progress,
		RetryShare: policy.RetryShare, Weight: policy.Weight,
		FirstTokenTarget: policy.FirstTokenTarget, TokenGapTarget: policy.TokenGapTarget,
	}, nil
}
