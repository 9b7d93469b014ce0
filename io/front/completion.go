package front

import (
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// completion handles a chat or text completion request.
func (s *Server) completion(w http.ResponseWriter, r *request) {
	job, errResp := s.completionJob(w, r)
	if errResp != nil {
		s.refuse(w, r, errResp)
		return
	}
	s.run(w, r, job)
}

// completionJob reads and checks the request and returns the job for it.
func (s *Server) completionJob(w http.ResponseWriter, r *request) (*runner.Job, *ErrorResponse) {
	if errResp := s.identify(r); errResp != nil {
		return nil, errResp
	}
	in, errResp := s.readInput(w, r)
	if errResp != nil {
		return nil, errResp
	}
	p, err := parsePrompt(in.body)
	if err != nil {
		return nil, invalidRequest("invalid_body", err.Error())
	}
	if !slices.Contains(s.c.Models(), call.Model(p.Model)) {
		return nil, &ErrorResponse{
			Status: http.StatusNotFound, Type: ErrorTypeInvalidRequest, Code: "model_not_found",
			Message: "the model " + p.Model + " does not exist", Outcome: call.OutcomeNotRun,
		}
	}
	job := s.job(r, in, call.Model(p.Model), !in.policy.AtMostOnce)
	job.Kind, job.Path, job.Stream = runner.KindEngine, r.URL.Path, p.Stream
	job.Call.Fingerprint, job.Call.Prefixes = xxhash.Sum64(in.body), p.prefixes()
	job.Call.PromptTokens, job.Call.MaxTokens = p.tokens(), p.maxTokens()
	return job, nil
}
