package proxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// framedConn watches the heads of requests on a connection for one that gives its
// length twice, as a length and as chunks. net/http takes the chunks and drops the
// length without a word, but what an attacker means to be inside the body would
// then be taken for a request.
type framedConn struct {
	net.Conn

	mu sync.Mutex
	// inHead is true from the start of a request to the end of its head.
	inHead          bool
	line            []byte
	length, chunked bool
}

// maxHeadLine is how much of a line is kept: enough for the names looked for.
const maxHeadLine = 32

// Read reads and looks at the heads.
func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead {
		c.look(p[:n])
	}
	return n, err
}

func (c *framedConn) look(data []byte) {
	for len(data) > 0 {
		n := bytes.IndexByte(data, '\n')
		if n < 0 {
			c.keep(data)
			return
		}
		c.keep(data[:n])
		data = data[n+1:]
		line := bytes.TrimSuffix(c.line, []byte("\r"))
		if len(line) == 0 {
			c.inHead = false
			return
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		c.length = c.length || bytes.EqualFold(name, []byte("Content-Length"))
		c.chunked = c.chunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		c.line = c.line[:0]
	}
}

func (c *framedConn) keep(data []byte) {
	c.line = append(c.line, data[:min(len(data), maxHeadLine-len(c.line))]...)
}

// begin makes the connection look at the next head.
func (c *framedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.length, c.chunked = true, false, false
	c.line = c.line[:0]
}

// twice reports whether the last head gave its length twice.
func (c *framedConn) twice() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.length && c.chunked
}

// framedListener wraps the connections that it accepts.
type framedListener struct{ net.Listener }

// WrapListener prepares a listener for Server.HTTP.
func WrapListener(l net.Listener) net.Listener { return framedListener{l} }

// Accept waits for the next connection.
func (l framedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: conn, inHead: true}, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState prepares a kept connection for its next request.
func connState(c net.Conn, state http.ConnState) {
	if framed, ok := c.(*framedConn); ok && state == http.StateIdle {
		framed.begin()
	}
}

// framedTwice reports whether the request gives its length twice.
func framedTwice(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*framedConn)
	return ok && c.twice()
}
