// Package front is the HTTP server for callers. It serves the OpenAI-compatible API
// and the paths of plain services, which are backend servers other than model
// engines. It reads a request within limits, looks up its team, class and policy, has
// it run as a runner.Job and writes the answer.
//
// Every answer carries a request ID and an outcome (notRun, ran or unknown). A
// refusal carries Retry-After if a retry makes sense.
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
	"gentianwell/io/admit"
)

// Server handles the requests of callers.
type Server struct {
	c   Config
	mux *http.ServeMux
}

// New returns a server.
//
// Errors: NotValid if the configuration is not valid.
func New(c Config) (*Server, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	s := &Server{c: c, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.handle(s.completion))
	s.mux.HandleFunc("POST /v1/completions", s.handle(s.completion))
	s.mux.HandleFunc("GET /v1/models", s.handle(s.models))
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	for path, handler := range c.ExtraHandlers {
		s.mux.Handle(path, handler)
	}
	s.mux.HandleFunc("/", s.handle(s.service))
	return s, nil
}

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if mayHaveTwoLengths(r) {
		w.Header().Set("Connection", "close")
	}
	s.mux.ServeHTTP(w, r)
}

// mayHaveTwoLengths reports whether the request may have had a second length, which net/http
// ignores without a trace: a Content-Length beside chunks, or chunks in HTTP/1.0. What follows
// such a request on its connection may be a part of its body (RFC 9112, section 6.3).
func mayHaveTwoLengths(r *http.Request) bool {
	return r.ProtoMajor == 1 && (len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1))
}

// pingTimeout is how long a caller's HTTP/2 connection may be silent before a ping is
// sent, and how long the ping may remain unanswered.
const pingTimeout = 15 * time.Second

// HTTP returns an HTTP server with the limits of the configuration. It serves
// HTTP/1.1 and HTTP/2, including HTTP/2 without TLS.
func (s *Server) HTTP() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{
		Handler:           s,
		Protocols:         protocols,
		ReadHeaderTimeout: s.c.HeaderTimeout,
		IdleTimeout:       s.c.IdleTimeout,
		MaxHeaderBytes:    s.c.MaxHeaderBytes,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
		ErrorLog:          ErrorLog(s.c.Log),
	}
	admit.Bind(srv)
	return srv
}

// handle wraps a handler: it gives each request an ID and refuses it if the VM is
// stopping.
func (s *Server) handle(next func(http.ResponseWriter, *request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := &request{Request: r, id: s.c.NewID(), arrived: s.c.Now()}
		w.Header().Set(HeaderRequestID, req.id)
		if !s.c.Admit() {
			w.Header().Set("Connection", "close")
			s.refuse(w, req, s.stopping())
			return
		}
		defer s.c.Finish()
		defer func() { admit.Release(r, req.held) }()
		if !s.c.Ready() {
			// The caller's next request then uses a new connection, which goes to a VM
			// that is not stopping.
			w.Header().Set("Connection", "close")
		}
		next(w, req)
	}
}

// request is a request with its ID, arrival time and team.
type request struct {
	*http.Request
	id      string
	arrived time.Time
	team    call.Team
	// held is the memory in bytes that is counted for the body.
	held int64
}

func (s *Server) stopping() *ErrorResponse {
	return &ErrorResponse{
		Status: http.StatusServiceUnavailable, Type: ErrorTypeUnavailable, Code: "stopping",
		Message: "this VM is stopping", Outcome: call.OutcomeNotRun, RetryAfter: s.c.StopRetryAfter,
	}
}

// refuse writes an error response, counts it and logs it.
func (s *Server) refuse(w http.ResponseWriter, r *request, errResp *ErrorResponse) {
	errResp.write(w)
	s.c.Refused(errResp.Code)
	s.c.Log.WithFields(map[string]any{
		"event": "refused", "request": r.id, "team": r.team, "status": errResp.Status,
		"reason": errResp.Code, "outcome": errResp.Outcome, "retryAfter": errResp.RetryAfter,
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
