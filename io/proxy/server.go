package proxy

import (
	"net/http"

	"github.com/juju/errors"

	"gentianwell/io/front"
)

// Server answers callers.
type Server struct {
	c Config
}

// New returns a server.
//
// Errors: NotValid where the configuration lacks something.
func New(c Config) (*Server, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "proxy.New")
	}
	return &Server{c: c}, nil
}

// HTTP returns an HTTP server for a listener made by Listener. Its limits for headers
// and idle connections are fixed; that of bodies is the table's.
func (s *Server) HTTP() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler: s, Protocols: protocols,
		ReadHeaderTimeout: defaultReadTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultHeaderBytes,
		ConnContext: connContext, ConnState: connState, ErrorLog: front.ErrorLog(s.c.Log),
	}
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := &pass{s: s, w: w, r: r, arrived: s.c.Now()}
	if !s.c.Admit() {
		p.close()
		p.refuse(http.StatusServiceUnavailable, ReasonStopping)
		return
	}
	defer s.c.Finish()
	if s.c.Stopping() {
		// The caller's next request goes to a VM that stays.
		p.close()
	}
	p.serve()
}
