package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"gentianwell/core/frame"
)

// headerScanConn scans the requests on a connection for those whose length is not certain,
// such as one with both Content-Length and Transfer-Encoding. net/http uses the chunks and
// silently ignores the length. This allows request smuggling: bytes that belong to the body
// by the length would be taken for the next request.
//
// It also applies the limits in force for headers and idle connections.
type headerScanConn struct {
	net.Conn
	limits func() connLimits

	mu      sync.Mutex
	scanner frame.Scanner
	// inHeader is true while net/http waits for a request or reads its header.
	inHeader bool
	// idle is true from the end of a request until its idle timeout is set.
	idle bool
	// finish is called once the response to the request in progress was sent or the
	// connection closed; nil if there is none.
	finish func()
}

// NetConn returns the connection below.
func (c *headerScanConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection and scans the data.
func (c *headerScanConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.headerTooLarge(p[:n]) {
		c.refuseHeader()
		return 0, io.EOF
	}
	return n, err
}

// headerTooLarge scans data and reports whether a header in it is larger than allowed.
func (c *headerScanConn) headerTooLarge(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := c.scanner.Scan(data)
	return c.inHeader && size > c.limits().headerBytes
}

// expectRequest is called when the connection waits for its next request.
func (c *headerScanConn) expectRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader, c.idle = true, true
	c.scanner.Next()
}

// fault returns that of the framing of the request in progress.
func (c *headerScanConn) fault() frame.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Fault()
}

// headerScanListener wraps each accepted connection in a headerScanConn.
type headerScanListener struct {
	net.Listener
	s *Server
}

// WrapListener wraps a listener for HTTP, so that requests whose length is not certain
// are detected and the limits of the table are in force.
func (s *Server) WrapListener(l net.Listener) net.Listener { return headerScanListener{l, s} }

// Accept waits for the next connection.
func (l headerScanListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headerScanConn{Conn: conn, limits: l.s.connLimits, inHeader: true}, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// onSent makes fn be called once the response to the request in progress was sent or the
// connection closed.
func (c *headerScanConn) onSent(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish = fn
}

func (c *headerScanConn) sent() {
	c.mu.Lock()
	fn := c.finish
	c.finish = nil
	c.mu.Unlock()
	if fn != nil {
		fn()
	}
}

// connState ends the request in progress and prepares a keep-alive connection for its
// next one.
func connState(c net.Conn, state http.ConnState) {
	scanned, ok := c.(*headerScanConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		scanned.sent()
		scanned.expectRequest()
	case http.StateClosed, http.StateHijacked:
		scanned.sent()
	}
}

// onResponseSent makes fn be called once the response to the request was sent or its
// connection closed. It returns false if the connection is not from WrapListener.
func onResponseSent(r *http.Request, fn func()) bool {
	c, ok := r.Context().Value(connKey{}).(*headerScanConn)
	if ok {
		c.onSent(fn)
	}
	return ok
}

// framingFault returns the fault of a request's framing; frame.FaultNone if its connection is
// not from WrapListener.
func framingFault(r *http.Request) frame.Fault {
	c, ok := r.Context().Value(connKey{}).(*headerScanConn)
	if !ok {
		return frame.FaultNone
	}
	return c.fault()
}
