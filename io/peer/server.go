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

// idleLimit is how long a connection from a peer may stay without a byte. Peers
// that are alive exchange items far more often.
const idleLimit = time.Minute

// ServerConfig configures a Server.
type ServerConfig struct {
	// Handler answers the peers' calls.
	Handler peerpb.DRPCPeerServer
	// TLS is used where it is not nil.
	TLS *tls.Config
}

// Server answers other entry VMs.
type Server struct {
	c   ServerConfig
	srv *drpcserver.Server
}

// NewServer returns a server for the handler.
func NewServer(c ServerConfig) (*Server, error) {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, c.Handler); err != nil {
		return nil, errors.Annotate(err, "NewServer")
	}
	return &Server{c: c, srv: drpcserver.New(mux)}, nil
}

// Serve answers on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	listener = idleListener{listener}
	if s.c.TLS != nil {
		listener = tls.NewListener(listener, s.c.TLS)
	}
	if err := s.srv.Serve(ctx, listener); err != nil && ctx.Err() == nil {
		return errors.Annotate(err, "Server.Serve")
	}
	return nil
}

// idleListener closes connections on which nothing arrives for idleLimit: the
// other side may have gone without a word.
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

// Read reads within idleLimit.
func (c *idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleLimit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
