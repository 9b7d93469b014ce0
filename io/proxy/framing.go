package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// headerScanConn scans the headers of the requests on a connection for one with
// both Content-Length and Transfer-Encoding. net/http uses the chunks and silently
// ignores the length. This allows request smuggling: bytes that belong to the body by
// the length would be taken for the next request.
//
// It also applies the limits in force for headers and idle connections.
type headerScanConn struct {
	net.Conn
	limits func() connLimits

	mu sync.Mutex
	// inHeader is true from the start of a request to the end of its header.
	inHeader bool
	// idle is true from the end of a request until its idle timeout is set.
	idle            bool
	headerBytes     int
	line            []byte
	length, chunked bool
	// finish is called once the response to the request in progress was sent or the
	// connection closed; nil if there is none.
	finish func()
}

// maxHeaderLine is how many bytes of a line are kept: enough for the two header names.
const maxHeaderLine = 32

// Read reads from the connection and scans the headers in the data.
func (c *headerScanConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.headerTooLarge(n) {
		c.refuseHeader()
		return 0, io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHeader {
		c.scan(p[:n])
	}
	return n, err
}

func (c *headerScanConn) scan(data []byte) {
	for len(data) > 0 {
		n := bytes.IndexByte(data, '\n')
		if n < 0 {
			c.appendLine(data)
			return
		}
		c.appendLine(data[:n])
		data = data[n+1:]
		line := bytes.TrimSuffix(c.line, []byte("\r"))
		if len(line) == 0 {
			c.inHeader = false
			return
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		c.length = c.length || bytes.EqualFold(name, []byte("Content-Length"))
		c.chunked = c.chunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		c.line = c.line[:0]
	}
}

func (c *headerScanConn) appendLine(data []byte) {
	c.line = append(c.line, data[:min(len(data), maxHeaderLine-len(c.line))]...)
}

// expectHeader makes Read scan the header of the next request.
func (c *headerScanConn) expectHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader, c.idle, c.headerBytes, c.length, c.chunked = true, true, 0, false, false
	c.line = c.line[:0]
}

// hasBothLengths reports whether the last header has both Content-Length and
// Transfer-Encoding.
func (c *headerScanConn) hasBothLengths() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.length && c.chunked
}

// headerScanListener wraps each accepted connection in a headerScanConn.
type headerScanListener struct {
	net.Listener
	s *Server
}

// WrapListener wraps a listener for HTTP, so that requests with both Content-Length and
// Transfer-Encoding are detected and the limits of the table are in force.
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
		scanned.expectHeader()
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

// requestHasBothLengths reports whether the request has both Content-Length and
// Transfer-Encoding.
func requestHasBothLengths(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*headerScanConn)
	return ok && c.hasBothLengths()
}
