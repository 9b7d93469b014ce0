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

// service passes a request on to a plain service.
func (s *Server) service(w http.ResponseWriter, r *request) {
	job, fault := s.serviceJob(w, r)
	if fault != nil {
		s.refuse(w, r, fault)
		return
	}
	s.run(w, r, job)
}

func (s *Server) serviceJob(w http.ResponseWriter, r *request) (*runner.Job, *ErrorResponse) {
	if f := s.identify(r); f != nil {
		return nil, f
	}
	service, ok := s.c.Service(r.URL.Path)
	if !ok {
		return nil, &ErrorResponse{
			Status: http.StatusNotFound, Type: ErrorTypeInvalidRequest, Code: "unknown_path",
			Message: "nothing is served at " + r.URL.Path, Outcome: call.OutcomeNotRun,
		}
	}
	in, f := s.intake(w, r)
	if f != nil {
		return nil, f
	}
	path := servicePath(r.URL, service.Prefix)
	idempotent := slices.Contains(service.Idempotent, r.Method) || service.RemovesDuplicates && r.Header.Get(HeaderIdempotencyKey) != ""
	job := s.job(r, in, service.Name, idempotent)
	job.Kind, job.Path = runner.KindService, path
	job.Call.Fingerprint = xxhash.Sum64(append([]byte(r.Method+" "+path+"\n"), in.body...))
	return job, nil
}

// servicePath returns the path below the service's prefix as the caller escaped
// it, with the query.
func servicePath(u *url.URL, prefix string) string {
	path := "/" + strings.TrimLeft(strings.TrimPrefix(u.EscapedPath(), prefix), "/")
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}
