package front

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// service forwards a request to a plain service.
func (s *Server) service(w http.ResponseWriter, r *request) {
	job, errResp := s.serviceJob(w, r)
	if errResp != nil {
		s.refuse(w, r, errResp)
		return
	}
	s.run(w, r, job)
}

// serviceJob reads and checks the request and returns the job for it.
func (s *Server) serviceJob(w http.ResponseWriter, r *request) (*runner.Job, *ErrorResponse) {
	if errResp := s.identify(r); errResp != nil {
		return nil, errResp
	}
	service, ok := s.c.Service(r.URL.Path)
	if !ok {
		return nil, &ErrorResponse{
			Status: http.StatusNotFound, Type: ErrorTypeInvalidRequest, Code: "unknown_path",
			Message: "nothing is served at " + r.URL.Path, Outcome: call.OutcomeNotRun,
		}
	}
	in, errResp := s.readInput(w, r)
	if errResp != nil {
		return nil, errResp
	}
	path := servicePath(r.URL, service.Prefix)
	idempotent := slices.Contains(service.Idempotent, r.Method) || service.RemovesDuplicates && r.Header.Get(HeaderIdempotencyKey) != ""
	job := s.job(r, in, service.Name, idempotent)
	job.Kind, job.Path = runner.KindService, path
	job.Call.Fingerprint = xxhash.Sum64(append([]byte(r.Method+" "+path+"\n"), in.body...))
	return job, nil
}

// servicePath returns the path without the service's prefix, escaped as in the
// caller's request, with the query.
func servicePath(u *url.URL, prefix string) string {
	path := "/" + strings.TrimLeft(strings.TrimPrefix(u.EscapedPath(), prefix), "/")
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}
