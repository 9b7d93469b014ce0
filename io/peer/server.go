package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"gentianwell/io/peerpb"
)

// idleTimeout is how long a connection may be without data from the peer. A running
// peer exchanges items far more often.
const idleTimeout = time.Minute

// ServerConfig configures a Server.
type ServerConfig struct {
	// Handler serves the peers' calls.
	Handler peerpb.DRPCPeerServer
	// TLS is the TLS configuration; nil means no TLS.
	TLS *tls.Config
}

// Server serves the calls of other entry VMs.
type Server struct {
	config ServerConfig
	srv    *drpcserver.Server
}

// NewServer returns a server for the handler.
func NewServer(c ServerConfig) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, c.Handler); err != nil {
		return nil, errors.Annotate(err, "NewServer")
	}
	return &Server{config: c, srv: drpcserver.New(mux)}, nil
}

// Serve accepts connections from the listener until ctx is canceled.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	listener = idleListener{listener}
	if s.config.TLS != nil {
		listener = tls.NewListener(listener, s.config.TLS)
	}
	if err := s.srv.Serve(ctx, listener); err != nil && ctx.Err() == nil {
		return errors.Annotate(err, "Server.Serve")
	}
	return nil
}

// idleListener makes reads fail on connections on which nothing arrives for idleTimeout,
// because the other side may be gone without having closed the connection.
type idleListener struct{ net.Listener }

// Accept waits for the next connection.
func (l idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn}, nil
}

type idleConn struct{ net.Conn }

// Read reads with a deadline of idleTimeout.
func (c *idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
