package proxy

import (
	"net/http"
	"sync"

	"github.com/juju/errors"

	"gentianwell/io/admit"
	"gentianwell/io/front"
)

// Server is the HTTP handler that serves callers.
type Server struct {
	c         Config
	bodies    bodyMemory
	sequences sequences
	// invalidLoad limits the log line for load reports that are not understood to one.
	invalidLoad sync.Once
}

// New returns a server.
//
// Errors: NotValid, from Config.Validate.
func New(c Config) (*Server, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "proxy.New")
	}
	return &Server{c: c, bodies: bodyMemory{limit: c.MaxBodyMemory}}, nil
}

// HTTP returns an HTTP server for a listener made by WrapListener, which applies the
// limits for headers and idle connections.
func (s *Server) HTTP() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	srv := &http.Server{
		// Otherwise net/http itself answers "OPTIONS *" with 200.
		DisableGeneralOptionsHandler: true,
		Handler:                      s, Protocols: protocols,
		ReadHeaderTimeout: minHeaderTimeout, IdleTimeout: minIdleTimeout, MaxHeaderBytes: serverMaxHeaderBytes,
		ConnContext: connContext, ConnState: connState, ErrorLog: front.ErrorLog(s.c.Log),
	}
	admit.Bind(srv)
	return srv
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	headerEnded(r)
	p := &proxyRequest{s: s, w: w, r: r, arrived: s.c.Now(), bodyUnread: r.Body != nil && r.Body != http.NoBody}
	if !s.c.Admit() {
		p.closeConnection()
		p.refuse(http.StatusServiceUnavailable, ReasonStopping)
		return
	}
	// net/http sends the last bytes of a response after this method.
	if !onResponseSent(r, s.c.Finish) {
		defer s.c.Finish()
	}
	if s.c.Stopping() {
		// Moves the caller's next request to a VM that is not shutting down.
		p.closeConnection()
	}
	p.serve()
}
