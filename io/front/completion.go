package front

import (
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// completion answers a chat or text completion.
func (s *Server) completion(w http.ResponseWriter, r *request) {
	job, fault := s.completionJob(w, r)
	if fault != nil {
		s.refuse(w, r, fault)
		return
	}
	s.run(w, r, job)
}

func (s *Server) completionJob(w http.ResponseWriter, r *request) (*runner.Job, *Fault) {
	if f := s.identify(r); f != nil {
		return nil, f
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
	p, err := parsePrompt(body)
	if err != nil {
		return nil, invalid("invalid_body", err.Error())
	}
	if !slices.Contains(s.c.Models(), call.Model(p.Model)) {
		return nil, &Fault{
			Status: http.StatusNotFound, Type: FaultInvalid, Code: "model_not_found",
			Message: "the model " + p.Model + " does not exist", Outcome: call.OutcomeNotRun,
		}
	}
	return &runner.Job{
		Call: call.Call{
			ID: r.id, Team: r.team, Class: policy.Class, Tier: policy.Tier, Model: call.Model(p.Model), Zone: s.c.Zone,
			Key: r.Header.Get(HeaderKey), Idempotent: !policy.AtMostOnce, Fingerprint: xxhash.Sum64(body),
			Prefixes: p.prefixes(), PromptTokens: p.tokens(), MaxTokens: p.maxTokens(), Arrived: r.arrived, Deadline: due,
		},
		Kind: runner.KindEngine, Method: r.Method, Path: r.URL.Path, Header: forward(r.Header), Body: body,
		Stream: p.Stream, AtMostOnce: policy.AtMostOnce, FirstAttempt: r.Header.Get(HeaderAttempt) == "1",
		Retention: policy.Retention, MaxWait: policy.MaxWait, Progress: policy.Progress,
		RetryShare: policy.RetryShare, Weight: policy.Weight,
		FirstTokenTarget: policy.FirstTokenTarget, TokenGapTarget: policy.TokenGapTarget,
	}, nil
}

// keptHeaders are the headers of a caller that a backend server sees.
var keptHeaders = []string{"Accept", "Content-Type", "User-Agent", "Traceparent", "Tracestate"}

func forward(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range keptHeaders {
		if values := h.Values(name); len(values) > 0 {
			out[name] = values
		}
	}
	return out
}
