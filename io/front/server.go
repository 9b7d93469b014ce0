// Package front is the side towards callers: the OpenAI-compatible HTTP API and
// the paths of plain services. It reads a request within limits, finds its team,
// class and policy, hands it on as a runner.Job and writes the answer.
//
// Every answer carries a request id and an outcome (notRun, ran or unknown);
// every refusal carries Retry-After where asking again makes sense.
//
// # Usage
//
//	srv, err := front.New(front.Config{Run: r.Run, Team: teams, …})
//	err = srv.HTTP().Serve(listener)
package front

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Server answers callers.
type Server struct {
	c   Config
	mux *http.ServeMux
}

// New returns a server.
//
// Errors: NotValid where the configuration lacks something.
func New(c Config) (*Server, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	s := &Server{c: c, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.guard(s.completion))
	s.mux.HandleFunc("POST /v1/completions", s.guard(s.completion))
	s.mux.HandleFunc("GET /v1/models", s.guard(s.models))
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	for path, handler := range c.ExtraHandlers {
		s.mux.Handle(path, handler)
	}
	s.mux.HandleFunc("/", s.guard(s.service))
	return s, nil
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// pingAfter is the silence after which a caller's HTTP/2 connection is asked for a
// sign of life, and how long it has to answer.
const pingAfter = 15 * time.Second

// HTTP returns an HTTP server with the limits of the configuration, for
// HTTP/1.1 and HTTP/2, the latter also without TLS.
func (s *Server) HTTP() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           s,
		Protocols:         protocols,
		ReadHeaderTimeout: s.c.HeaderTimeout,
		IdleTimeout:       s.c.IdleTimeout,
		MaxHeaderBytes:    s.c.MaxHeaderBytes,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingAfter},
		ErrorLog:          ErrorLog(s.c.Log),
	}
}

// guard gives each request its id and refuses it on a VM that stops.
func (s *Server) guard(next func(http.ResponseWriter, *request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := &request{Request: r, id: s.c.NewID(), arrived: s.c.Now()}
		w.Header().Set(HeaderRequestID, req.id)
		if !s.c.Admit() {
			w.Header().Set("Connection", "close")
			s.refuse(w, req, s.stopping())
			return
		}
		defer s.c.Finish()
		if !s.c.Ready() {
			// The caller's next request goes to a VM that stays.
			w.Header().Set("Connection", "close")
		}
		next(w, req)
	}
}

// request is a request with its id.
type request struct {
	*http.Request
	id      string
	arrived time.Time
	team    call.Team
}

func (s *Server) stopping() *ErrorResponse {
	return &ErrorResponse{
		Status: http.StatusServiceUnavailable, Type: ErrorTypeUnavailable, Code: "stopping",
		Message: "this VM is stopping", Outcome: call.OutcomeNotRun, RetryAfter: s.c.StopRetryAfter,
	}
}

// refuse answers with a fault and logs it.
func (s *Server) refuse(w http.ResponseWriter, r *request, f *ErrorResponse) {
	f.write(w)
	s.c.Refused(f.Code)
	s.c.Log.WithFields(map[string]any{
		"event": "refused", "request": r.id, "team": r.team, "status": f.Status,
		"reason": f.Code, "outcome": f.Outcome, "retryAfter": f.RetryAfter,
	}).Info("request refused")
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.c.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
